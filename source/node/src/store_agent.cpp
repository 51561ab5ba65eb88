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

using platform_adapter::era_of;
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

era_effect store_agent::note_era(std::uint64_t era) {
    const auto before = history_.era();
    const auto effect = history_.observe(era);
    if (effect == era_effect::late)
        ++counters_.late_responses;
    if (effect != era_effect::renewed)
        return effect;
    ++counters_.era_changes;
    hooks_.on_era(before, era);
    may_lack_graphs_ = true;
    if (std::exchange(is_watch_open_, false)) {
        // Its answer would leave out changes that were issued anew.
        ++watch_number_;
        list_graphs_later(spread_delay(options_.era_spread, hooks_.random));
    }
    // Merging keeps the larger counters, so what was not lost does no harm.
    collected_.merge(written_before_);
    collected_.merge(written_);
    // look_for_duties() then reads the seed and writes it if it is gone.
    hooks_.after(spread_delay(options_.era_spread, hooks_.random),
                 [this] { is_seed_written_ = false; });
    return effect;
}

void store_agent::keep_seeds() {
    std::size_t place = 0;
    if (!has_duty("seed", options_.seeds, &place)) {
        is_seed_written_ = false;
        return;
    }
    const auto now = hooks_.now();
    const bool is_check_due = history_.era() != 0 && now >= next_seed_check_;
    if (is_seed_busy_ || (is_seed_written_ && !is_check_due))
        return;
    next_seed_check_ = now + options_.seed_check_interval;
    keep_seed(place);
}

void store_agent::look_for_duties() {
    keep_seeds();
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
        if (note_era(era_of(seeds)) == era_effect::late) {
            fail("list seeds", make_error(error_code::store_unavailable,
                                          "a response of an earlier era"));
        } else if (seeds.ok()) {
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
        const bool is_late = note_era(era_of(known)) == era_effect::late;
        const bool is_missing =
            code_of(known.status()) == error_code::not_found;
        if (is_late || (!known.ok() && !is_missing)) {
            is_seed_busy_ = false;
            if (!is_late)
                fail("read seed", known.status());
            return;
        }
        if (known.ok() && known->value == seed_text()) {
            is_seed_busy_ = false;
            is_seed_written_ = true;
            return;
        }
        write_seed(key, known.ok() ? known->version : 0);
    });
}

std::string store_agent::seed_text() const {
    const auto& self = core_.members().self();
    const nlohmann::json value{{"node", self.id.name.value},
                               {"life", self.id.life.value},
                               {"address", to_string(self.endpoint)}};
    return value.dump();
}

void store_agent::write_seed(const std::string& key,
                             std::uint64_t over_version) {
    ++counters_.calls;
    store_.put(key, seed_text(), over_version,
               [this, era = history_.era()](
                   const absl::StatusOr<std::uint64_t>& version) {
                   on_seed_written(era, version);
               });
}

void store_agent::on_seed_written(
    std::uint64_t era_at_sending,
    const absl::StatusOr<std::uint64_t>& version) {
    note_era(era_of(version.status()));
    is_seed_busy_ = false;
    is_seed_written_ = version.ok() && history_.is_written(era_at_sending);
    if (version.ok())
        return;
    fail("write seed", version.status());
    // Someone else started first; meet that node.
    if (code_of(version.status()) == error_code::conflict)
        find_peers();
}

// Configurations ------------------------------------------------------------

void store_agent::list_graphs() {
    ++counters_.calls;
    store_.list(graph_prefix, [this](const absl::StatusOr<listing>& graphs) {
        on_listed(graphs);
    });
}

void store_agent::list_graphs_later(duration delay) {
    hooks_.after(delay, [this] {
        is_watching_ = has_duty("watch", options_.watchers);
        if (is_watching_)
            list_graphs();
    });
}

void store_agent::on_listed(const absl::StatusOr<listing>& graphs) {
    const bool is_late = note_era(era_of(graphs)) == era_effect::late;
    if (is_late || !graphs.ok()) {
        if (!is_late)
            fail("list graphs", graphs.status());
        list_graphs_later(watch_backoff_.next(options_, hooks_.random));
        return;
    }
    watch_backoff_.reset();
    history_.take_read(graphs->revision);
    offer_graphs(*graphs);
    if (std::exchange(may_lack_graphs_, false))
        write_lost_graphs(*graphs);
    watch_graphs();
}

void store_agent::write_lost_graphs(const listing& stored) {
    const auto lost = find_lost_graphs(core_.configs(), stored);
    for (const auto& graph : lost.diverged)
        fail("write graph " + graph.value + " again",
             make_error(error_code::conflict,
                        "the store holds another change; apply it anew"));
    for (const auto& it : lost.to_write)
        hooks_.after(spread_delay(options_.era_spread, hooks_.random),
                     [this, it] { write_graph(it); });
}

void store_agent::write_graph(const graph_write& graph) {
    ++counters_.calls;
    store_.put(graph_prefix + graph.graph.value, graph.text, graph.over_version,
               [this, era = history_.era()](
                   const absl::StatusOr<std::uint64_t>& version) {
                   note_era(era_of(version.status()));
                   if (version.ok() && history_.is_written(era)) {
                       ++counters_.graphs_rewritten;
                       return;
                   }
                   // Another node wrote it first.
                   if (code_of(version.status()) == error_code::conflict)
                       return;
                   if (!version.ok())
                       fail("write graph again", version.status());
                   // The next list compares again.
                   may_lack_graphs_ = true;
               });
}

void store_agent::watch_graphs() {
    if (!has_duty("watch", options_.watchers)) {
        is_watching_ = false;
        return;
    }
    ++counters_.calls;
    is_watch_open_ = true;
    store_.watch(graph_prefix, history_.position().revision,
                 options_.watch_time,
                 [this, since = history_.position(), number = ++watch_number_](
                     const absl::StatusOr<listing>& graphs) {
                     if (number != watch_number_)
                         return;
                     is_watch_open_ = false;
                     on_watched(since, graphs);
                 });
}

void store_agent::on_watched(const store_position& since,
                             const absl::StatusOr<listing>& graphs) {
    note_era(era_of(graphs));
    const auto use = history_.judge_watch(since, era_of(graphs));
    if (use == watch_use::take && !graphs.ok())
        fail("watch graphs", graphs.status());
    if (use != watch_use::take || !graphs.ok() || may_lack_graphs_) {
        list_graphs_later(watch_backoff_.next(options_, hooks_.random));
        return;
    }
    watch_backoff_.reset();
    history_.take_events(graphs->revision);
    offer_graphs(*graphs);
    watch_graphs();
}

void store_agent::offer_graphs(const listing& graphs) {
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
        if (note_era(era_of(known)) == era_effect::late) {
            is_usage_busy_ = false;
            done();
            return;
        }
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
        keep_written(std::exchange(collected_, {}));
        done();
        return;
    }
    const auto next = usage::extend(current, collected_, hooks_.wall_us());
    ++counters_.calls;
    // Reports that come while the write is under way wait for the next one.
    store_.put(key, usage::to_text(next), version,
               [this, era = history_.era(), done = std::move(done)](
                   const absl::StatusOr<std::uint64_t>& written) {
                   on_usage_written(era, written);
                   done();
               });
}

void store_agent::on_usage_written(
    std::uint64_t era_at_sending,
    const absl::StatusOr<std::uint64_t>& written) {
    note_era(era_of(written.status()));
    is_usage_busy_ = false;
    if (!written.ok()) {
        // Kept, and merged again next time.
        fail("write usage", written.status());
        return;
    }
    ++counters_.usage_writes;
    if (!history_.is_written(era_at_sending))
        return;
    keep_written(std::exchange(collected_, {}));
}

void store_agent::keep_written(const usage::roll_up& rows) {
    // A store that tells no era can't be noticed to have restarted.
    if (history_.era() == 0)
        return;
    const auto now = hooks_.now();
    if (now >= next_rotation_) {
        next_rotation_ = now + options_.usage_kept;
        written_before_ = std::exchange(written_, {});
    }
    written_.merge(rows);
}

void store_agent::flush_usage(std::function<void()> done) {
    write_usage(std::move(done));
}

} // namespace redwingwind::node
