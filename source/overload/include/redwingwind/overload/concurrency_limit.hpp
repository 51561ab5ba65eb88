#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>

namespace redwingwind::overload {

struct concurrency_limit_options {
    /// Slots that the target announced: the initial limit.
    std::uint32_t announced_slots{16};
    std::uint32_t min_limit{1};
    /// Time over which the limit of a newly started target rises to its full
    /// value.
    duration warm_up{std::chrono::seconds(1)};
    /// If false, the limit stays at the announced slots.
    bool adaptive{true};

    auto operator<=>(const concurrency_limit_options&) const = default;
};

/// Adapts how many calls a target may execute at once. While the target is
/// saturated, the limit is lowered for one window in sixteen. If the mean
/// latency falls with it, calls were queued inside the target and the limit is
/// reduced; if the latency stays the same, the target executes them in parallel
/// and the limit is raised. A target that merely becomes slower therefore keeps
/// its limit.
class concurrency_limit {
  public:
    concurrency_limit(concurrency_limit_options options, time_point now);

    /// The current limit, at least options.min_limit.
    std::uint32_t value(time_point now) const;

    /// A call completed successfully with this latency. running is the number
    /// of calls that were executing when it started, itself included.
    void on_complete(time_point now, duration latency, std::uint32_t running);

    /// The target rejected a call that the limit had admitted.
    void on_shed(time_point now);

  private:
    /// Calls that completed while the limit was full, or lowered.
    struct window_stats {
        double total_latency{};
        double total_running{};
        std::uint32_t samples{};

        void add(duration latency, std::uint32_t running);
        double mean_latency() const { return total_latency / samples; }
        double mean_running() const { return total_running / samples; }
    };

    /// True in the windows in which the limit is lowered.
    bool is_probing(time_point now) const;
    /// Share of the limit that applies during warm-up, up to 1.
    double warm_up_share(time_point now) const;
    void adjust_limit();

    concurrency_limit_options options_;
    time_point started_;
    time_point last_shed_{};
    double limit_;
    /// Exponentially weighted average of the relative change of the latency
    /// over the relative change of the concurrency: 0 if the latency does not
    /// depend on it, 1 if calls beyond the target's capacity wait inside the
    /// target.
    double elasticity_{0.5};
    window_stats full_;
    window_stats lowered_;
};

} // namespace redwingwind::overload
