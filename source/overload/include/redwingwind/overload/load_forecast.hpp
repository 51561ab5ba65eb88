#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/balancer.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace redwingwind::overload {

/// How the targets of a service are compared.
enum class balance_mode : std::uint8_t {
    /// By forecast once a target of the service reported a relative service
    /// time, by reported load until then.
    automatic,
    /// By the load that was reported last and the calls sent since.
    reported,
    /// By the load and speed that are expected now.
    forecast
};

/// What a caller expects of a target now.
struct load_estimate {
    /// Calls over slots.
    double occupancy{};
    /// Slots over the relative service time, 1 being the usual time.
    double capacity{1};
    /// Change of the occupancy that the calls of others may have caused since
    /// the report, in calls over slots.
    double spread{};
    /// Latest calls of this node to the target, weighted less the newer the
    /// report is.
    double recent_calls{};
};

/// Estimates the load of a service's targets from reports of any age. A
/// reported deviation from the mean of the service decays within the time that
/// calls stay at the targets, as the calls that caused it end. A reported speed
/// decays to the target's own average, which outlasts a short disturbance.
class load_forecast {
  public:
    /// What is known of one target.
    struct target_record {
        /// Calls over slots, as reported.
        double occupancy{};
        /// Part of the occupancy that calls of other nodes caused, 0 to 1.
        double others_share{1};
        double slots{1};
        /// 1 is the usual time; as reported last, and its average.
        double relative_service_time{1};
        double average_service_time{1};
        time_point reported{};
        bool has_report{};
        /// Calls of this node, the latest ones weighted most.
        double weighted_calls{};
    };

    /// By default the turnover is measured once a target reported a relative
    /// service time, so that services without that cost nothing.
    explicit load_forecast(bool is_always_used = false)
        : is_used_(is_always_used) {}

    /// Whether a target reported a relative service time.
    bool has_speeds() const { return has_speeds_; }
    /// Reports whose relative service time was out of range.
    std::uint64_t ignored_figures() const { return ignored_figures_; }
    /// Expected occupancy of a target without a report.
    double mean_occupancy() const { return mean_occupancy_; }
    /// Average time that calls of this node stay at the targets, in seconds.
    double turnover_s() const { return turnover_s_; }

    /// targets: how many the service has.
    void on_sent(time_point now, target_record& target, std::size_t targets);
    /// Whether the weights of calls are so large that rescale() must be called
    /// for each target, and then end_rescale().
    bool must_rescale() const { return call_weight_ > max_call_weight; }
    void rescale(target_record& target) const {
        target.weighted_calls /= call_weight_;
    }
    void end_rescale() { call_weight_ = 1; }
    void on_end(time_point now) { count(now, -1, 1); }
    /// The ends of so many calls will not be told: their target was removed.
    void drop(std::uint32_t calls) {
        outstanding_ = outstanding_ > calls ? outstanding_ - calls : 0;
    }
    /// outstanding: calls of this node at the target.
    void on_report(time_point now, target_record& target,
                   const load_report& report, std::uint32_t outstanding);
    /// sent_since: calls of this node that the report doesn't include.
    load_estimate estimate(time_point now, const target_record& target,
                           std::uint32_t sent_since) const;

  private:
    void count(time_point now, int change, int ended);
    void take_speed(time_point now, target_record& target,
                    std::uint16_t percent);

    static constexpr double max_call_weight = 1e100;

    /// Weight of the next call: the weights grow instead of the earlier calls'
    /// being reduced.
    double call_weight_{1};
    bool is_used_;
    bool has_speeds_{};
    std::uint64_t ignored_figures_{};
    double mean_occupancy_{};
    double turnover_s_{0.05};
    /// Of the calls of this node: number at targets, and for the recent past
    /// their time there and how many ended.
    double outstanding_{};
    double call_seconds_{};
    double ended_{};
    time_point counted_{};
};

/// Draws one of a few targets. The probability is proportional to capacity, and
/// falls with the occupancy the more, the smaller the spread: callers that
/// choose at once from the same old figures don't all choose the same target.
/// Without a spread it is the target with the lowest occupancy. Allocates
/// nothing.
class target_draw {
  public:
    /// Bounds the cost of a draw.
    static constexpr std::size_t max_targets = 12;
    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

    explicit target_draw(std::size_t limit = max_targets)
        : limit_(std::min(limit, max_targets)) {}

    bool is_full() const { return size_ == limit_; }
    bool is_empty() const { return size_ == 0; }
    /// key names the target in the result; extra is added to the occupancy.
    void add(std::size_t key, const load_estimate& estimate, double extra);
    /// Key of the drawn target, npos without any; random is uniform.
    std::size_t draw(std::uint64_t random) const;
    /// Occupancy of the target with this key, extra included.
    double occupancy_of(std::size_t key) const;
    /// Occupancy of the least occupied target; infinite without any.
    double lowest_occupancy() const { return lowest_; }

  private:
    struct entry {
        std::size_t key{};
        double occupancy{};
        double capacity{};
        double recent_calls{};
    };

    std::array<entry, max_targets> entries_;
    std::size_t limit_;
    std::size_t size_{};
    double lowest_{std::numeric_limits<double>::infinity()};
    double spread_sum_{};
    double capacity_sum_{};
};

} // namespace redwingwind::overload
