#include <redwingwind/overload/target_gate.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace redwingwind::overload {
namespace {

/// Weight of the latest call in the average service time.
constexpr double service_time_weight = 0.02;
/// A waiting call is expected to need at least this share of the average
/// service time.
constexpr double min_service_share = 0.7;
/// Growth of the least service time with each call, so that old calls do not
/// count forever.
constexpr double least_time_growth = 1.01;
/// Lower bound of the average service time, which keeps the rate finite.
constexpr double min_service_time_s = 1e-4;
/// Lower bound of the rate, which keeps the expected wait finite.
constexpr double min_slots_freed_per_s = 1e-3;
/// Lower bound of the retry_after of a rejection.
constexpr duration min_retry_after = std::chrono::milliseconds(50);

duration to_duration(double s) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

} // namespace

double target_gate::call_stats::slots_freed_per_s(double slowdown) const {
    return static_cast<double>(running) /
           std::max(average_service_time_s * slowdown, min_service_time_s);
}

double target_gate::slowdown(const call_stats& stats) const {
    // The average was measured at the speeds of the past: only what differs
    // from them counts.
    if (relative_time_ <= 0 || stats.average_relative_time <= 0)
        return 1;
    return relative_time_ / stats.average_relative_time;
}

duration target_gate::min_service_time(const gate_call& call) const {
    const auto& stats = call.is_nested ? nested_calls_ : root_calls_;
    return to_duration(stats.average_service_time_s * slowdown(stats) *
                       min_service_share);
}

target_gate::call_stats& target_gate::stats_of(bool is_nested) {
    return is_nested ? nested_calls_ : root_calls_;
}

bool target_gate::is_too_late(time_point now, const gate_call& call) const {
    // The average would reject short calls for the long ones of other routes.
    const auto& stats = call.is_nested ? nested_calls_ : root_calls_;
    return now + to_duration(stats.least_service_time_s * relative_time_) >
           call.deadline;
}

void target_gate::measure(call_stats& stats, double service_time_s) const {
    stats.average_service_time_s +=
        service_time_weight * (service_time_s - stats.average_service_time_s);
    if (relative_time_ <= 0)
        return;
    const bool is_first = stats.average_relative_time <= 0;
    const double weight = is_first ? 1 : service_time_weight;
    stats.average_relative_time +=
        weight * (relative_time_ - stats.average_relative_time);
    const double at_usual_speed = service_time_s / relative_time_;
    stats.least_service_time_s =
        is_first ? at_usual_speed
                 : std::min(stats.least_service_time_s * least_time_growth,
                            at_usual_speed);
}

std::uint32_t target_gate::limit() const {
    const double usable = options_.slots * options_.usable_share;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable));
}

bool target_gate::precedes(const gate_call& a, const gate_call& b) {
    return std::tuple(!a.is_nested, a.priority, a.latest_useful, a.id) <
           std::tuple(!b.is_nested, b.priority, b.latest_useful, b.id);
}

time_point target_gate::latest_start(time_point now,
                                     const gate_call& call) const {
    const auto useful = std::min(call.latest_useful, call.deadline);
    const auto wait =
        std::min(to_duration(seconds(useful - now) * options_.wait_share),
                 options_.max_wait);
    return std::min(now + wait, useful - min_service_time(call));
}

duration target_gate::expected_wait(std::size_t position) const {
    const double rate =
        root_calls_.slots_freed_per_s(slowdown(root_calls_)) +
        nested_calls_.slots_freed_per_s(slowdown(nested_calls_));
    return to_duration(static_cast<double>(position + 1) /
                       std::max(rate, min_slots_freed_per_s));
}

double target_gate::offered_load(time_point now) const {
    // Executions that wait for a nested call make no further calls, so the
    // arrivals never exceed the completions and only the queue shows the
    // overload. Waiting calls are therefore added.
    const double slots = limit();
    return offered_load_.value(now, slots) +
           static_cast<double>(waiting_.size()) / slots;
}

gate_actions target_gate::arrive(time_point now, const gate_call& call) {
    gate_actions actions;
    offered_load_.on_arrival(
        now, to_duration(stats_of(call.is_nested).average_service_time_s));
    if (is_too_late(now, call)) {
        actions.reject.push_back(
            {call.id, error_code::overloaded, min_retry_after});
        return actions;
    }
    if (waiting_.empty() && running_.size() < limit()) {
        start(call, actions);
        return actions;
    }
    const auto at =
        std::upper_bound(waiting_.begin(), waiting_.end(), call,
                         [](const gate_call& a, const waiting_call& b) {
                             return precedes(a, b.call);
                         });
    const auto position = static_cast<std::size_t>(at - waiting_.begin());
    const auto latest = latest_start(now, call);
    const auto wait = expected_wait(position);
    if (now + wait > latest || waiting_.size() >= options_.max_waiting) {
        actions.reject.push_back(
            {call.id, error_code::overloaded, std::max(wait, min_retry_after)});
        return actions;
    }
    waiting_.insert(at, {call, latest});
    // The calls behind the new one now wait longer.
    while (waiting_.size() > position + 1 &&
           now + expected_wait(waiting_.size() - 1) >
               waiting_.back().latest_start)
        reject(waiting_.size() - 1, error_code::overloaded, actions);
    start_waiting(actions);
    return actions;
}

void target_gate::reject(std::size_t position, error_code why,
                         gate_actions& actions) {
    const auto at = waiting_.begin() + static_cast<std::ptrdiff_t>(position);
    actions.reject.push_back(
        {at->call.id, why, std::max(expected_wait(position), min_retry_after)});
    waiting_.erase(at);
}

void target_gate::start(const gate_call& call, gate_actions& actions) {
    running_.emplace(call.id, call.is_nested);
    ++stats_of(call.is_nested).running;
    actions.start.push_back(call.id);
}

std::size_t target_gate::next_to_start() const {
    const bool has_room = static_cast<double>(root_calls_.running) <
                          options_.root_share * limit();
    if (!has_room || !waiting_.front().call.is_nested)
        return 0;
    const auto first_root =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [](const auto& it) { return !it.call.is_nested; });
    return first_root == waiting_.end()
               ? 0
               : static_cast<std::size_t>(first_root - waiting_.begin());
}

void target_gate::start_waiting(gate_actions& actions) {
    while (!waiting_.empty() && running_.size() < limit()) {
        const auto at =
            waiting_.begin() + static_cast<std::ptrdiff_t>(next_to_start());
        start(at->call, actions);
        waiting_.erase(at);
    }
}

gate_actions target_gate::finish(time_point now, std::uint64_t id,
                                 duration service_time) {
    if (const auto it = running_.find(id); it != running_.end()) {
        auto& stats = stats_of(it->second);
        --stats.running;
        measure(stats, seconds(service_time));
        running_.erase(it);
    }
    auto actions = expire(now);
    start_waiting(actions);
    return actions;
}

bool target_gate::withdraw(std::uint64_t id) {
    const auto at =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&](const auto& it) { return it.call.id == id; });
    if (at == waiting_.end())
        return false;
    waiting_.erase(at);
    return true;
}

gate_actions target_gate::expire(time_point now) {
    gate_actions actions;
    for (std::size_t n = waiting_.size(); n-- > 0;)
        if (waiting_[n].latest_start < now)
            reject(n, error_code::overloaded, actions);
    return actions;
}

gate_actions target_gate::close(error_code why) {
    gate_actions actions;
    while (!waiting_.empty())
        reject(waiting_.size() - 1, why, actions);
    return actions;
}

time_point target_gate::next_expiry() const {
    auto next = time_point::max();
    for (const auto& it : waiting_)
        next = std::min(next, it.latest_start);
    return next;
}

load_report target_gate::load() const {
    return {static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size()), limit(), 0};
}

} // namespace redwingwind::overload
