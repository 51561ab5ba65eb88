#include <redwingwind/overload/load_forecast.hpp>

#include <redwingwind/overload/relative_service_time.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// Weight of a report in the mean occupancy of the service.
constexpr double mean_weight = 0.05;
/// Time over which calls are averaged for the turnover, in seconds.
constexpr double turnover_window_s = 2.0;
constexpr double min_turnover_s = 0.001;
constexpr double max_turnover_s = 10.0;
/// Time constant with which a reported speed decays to the target's average:
/// longer than a disturbance of 0.6 s lasts, as the targets' queues outlast it.
constexpr double speed_decay_s = 1.0;
/// Time constant of a target's average speed.
constexpr double average_speed_s = 5.0;
/// Part of the calls of others since a report that counts as spread. With all
/// of them, callers whose reports come with replies, each at another time,
/// ignore most of what they know, and wait longer than by the last report
/// alone (load-balance-test).
constexpr double spread_share = 0.1;
/// Least spread where other nodes call the target, in calls over slots: calls
/// of a burst arrive before any report tells of them.
constexpr double min_spread = 0.02;
/// Keeps the division by the spread finite for the only caller of a target.
constexpr double smallest_spread = 1e-4;
/// Upper bound of the exponent, which keeps its value finite.
constexpr double max_exponent = 600.0;

/// Calls to each target, on average, that are remembered.
constexpr double remembered_calls = 4.0;
/// By how many calls fewer in its share a target is to be preferred by a factor
/// of e: the caller goes round its targets nearly in turn.
constexpr double evenness = 1.5;

double unit(std::uint64_t bits) {
    constexpr double two_pow_53 = 9007199254740992.0;
    return (static_cast<double>(bits >> 11U) + 0.5) / two_pow_53;
}

/// Steps of splitmix64, which make several numbers of one random one.
std::uint64_t next_bits(std::uint64_t& state) {
    state += 0x9e3779b97f4a7c15U;
    auto z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

} // namespace

void load_forecast::on_sent(time_point now, target_record& target,
                            std::size_t targets) {
    count(now, 1, 0);
    target.weighted_calls += call_weight_;
    const double remembered =
        remembered_calls *
        static_cast<double>(std::max<std::size_t>(targets, 1));
    call_weight_ *= 1 + 1 / remembered;
}

void load_forecast::count(time_point now, int change, int ended) {
    const double before = outstanding_;
    outstanding_ = std::max(0.0, outstanding_ + change);
    if (!is_used_)
        return;
    const double elapsed = std::max(0.0, seconds(now - counted_));
    const bool is_first = counted_ == time_point{};
    counted_ = std::max(counted_, now);
    if (!is_first) {
        const double kept = std::exp(-elapsed / turnover_window_s);
        call_seconds_ = call_seconds_ * kept + before * elapsed;
        ended_ *= kept;
    }
    ended_ += ended;
    // Little's law: the mean time of a call is calls present over calls ended.
    if (ended_ >= 1)
        turnover_s_ =
            std::clamp(call_seconds_ / ended_, min_turnover_s, max_turnover_s);
}

void load_forecast::take_speed(time_point now, target_record& target,
                               std::uint16_t percent) {
    if (percent == 0)
        return;
    if (!is_plausible_service_time(percent)) {
        ++ignored_figures_;
        return;
    }
    const double relative = percent / 100.0;
    const double elapsed = std::max(0.0, seconds(now - target.reported));
    const double weight =
        target.has_report ? 1 - std::exp(-elapsed / average_speed_s) : 1.0;
    target.average_service_time +=
        weight * (relative - target.average_service_time);
    target.relative_service_time = relative;
    has_speeds_ = true;
    is_used_ = true;
}

void load_forecast::on_report(time_point now, target_record& target,
                              const load_report& report,
                              std::uint32_t outstanding) {
    take_speed(now, target, report.relative_service_time);
    target.slots = std::max<std::uint32_t>(report.limit, 1);
    const double calls = static_cast<double>(report.running) +
                         static_cast<double>(report.queued);
    target.occupancy = calls / target.slots;
    target.others_share =
        calls > 0 ? std::clamp(1 - outstanding / calls, 0.0, 1.0) : 1.0;
    mean_occupancy_ += mean_weight * (target.occupancy - mean_occupancy_);
    target.reported = now;
    target.has_report = true;
}

load_estimate load_forecast::estimate(time_point now,
                                      const target_record& target,
                                      std::uint32_t sent_since) const {
    const double own = sent_since / target.slots;
    const double recent =
        target.weighted_calls / call_weight_ / remembered_calls;
    if (!target.has_report)
        return {mean_occupancy_ + own,
                target.slots / target.average_service_time, mean_occupancy_,
                recent};
    const double age = std::max(0.0, seconds(now - target.reported));
    const double ages = age / turnover_s_;
    const double decay = std::exp(-ages);
    const double speed_decay = std::exp(-age / speed_decay_s);
    const double time =
        target.average_service_time +
        (target.relative_service_time - target.average_service_time) *
            speed_decay;
    const double occupancy =
        mean_occupancy_ + (target.occupancy - mean_occupancy_) * decay;
    const double flow = spread_share * mean_occupancy_ * ages;
    return {occupancy + own, target.slots / time,
            target.others_share * std::max(flow, min_spread),
            recent * (1 - decay)};
}

void target_draw::add(std::size_t key, const load_estimate& estimate,
                      double extra) {
    if (is_full())
        return;
    entries_[size_++] = {key, estimate.occupancy + extra, estimate.capacity,
                         estimate.recent_calls};
    lowest_ = std::min(lowest_, estimate.occupancy + extra);
    spread_sum_ += estimate.spread;
    capacity_sum_ += estimate.capacity;
}

double target_draw::occupancy_of(std::size_t key) const {
    for (std::size_t n = 0; n < size_; ++n)
        if (entries_[n].key == key)
            return entries_[n].occupancy;
    return 0;
}

std::size_t target_draw::draw(std::uint64_t random) const {
    if (size_ == 0)
        return npos;
    const double spread =
        std::max(spread_sum_ / static_cast<double>(size_), smallest_spread);
    // The least of exponentially distributed times is the one of a target with
    // a probability proportional to its rate.
    auto state = random;
    const double mean_capacity = capacity_sum_ / static_cast<double>(size_);
    std::size_t best = 0;
    double best_time = 0;
    for (std::size_t n = 0; n < size_; ++n) {
        const auto& it = entries_[n];
        const double exponent = std::min((it.occupancy - lowest_) / spread +
                                             evenness * it.recent_calls *
                                                 mean_capacity / it.capacity,
                                         max_exponent);
        const double time = -std::log(unit(next_bits(state))) *
                            std::exp(exponent) / it.capacity;
        if (n == 0 || time < best_time) {
            best = n;
            best_time = time;
        }
    }
    return entries_[best].key;
}

} // namespace redwingwind::overload
