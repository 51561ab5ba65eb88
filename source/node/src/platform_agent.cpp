#include "platform_agent.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace redwingwind::node {

using platform_adapter::era_of;
using platform_adapter::freshness;
using platform_adapter::object;
using platform_adapter::object_key;
using platform_adapter::object_list;
using platform_adapter::operator_configuration;

namespace {

/// The product's own kind of object: nodes that others may meet first.
constexpr const char* meeting_kind = "redwingwind-nodes";
constexpr std::uint32_t most_doublings = 5;
/// A node without peers writes itself to a full list with a probability of 1 in
/// first_chance, which doubles at each further look. It keeps the writes of a
/// whole deployment that starts at once within the store's rate.
constexpr std::uint32_t first_chance = 16;
constexpr std::uint32_t most_chance_doublings = 4;

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

duration platform_agent::pause(std::uint32_t failures) {
    const auto doublings = std::min(failures, most_doublings);
    const auto whole =
        std::min(options_.least_pause * (1U << doublings), options_.most_pause);
    // Half of it at random, so that nodes do not come back all at once.
    const auto half = whole / 2;
    return half + spread_delay(half, hooks_.random);
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

era_effect platform_agent::note_era(std::uint64_t era) {
    const auto before = history_.era();
    const auto effect = history_.observe(era);
    if (effect == era_effect::late)
        ++counters_.late_responses;
    if (effect != era_effect::renewed)
        return effect;
    ++counters_.era_changes;
    hooks_.on_era(before, era);
    look_at_list_again();
    // Without a watch a read is under way or due.
    if (watch_ != 0) {
        store_.cancel(std::exchange(watch_, 0));
        read_config_later(read_delay());
    }
    return effect;
}

duration platform_agent::read_delay() {
    // Holders tell the others, so only they are in a hurry.
    if (hooks_.is_holder())
        return pause(0);
    return spread_delay(spread_window(options_.era_spread, hooks_.live_peers(),
                                      options_.era_reads_per_s),
                        hooks_.random);
}

void platform_agent::await_config() {
    ++counters_.calls;
    store_.get(operator_configuration(), freshness::may_lag,
               [this](const absl::StatusOr<object>& read) {
                   note_era(era_of(read));
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
                   if (note_era(era_of(read)) == era_effect::late)
                       read_config_later(pause(++late_in_a_row_));
                   else if (!read.ok())
                       retry_config(read.status());
                   else
                       on_read(*read);
               });
}

void platform_agent::on_read(const object& read) {
    succeeded();
    late_in_a_row_ = 0;
    history_.take_read(read.revision);
    ++changes_seen_;
    hooks_.on_config(read.content);
    watch_config();
}

void platform_agent::retry_config(const absl::Status& why) {
    // The operator may not have written the first one yet.
    const bool is_missing = code_of(why) == error_code::not_found;
    if (!is_missing)
        failed(why);
    hooks_.after(pause(failures_), [this, is_missing] {
        if (is_missing)
            await_config();
        else
            read_config();
    });
}

void platform_agent::read_config_later(duration delay) {
    hooks_.after(delay, [this] { read_config(); });
}

void platform_agent::watch_config() {
    ++counters_.calls;
    // The others hear of a change from the holders; their own watch is for
    // the time when none of these reaches them.
    const bool is_holder = hooks_.is_holder();
    const auto wait =
        is_holder ? options_.holder_watch_time : options_.watch_time;
    const auto fresh = is_holder ? freshness::latest : freshness::may_lag;
    watch_ = store_.watch(operator_configuration().kind,
                          history_.position().revision, wait, fresh,
                          [this, since = history_.position()](
                              const absl::StatusOr<object_list>& seen) {
                              watch_ = 0;
                              on_watched(since, seen);
                          });
}

void platform_agent::on_watched(const store_position& since,
                                const absl::StatusOr<object_list>& seen) {
    note_era(era_of(seen));
    switch (history_.judge_watch(since, era_of(seen))) {
    case watch_use::ignore:
        read_config_later(pause(++late_in_a_row_));
        return;
    case watch_use::read_anew:
        read_config_later(read_delay());
        return;
    case watch_use::take:
        break;
    }
    late_in_a_row_ = 0;
    if (!seen.ok()) {
        failed(seen.status());
        read_config_later(pause(failures_));
        return;
    }
    succeeded();
    take_events(*seen);
    watch_config();
}

void platform_agent::take_events(const object_list& seen) {
    history_.take_events(seen.at);
    for (const auto& it : seen.objects) {
        if (it.key != operator_configuration() || it.is_deleted)
            continue;
        ++changes_seen_;
        hooks_.on_config(it.content);
    }
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

void platform_agent::look_at_list_again() {
    // Entries that this node wrote come back first, so that few of the others
    // find the list short.
    auto delay = spread_delay(options_.era_spread, hooks_.random);
    if (!has_entry_)
        delay +=
            options_.era_spread +
            spread_delay(spread_window(options_.era_spread, hooks_.live_peers(),
                                       options_.era_looks_per_s),
                         hooks_.random);
    // find_peers() looks within its interval.
    hooks_.after(delay, [this] { is_listed_ = false; });
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
                [this](const absl::StatusOr<object_list>& seen) {
                    hooks_.after(on_list(seen), [this] { find_peers(); });
                });
}

duration platform_agent::on_list(const absl::StatusOr<object_list>& seen) {
    const bool is_late = note_era(era_of(seen)) == era_effect::late;
    const bool is_missing = code_of(seen.status()) == error_code::not_found;
    if (is_late || (!seen.ok() && !is_missing))
        return std::max(options_.lonely_interval, pause(++list_failures_));
    list_failures_ = 0;
    const auto listed = seen.ok() ? *seen : object_list{};
    for (const auto& it : listed.objects)
        meet(it);
    hooks_.on_list(listed.objects.size() == 1 &&
                   listed.objects.front().key == own_key());
    list_self(listed);
    look_alone(listed);
    return options_.lonely_interval;
}

void platform_agent::look_alone(const object_list& seen) {
    if (hooks_.live_peers() > 0 || has_entry_ || is_leaving_) {
        lonely_looks_ = 0;
        return;
    }
    if (lonely_looks_++ == 0) {
        unanswered_.clear();
        for (const auto& it : seen.objects)
            unanswered_.insert(it.key);
    }
    if (lonely_looks_ <= options_.lonely_looks)
        return;
    const auto doublings = std::min(lonely_looks_ - options_.lonely_looks - 1,
                                    most_chance_doublings);
    if (hooks_.random() % (first_chance >> doublings) != 0)
        return;
    write_entry();
    if (seen.objects.size() >= options_.meeting_points)
        remove_unanswered(seen);
}

void platform_agent::remove_unanswered(const object_list& seen) {
    std::vector<object_key> candidates;
    for (const auto& it : seen.objects)
        if (it.key != own_key() && unanswered_.contains(it.key))
            candidates.push_back(it.key);
    if (candidates.empty())
        return;
    ++counters_.calls;
    store_.remove(candidates[hooks_.random() % candidates.size()],
                  [this](const absl::StatusOr<object>& removed) {
                      note_era(era_of(removed));
                  });
}

void platform_agent::meet(const object& listed) {
    const auto told = read_json(listed.content);
    if (!told.is_object() || !told.contains("meet") ||
        !told["meet"].is_string())
        return;
    const auto where =
        coordination::parse_address(told["meet"].get<std::string>());
    if (where.port != 0 && where != self_)
        hooks_.on_contact(where);
}

void platform_agent::list_self(const object_list& seen) {
    if (is_listed_ || is_leaving_)
        return;
    is_listed_ = true;
    const bool is_there =
        std::any_of(seen.objects.begin(), seen.objects.end(),
                    [&](const object& it) { return it.key == own_key(); });
    has_entry_ = has_entry_ || is_there;
    if (is_there ||
        (!has_entry_ && seen.objects.size() >= options_.meeting_points))
        return;
    write_entry();
}

void platform_agent::write_entry() {
    nlohmann::json told;
    told["meet"] = coordination::to_string(self_);
    ++counters_.calls;
    store_.create(
        own_key(), told.dump(),
        [this, era = history_.era()](const absl::StatusOr<object>& made) {
            on_listed(era, made);
        });
}

void platform_agent::on_listed(std::uint64_t era_at_sending,
                               const absl::StatusOr<object>& made) {
    // Listed by an earlier life of this node is as good.
    const bool is_there =
        made.ok() || code_of(made.status()) == error_code::conflict;
    has_entry_ = has_entry_ || is_there;
    // A restart that is first told here may have come after the write.
    note_era(era_of(made));
    counters_.listings += made.ok() ? 1 : 0;
    is_listed_ = is_there && history_.is_written(era_at_sending);
}

void platform_agent::leave() {
    is_leaving_ = true;
}

} // namespace redwingwind::node
