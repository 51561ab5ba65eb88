#include "store_agent.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/json_text.hpp>
#include <redwingwind/coordination/rendezvous.hpp>
#include <redwingwind/policy/graph_document.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::node {
namespace {

using platform_adapter::listing;
using platform_adapter::stored_object;

constexpr auto seed_prefix = "seeds/";
constexpr auto graph_prefix = "graphs/";
constexpr auto usage_prefix = "usage/";
constexpr std::uint32_t most_doublings = 8;

} // namespace

duration store_agent::backoff::next(const store_agent_options& options,
                                    const random_hook& random) {
    const auto doublings = std::min(failures_++, most_doublings);
    const auto full =
        std::min(options.least_pause * (1U << doublings), options.most_pause);
    // Half of the pause is random, or the nodes would come back together.
    const auto half = full / 2;
    return half + duration(random() % (half.count() + 1));
}

store_agent::store_agent(store_agent_options options,
                         platform_adapter::object_store store,
                         engine::node_core& core, hooks h)
    : options_(options), store_(std::move(store)), core_(core),
      hooks_(std::move(h)) {}

void store_agent::start() {
    find_peers();
    look_for_duties();
}

void store_agent::fail(const std::string& what, const absl::Status& status) {
    ++counters_.failures;
    hooks_.on_failure(what, status);
}

bool store_agent::has_duty(const std::string& duty, std::size_t holders,
                           std::size_t* place) const {
    const auto& self = core_.members().self();
    const auto chosen = coordination::choose_holders(
        core_.members().live_in(self.domain), duty, holders);
    const auto it = std::find(chosen.begin(), chosen.end(), self.id.name);
    if (it == chosen.end())
        return false;
    if (place != nullptr)
        *place = static_cast<std::size_t>(it - chosen.begin());
    return true;
}

void store_agent::look_for_duties() {
    std::size_t place = 0;
    if (has_duty("seed", options_.seeds, &place)) {
        if (!is_seed_written_ && !is_seed_busy_)
            keep_seed(place);
    } else {
        is_seed_written_ = false;
    }
    if (!is_watching_ && has_duty("watch", options_.watchers)) {
        is_watching_ = true;
        list_graphs();
    }
    const auto now = hooks_.now();
    // Alone at the start, or since all the others were replaced.
    if (core_.members().live_count() == 0 && now >= next_search_)
        find_peers();
    if (now >= next_usage_) {
        next_usage_ = now + options_.usage_period;
        write_usage([] {});
    }
    hooks_.after(options_.duty_interval, [this] { look_for_duties(); });
}

// Peers
// -------------------------------------------------------------------------

void store_agent::find_peers() {
    if (is_finding_)
        return;
    is_finding_ = true;
    ++counters_.calls;
    store_.list(seed_prefix, [this](absl::StatusOr<listing> seeds) {
        is_finding_ = false;
        if (seeds.ok()) {
            on_seeds(*seeds);
        } else {
            fail("list seeds", seeds.status());
        }
        next_search_ =
            hooks_.now() + peers_backoff_.next(options_, hooks_.random);
    });
}

void store_agent::on_seeds(const listing& seeds) {
    for (const auto& it : seeds.objects) {
        const auto json = read_json(it.value);
        if (!json.is_object() || !json.contains("address") ||
            !json["address"].is_string())
            continue;
        const auto where =
            coordination::parse_address(json["address"].get<std::string>());
        if (where.port != 0)
            core_.add_contact(where);
    }
}

void store_agent::keep_seed(std::size_t place) {
    is_seed_busy_ = true;
    const auto& self = core_.members().self();
    const auto key =
        seed_prefix + self.domain.value + "-" + std::to_string(place);
    ++counters_.calls;
    store_.get(key, [this, key](absl::StatusOr<stored_object> known) {
        if (!known.ok() && code_of(known.status()) != error_code::not_found) {
            is_seed_busy_ = false;
            fail("read seed", known.status());
            return;
        }
        write_seed(key, known.ok() ? known->version : 0);
    });
}

void store_agent::write_seed(const std::string& key,
                             std::uint64_t over_version) {
    const auto& self = core_.members().self();
    const nlohmann::json value{{"node", self.id.name.value},
                               {"life", self.id.life.value},
                               {"address", to_string(self.endpoint)}};
    ++counters_.calls;
    store_.put(key, value.dump(), over_version,
               [this](const absl::StatusOr<std::uint64_t>& version) {
                   is_seed_busy_ = false;
                   is_seed_written_ = version.ok();
                   if (version.ok())
                       return;
                   fail("write seed", version.status());
                   // Someone else started first; meet that node.
                   if (code_of(version.status()) == error_code::conflict)
                       find_peers();
               });
}

// Configurations ------------------------------------------------------------

void store_agent::list_graphs() {
    ++counters_.calls;
    store_.list(graph_prefix, [this](absl::StatusOr<listing> graphs) {
        if (!graphs.ok()) {
            fail("list graphs", graphs.status());
            hooks_.after(watch_backoff_.next(options_, hooks_.random), [this] {
                is_watching_ = has_duty("watch", options_.watchers);
                if (is_watching_)
                    list_graphs();
            });
            return;
        }
        watch_backoff_.reset();
        on_graphs(*graphs);
        watch_graphs();
    });
}

void store_agent::watch_graphs() {
    if (!has_duty("watch", options_.watchers)) {
        is_watching_ = false;
        return;
    }
    ++counters_.calls;
    store_.watch(graph_prefix, revision_, options_.watch_time,
                 [this](absl::StatusOr<listing> graphs) {
                     if (!graphs.ok()) {
                         fail("watch graphs", graphs.status());
                         hooks_.after(
                             watch_backoff_.next(options_, hooks_.random),
                             [this] { list_graphs(); });
                         return;
                     }
                     watch_backoff_.reset();
                     on_graphs(*graphs);
                     watch_graphs();
                 });
}

void store_agent::on_graphs(const listing& graphs) {
    revision_ = std::max(revision_, graphs.revision);
    for (const auto& it : graphs.objects) {
        const auto document = policy::parse_document(it.value);
        if (!document.ok()) {
            fail("read " + it.key, document.status());
            continue;
        }
        core_.offer_config({document->graph, document->generation,
                            document->change_id, it.value});
    }
}

// Usage
// -------------------------------------------------------------------------

void store_agent::write_usage(std::function<void()> done) {
    if (is_usage_busy_) {
        done();
        return;
    }
    collected_.merge(core_.take_reported_usage());
    if (collected_.empty()) {
        done();
        return;
    }
    is_usage_busy_ = true;
    const auto key = usage_prefix + core_.members().self().domain.value;
    ++counters_.calls;
    store_.get(key, [this, key, done = std::move(done)](
                        absl::StatusOr<stored_object> known) {
        if (known.ok()) {
            put_usage(key, known->value, known->version, done);
            return;
        }
        if (code_of(known.status()) == error_code::not_found) {
            put_usage(key, "", 0, done);
            return;
        }
        is_usage_busy_ = false;
        fail("read usage", known.status());
        done();
    });
}

void store_agent::put_usage(const std::string& key, const std::string& old_text,
                            std::uint64_t version, std::function<void()> done) {
    usage::usage_document current;
    if (!old_text.empty()) {
        auto parsed = usage::parse_usage(old_text);
        if (!parsed.ok()) {
            is_usage_busy_ = false;
            fail("parse usage", parsed.status());
            done();
            return;
        }
        current = *std::move(parsed);
    }
    auto merged = current.content;
    merged.merge(collected_);
    if (merged == current.content) {
        is_usage_busy_ = false;
        collected_ = {};
        done();
        return;
    }
    const auto next = usage::extend(current, collected_, hooks_.wall_us());
    ++counters_.calls;
    // Reports that come while the write is under way wait for the next one.
    store_.put(key, usage::to_text(next), version,
               [this, done = std::move(done)](
                   const absl::StatusOr<std::uint64_t>& written) {
                   is_usage_busy_ = false;
                   if (written.ok()) {
                       ++counters_.usage_writes;
                       collected_ = {};
                   } else {
                       // Kept, and merged again next time.
                       fail("write usage", written.status());
                   }
                   done();
               });
}

void store_agent::flush_usage(std::function<void()> done) {
    write_usage(std::move(done));
}

} // namespace redwingwind::node
