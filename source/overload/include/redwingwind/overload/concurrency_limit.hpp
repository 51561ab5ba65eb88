#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>

namespace redwingwind::overload {

struct concurrency_limit_options {
    /// Slots the target announced: where the limit starts.
    std::uint32_t announced_slots{16};
    std::uint32_t min_limit{1};
    /// How long a cold target takes to reach its full limit.
    duration warm_up{std::chrono::seconds(1)};
    /// False keeps the limit at the announced slots.
    bool adaptive{true};

    auto operator<=>(const concurrency_limit_options&) const = default;
};

/// How many calls a target may run at once. While the target is saturated the
/// limit is lowered a little for one window in sixteen; if the mean latency
/// falls along with it, calls were waiting inside the target and the limit
/// goes down, and if the latency stays, the slots were real and it goes up.
/// A slower target by itself therefore does not lose concurrency.
class concurrency_limit {
  public:
    concurrency_limit(concurrency_limit_options options, time_point now);

    /// The limit in force now, at least options.min_limit.
    std::uint32_t value(time_point now) const;

    /// A call ended well after this latency; running counts the calls that
    /// ran when it started, itself included.
    void on_complete(time_point now, duration latency, std::uint32_t running);

    /// The target refused a call although the limit admitted it.
    void on_shed(time_point now);

  private:
    struct phase {
        double total_latency{};
        double total_running{};
        std::uint32_t samples{};

        void add(duration latency, std::uint32_t running);
        double mean_latency() const { return total_latency / samples; }
        double mean_running() const { return total_running / samples; }
    };

    bool is_probing(time_point now) const;
    double warm_share(time_point now) const;
    void compare_phases();

    concurrency_limit_options options_;
    time_point started_;
    time_point last_shed_{};
    double limit_;
    double elasticity_{0.5};
    phase full_;
    phase lowered_;
};

} // namespace redwingwind::overload
