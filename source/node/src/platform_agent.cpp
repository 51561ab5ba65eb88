#include "platform_agent.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::node {

using platform_adapter::freshness;
using platform_adapter::object;
using platform_adapter::object_key;
using platform_adapter::object_list;
using platform_adapter::operator_configuration;

namespace {

/// The product's own kind of object: nodes that others may meet first.
constexpr const char* meeting_kind = "redwingwind-nodes";
constexpr std::uint32_t most_doublings = 5;

} // namespace

platform_agent::platform_agent(platform_agent_options options,
                               platform_adapter::object_client store,
                               coordination::address self, hooks h)
    : options_(std::move(options)), store_(std::move(store)),
      self_(std::move(self)), hooks_(std::move(h)) {}

void platform_agent::start() {
    await_config();
    find_peers();
}

duration platform_agent::pause() {
    const auto doublings = std::min(failures_, most_doublings);
    const auto whole =
        std::min(options_.least_pause * (1U << doublings), options_.most_pause);
    // Half of it at random, so that nodes do not come back all at once.
    const auto half = whole / 2;
    return half +
           duration(static_cast<std::int64_t>(
               hooks_.random() % static_cast<std::uint64_t>(half.count() + 1)));
}

void platform_agent::succeeded() {
    if (failures_ > 0)
        hooks_.on_store(true, absl::OkStatus());
    failures_ = 0;
}

void platform_agent::failed(const absl::Status& status) {
    ++counters_.failures;
    if (failures_++ == 0)
        hooks_.on_store(false, status);
}

void platform_agent::await_config() {
    ++counters_.calls;
    store_.get(operator_configuration(), freshness::may_lag,
               [this](const absl::StatusOr<object>& read) {
                   if (read.ok())
                       read_config();
                   else
                       retry_config(read.status());
               });
}

void platform_agent::read_config() {
    ++counters_.calls;
    store_.get(operator_configuration(), freshness::latest,
               [this](const absl::StatusOr<object>& read) {
                   if (!read.ok()) {
                       retry_config(read.status());
                       return;
                   }
                   succeeded();
                   revision_ = read->revision;
                   ++changes_seen_;
                   hooks_.on_config(read->content);
                   watch_config();
               });
}

void platform_agent::retry_config(const absl::Status& why) {
    // The operator may not have written the first one yet.
    const bool is_missing = code_of(why) == error_code::not_found;
    if (!is_missing)
        failed(why);
    hooks_.after(pause(), [this, is_missing] {
        if (is_missing)
            await_config();
        else
            read_config();
    });
}

void platform_agent::watch_config() {
    ++counters_.calls;
    // The others hear of a change from the holders; their own watch is for
    // the time when none of these reaches them.
    const bool is_holder = hooks_.is_holder();
    const auto wait =
        is_holder ? options_.holder_watch_time : options_.watch_time;
    const auto fresh = is_holder ? freshness::latest : freshness::may_lag;
    watch_ = store_.watch(operator_configuration().kind, revision_, wait, fresh,
                          [this](const absl::StatusOr<object_list>& seen) {
                              watch_ = 0;
                              on_watched(seen);
                          });
}

void platform_agent::on_watched(const absl::StatusOr<object_list>& seen) {
    if (!seen.ok()) {
        failed(seen.status());
        hooks_.after(pause(), [this] { read_config(); });
        return;
    }
    succeeded();
    revision_ = std::max(revision_, seen->at);
    for (const auto& it : seen->objects) {
        if (it.key != operator_configuration() || it.is_deleted)
            continue;
        ++changes_seen_;
        hooks_.on_config(it.content);
    }
    watch_config();
}

void platform_agent::told_elsewhere() {
    if (!hooks_.is_holder())
        return;
    hooks_.after(options_.watch_lag, [this, before = changes_seen_] {
        if (changes_seen_ != before || watch_ == 0)
            return;
        store_.cancel(std::exchange(watch_, 0));
        read_config();
    });
}

object_key platform_agent::own_key() const {
    auto name = coordination::to_string(self_);
    std::replace(name.begin(), name.end(), ':', '-');
    return {meeting_kind, name};
}

void platform_agent::find_peers() {
    if (is_leaving_)
        return;
    if (is_listed_ && hooks_.live_peers() > 0) {
        hooks_.after(options_.lonely_interval, [this] { find_peers(); });
        return;
    }
    ++counters_.calls;
    store_.list(meeting_kind, freshness::may_lag,
                [this](absl::StatusOr<object_list> seen) {
                    auto next = options_.lonely_interval;
                    if (seen.ok()) {
                        for (const auto& it : seen->objects) {
                            const auto told = read_json(it.content);
                            if (!told.is_object() || !told.contains("meet") ||
                                !told["meet"].is_string())
                                continue;
                            const auto where = coordination::parse_address(
                                told["meet"].get<std::string>());
                            if (where.port != 0 && where != self_)
                                hooks_.on_contact(where);
                        }
                        list_self(seen->objects.size());
                    } else if (code_of(seen.status()) ==
                               error_code::not_found) {
                        list_self(0);
                    } else {
                        next = std::max(next, pause());
                    }
                    hooks_.after(next, [this] { find_peers(); });
                });
}

void platform_agent::list_self(std::size_t listed) {
    if (is_listed_ || is_leaving_)
        return;
    is_listed_ = true;
    if (listed >= options_.meeting_points)
        return;
    nlohmann::json told;
    told["meet"] = coordination::to_string(self_);
    ++counters_.calls;
    store_.create(own_key(), told.dump(),
                  [this](const absl::StatusOr<object>& made) {
                      // Listed by an earlier life of this node is as good.
                      is_listed_ = made.ok() || code_of(made.status()) ==
                                                    error_code::conflict;
                  });
}

void platform_agent::leave() {
    is_leaving_ = true;
}

} // namespace redwingwind::node
