#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <array>
#include <cstdint>

namespace redwingwind::overload {

/// Computes the admission level of one target: requests of a lower rank are
/// rejected. The level rises towards the rank at which the recent arrivals
/// would have fitted, as soon as enough arrived to distinguish overload from
/// chance. It falls while the target is not busy, by a step that grows.
class level_control {
  public:
    /// decay is the factor by which the step grows from window to window, 1.1
    /// to 8.
    explicit level_control(double decay) : decay_(decay) {}

    void set_decay(double decay) { decay_ = decay; }
    void on_arrival(rank r);
    void on_start() { ++started_; }
    void on_rejected() { ++rejected_; }

    /// Records the occupancy, executing calls over the limit, from now on. The
    /// level may fall if its average over a window is low.
    void on_occupancy(time_point now, double occupancy, bool is_queue_empty);

    /// The lowest rank that is admitted.
    rank level() const { return level_; }

  private:
    void close_window(time_point now);
    void raise();
    void lower();
    void reset_counts();

    double decay_;
    rank level_{};
    /// Ranks by which the level falls next.
    double step_{1.0};
    time_point window_start_{};
    time_point count_start_{};
    std::uint32_t arrived_{};
    time_point last_sample_{};
    double last_occupancy_{};
    /// Integral of the occupancy over the window, in seconds.
    double busy_seconds_{};
    bool was_queue_empty_{true};
    std::uint32_t started_{};
    std::uint32_t rejected_{};
    /// Arrivals since count_start_, by rank.
    std::array<std::uint32_t, rank_count> arrivals_{};
};

} // namespace redwingwind::overload
