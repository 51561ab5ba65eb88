#include <redwingwind/overload/admission.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr double latency_weight = 0.06;
/// A call is too late if less than this share of the average latency is left
/// until its deadline; below 1 because calls may be faster than the average.
constexpr double min_time_left_share = 0.5;
constexpr std::size_t min_queue_slots = 16;

} // namespace

admission::admission(admission_options options, weight_hook weight,
                     time_point now)
    : options_(options), owner_weight_(std::move(weight)),
      limit_(options.limit, now), level_(options.level_decay) {}

rank admission::level() const {
    return options_.mode == control_mode::full ? level_.level() : rank{};
}

void admission::update_policy(double queue_per_slot, double level_decay) {
    options_.queue_per_slot = queue_per_slot;
    level_.set_decay(level_decay);
}

duration admission::expected_latency(importance kind) const {
    const auto n = average_latency_s_[static_cast<std::size_t>(kind)];
    return duration(static_cast<duration::rep>(n * 1e6));
}

bool admission::has_less_important_running(importance kind) const {
    const auto end = running_by_kind_.begin() + static_cast<int>(kind);
    return std::any_of(running_by_kind_.begin(), end,
                       [](std::uint32_t n) { return n > 0; });
}

bool admission::has_less_important_queued(importance kind) const {
    return !queue_.empty() && importance_of(queue_.back().call_rank) < kind;
}

std::size_t admission::max_queue_length(time_point now) const {
    const auto n =
        static_cast<std::size_t>(options_.queue_per_slot * limit_.value(now));
    return std::min<std::size_t>(std::max(n, min_queue_slots),
                                 options_.max_queued);
}

double admission::weighted_usage(const owner_name& owner) const {
    const auto it = calls_by_owner_.find(owner);
    const double n = it == calls_by_owner_.end() ? 0.0 : it->second;
    return n / std::max(owner_weight_(owner), 1e-6);
}

/// True if a is shed before b: lower importance first, then the owner that
/// uses more relative to its weight, then the lower rank.
bool admission::is_shed_before(const admission_call& a,
                               const admission_call& b) const {
    const auto kind_a = importance_of(a.call_rank);
    const auto kind_b = importance_of(b.call_rank);
    if (kind_a != kind_b)
        return kind_a < kind_b;
    if (a.owner != b.owner) {
        const double usage_a = weighted_usage(a.owner);
        const double usage_b = weighted_usage(b.owner);
        if (usage_a != usage_b)
            return usage_a > usage_b;
    }
    return a.call_rank < b.call_rank;
}

std::size_t admission::next_to_shed() const {
    std::size_t lowest = queue_.size() - 1;
    for (std::size_t n = queue_.size(); n-- > 0;) {
        if (importance_of(queue_[n].call_rank) !=
            importance_of(queue_.back().call_rank))
            break;
        if (is_shed_before(queue_[n], queue_[lowest]))
            lowest = n;
    }
    return lowest;
}

void admission::reject(std::uint64_t id, error_code why,
                       admission_actions& actions) {
    level_.on_rejected();
    actions.reject.push_back({id, why});
}

void admission::start(time_point now, const admission_call& call,
                      admission_actions& actions) {
    const auto n = static_cast<std::uint32_t>(running_.size() + 1);
    running_.emplace(call.id, running_call{call, now, n});
    ++running_by_kind_[static_cast<std::size_t>(importance_of(call.call_rank))];
    level_.on_start();
    actions.start.push_back(call.id);
}

bool admission::is_too_late(time_point now, const admission_call& call) const {
    const auto average = expected_latency(importance_of(call.call_rank));
    const auto min_time_left = min_time_left_share * seconds(average);
    return call.deadline <= now || seconds(call.deadline - now) < min_time_left;
}

/// The wait behind the queued calls that start first, each taking the average
/// latency.
duration admission::expected_wait(time_point now,
                                  const admission_call& call) const {
    const auto ahead = std::count_if(queue_.begin(), queue_.end(),
                                     [&](const admission_call& it) {
                                         return it.call_rank >= call.call_rank;
                                     });
    const auto average = expected_latency(importance_of(call.call_rank));
    return average * ahead / limit_.value(now);
}

admission_actions admission::arrive(time_point now,
                                    const admission_call& call) {
    admission_actions actions;
    if (options_.mode == control_mode::none ||
        options_.mode == control_mode::retries) {
        start(now, call, actions);
        return actions;
    }
    level_.on_arrival(call.call_rank);
    const auto kind = importance_of(call.call_rank);
    ++calls_by_owner_[call.owner];
    if (is_too_late(now, call)) {
        actions.reject.push_back({call.id, error_code::deadline_too_short});
    } else if (options_.mode == control_mode::fixed) {
        if (queue_.size() < max_queue_length(now))
            queue_.push_back(call);
        else
            reject(call.id, error_code::overloaded, actions);
    } else if (call.call_rank < level() && !has_less_important_queued(kind) &&
               !has_less_important_running(kind)) {
        reject(call.id, error_code::overloaded, actions);
    } else {
        enqueue(now, call, actions);
    }
    for (const auto& it : actions.reject)
        if (it.id == call.id)
            --calls_by_owner_[call.owner];
    start_queued(now, actions);
    report_occupancy(now);
    return actions;
}

/// Queues the call and sheds the lowest one if the queue is then too long.
void admission::enqueue(time_point now, const admission_call& call,
                        admission_actions& actions) {
    const bool must_wait = running_.size() >= limit_.value(now);
    if (must_wait &&
        !has_less_important_running(importance_of(call.call_rank)) &&
        is_too_late(now + expected_wait(now, call), call)) {
        reject(call.id, error_code::overloaded, actions);
        return;
    }
    const auto position =
        std::upper_bound(queue_.begin(), queue_.end(), call,
                         [](const admission_call& a, const admission_call& b) {
                             return a.call_rank > b.call_rank;
                         });
    queue_.insert(position, call);
    start_queued(now, actions);
    if (queue_.size() <= max_queue_length(now))
        return;
    const auto lowest = next_to_shed();
    const auto lowest_call = queue_[lowest];
    const auto kind = importance_of(lowest_call.call_rank);
    if (is_critical(kind) && stop_less_important(kind, actions)) {
        start_queued(now, actions);
        return;
    }
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(lowest));
    const bool is_over_share =
        lowest_call.owner != call.owner &&
        weighted_usage(lowest_call.owner) > weighted_usage(call.owner);
    reject(lowest_call.id,
           is_over_share ? error_code::over_share : error_code::overloaded,
           actions);
    if (lowest_call.id != call.id)
        --calls_by_owner_[lowest_call.owner];
}

bool admission::stop_less_important(importance kind,
                                    admission_actions& actions) {
    if (!has_less_important_running(kind))
        return false;
    const auto lowest = std::min_element(
        running_.begin(), running_.end(), [](const auto& a, const auto& b) {
            return a.second.call.call_rank < b.second.call.call_rank;
        });
    const auto call = lowest->second.call;
    running_.erase(lowest);
    --running_by_kind_[static_cast<std::size_t>(importance_of(call.call_rank))];
    --calls_by_owner_[call.owner];
    level_.on_rejected();
    actions.stop.push_back(call.id);
    return true;
}

void admission::start_queued(time_point now, admission_actions& actions) {
    while (!queue_.empty() && running_.size() < limit_.value(now)) {
        const auto call = queue_.front();
        queue_.erase(queue_.begin());
        if (is_too_late(now, call)) {
            reject(call.id, error_code::overloaded, actions);
            --calls_by_owner_[call.owner];
        } else {
            start(now, call, actions);
        }
    }
}

admission_actions admission::finish(time_point now, std::uint64_t id,
                                    execution_result end) {
    admission_actions actions;
    const auto it = running_.find(id);
    if (it == running_.end())
        return actions;
    const auto ended = it->second;
    running_.erase(it);
    const auto kind =
        static_cast<std::size_t>(importance_of(ended.call.call_rank));
    --running_by_kind_[kind];
    if (options_.mode == control_mode::none ||
        options_.mode == control_mode::retries)
        return actions;
    --calls_by_owner_[ended.call.owner];
    if (end == execution_result::completed) {
        const auto latency = now - ended.started;
        auto& average = average_latency_s_[kind];
        average = average == 0
                      ? seconds(latency)
                      : average + latency_weight * (seconds(latency) - average);
        limit_.on_complete(now, latency, ended.running_at_start);
    } else if (end == execution_result::shed) {
        limit_.on_shed(now);
    }
    start_queued(now, actions);
    report_occupancy(now);
    return actions;
}

bool admission::withdraw(std::uint64_t id) {
    const auto it =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](const admission_call& w) { return w.id == id; });
    if (it == queue_.end())
        return false;
    --calls_by_owner_[it->owner];
    queue_.erase(it);
    return true;
}

admission_actions admission::tick(time_point now) {
    admission_actions actions;
    for (std::size_t n = queue_.size(); n-- > 0;) {
        if (!is_too_late(now, queue_[n]))
            continue;
        reject(queue_[n].id, error_code::overloaded, actions);
        --calls_by_owner_[queue_[n].owner];
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(n));
    }
    start_queued(now, actions);
    report_occupancy(now);
    return actions;
}

void admission::report_occupancy(time_point now) {
    const double share = double(running_.size()) / limit_.value(now);
    level_.on_occupancy(now, share, queue_.empty());
}

} // namespace redwingwind::overload
