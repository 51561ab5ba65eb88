#include <redwingwind/overload/target_gate.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace redwingwind::overload {
namespace {

/// Weight of the latest call in the smoothed time at the target.
constexpr double time_weight = 0.02;
/// A call that waits is expected to need at least this share of the usual
/// time at the target.
constexpr double least_service_share = 0.7;
/// Shorter times at the target are taken for this, so that a rate is finite.
constexpr double least_time_s = 1e-4;
/// Slots a second that are counted on at least.
constexpr double least_rate = 1e-3;
/// Callers that are turned away are not told to come back sooner.
constexpr duration least_retry_after = std::chrono::milliseconds(50);

duration to_duration(double s) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

} // namespace

double target_gate::kind_of_call::rate() const {
    return static_cast<double>(running) / std::max(usual_time, least_time_s);
}

target_gate::kind_of_call& target_gate::of(bool is_nested) {
    return is_nested ? nested_ : direct_;
}

std::uint32_t target_gate::limit() const {
    const double usable = options_.slots * options_.usable_share;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable));
}

bool target_gate::goes_before(const gate_call& a, const gate_call& b) {
    return std::tuple(!a.is_nested, a.priority, a.latest_useful, a.id) <
           std::tuple(!b.is_nested, b.priority, b.latest_useful, b.id);
}

time_point target_gate::latest_start(time_point now,
                                     const gate_call& call) const {
    const double usual = (call.is_nested ? nested_ : direct_).usual_time;
    const auto service = to_duration(usual * least_service_share);
    const auto useful = std::min(call.latest_useful, call.deadline);
    const auto wait =
        std::min(to_duration(seconds(useful - now) * options_.wait_share),
                 options_.max_wait);
    return std::min(now + wait, useful - service);
}

duration target_gate::expected_wait(std::size_t place) const {
    // Slots that become free in a second.
    const double rate = direct_.rate() + nested_.rate();
    return to_duration(static_cast<double>(place + 1) /
                       std::max(rate, least_rate));
}

double target_gate::offered_load(time_point now) const {
    // Runs that wait for their calls make no others: what comes is then no
    // more than what leaves, and only the queue tells of too little room.
    const double slots = limit();
    return strain_.value(now, slots) +
           static_cast<double>(waiting_.size()) / slots;
}

gate_actions target_gate::arrive(time_point now, const gate_call& call) {
    gate_actions steps;
    strain_.on_arrival(now, to_duration(of(call.is_nested).usual_time));
    if (waiting_.empty() && running_.size() < limit()) {
        begin(call, steps);
        return steps;
    }
    const auto at =
        std::upper_bound(waiting_.begin(), waiting_.end(), call,
                         [](const gate_call& a, const waiting_call& b) {
                             return goes_before(a, b.call);
                         });
    const auto place = static_cast<std::size_t>(at - waiting_.begin());
    const auto latest = latest_start(now, call);
    const auto wait = expected_wait(place);
    if (now + wait > latest || waiting_.size() >= options_.max_waiting) {
        steps.reject.push_back({call.id, error_code::overloaded,
                                std::max(wait, least_retry_after)});
        return steps;
    }
    waiting_.insert(at, {call, latest});
    // Those behind now wait longer.
    while (waiting_.size() > place + 1 &&
           now + expected_wait(waiting_.size() - 1) >
               waiting_.back().latest_start)
        reject(waiting_.size() - 1, error_code::overloaded, steps);
    fill(steps);
    return steps;
}

void target_gate::reject(std::size_t place, error_code why,
                         gate_actions& steps) {
    const auto at = waiting_.begin() + static_cast<std::ptrdiff_t>(place);
    steps.reject.push_back(
        {at->call.id, why, std::max(expected_wait(place), least_retry_after)});
    waiting_.erase(at);
}

void target_gate::begin(const gate_call& call, gate_actions& steps) {
    running_.emplace(call.id, call.is_nested);
    ++of(call.is_nested).running;
    steps.start.push_back(call.id);
}

std::size_t target_gate::next_to_start() const {
    const bool has_room =
        static_cast<double>(direct_.running) < options_.root_share * limit();
    if (!has_room || !waiting_.front().call.is_nested)
        return 0;
    const auto direct =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [](const auto& it) { return !it.call.is_nested; });
    return direct == waiting_.end()
               ? 0
               : static_cast<std::size_t>(direct - waiting_.begin());
}

void target_gate::fill(gate_actions& steps) {
    while (!waiting_.empty() && running_.size() < limit()) {
        const auto at =
            waiting_.begin() + static_cast<std::ptrdiff_t>(next_to_start());
        begin(at->call, steps);
        waiting_.erase(at);
    }
}

gate_actions target_gate::finish(time_point now, std::uint64_t id,
                                 duration took) {
    if (const auto it = running_.find(id); it != running_.end()) {
        auto& kind = of(it->second);
        --kind.running;
        kind.usual_time += time_weight * (seconds(took) - kind.usual_time);
        running_.erase(it);
    }
    auto steps = expire(now);
    fill(steps);
    return steps;
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
    gate_actions steps;
    for (std::size_t n = waiting_.size(); n-- > 0;)
        if (waiting_[n].latest_start < now)
            reject(n, error_code::overloaded, steps);
    return steps;
}

gate_actions target_gate::close(error_code why) {
    gate_actions steps;
    while (!waiting_.empty())
        reject(waiting_.size() - 1, why, steps);
    return steps;
}

time_point target_gate::next_expiry() const {
    auto next = time_point::max();
    for (const auto& it : waiting_)
        next = std::min(next, it.latest_start);
    return next;
}

load_report target_gate::load() const {
    return {static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size()), limit()};
}

} // namespace redwingwind::overload
