#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <array>
#include <cstdint>

namespace redwingwind::overload {

/// Finds the admission level of one target: requests of a lower rank are
/// refused. The level rises to where the arrivals counted last would have
/// fitted, once there are enough of them to tell overload from chance, and
/// falls by steps that grow while the target is not busy.
class level_control {
  public:
    explicit level_control(double decay) : decay_(decay) {}

    void set_decay(double decay) { decay_ = decay; }
    void on_arrival(rank r);
    void on_start() { ++started_; }
    void on_rejected() { ++refused_; }

    /// Tells how full the target is; the mean over a window decides whether
    /// the level may fall. share is running calls over the limit.
    void on_occupancy(time_point now, double share, bool is_queue_empty);

    /// The lowest rank that is admitted.
    rank level() const { return level_; }

  private:
    void close_window(time_point now);
    void raise();
    void lower();
    void restart_count();

    double decay_;
    rank level_{};
    double step_{1.0};
    time_point window_start_{};
    time_point count_start_{};
    std::uint32_t arrived_{};
    time_point last_sample_{};
    double last_share_{};
    double busy_seconds_{};
    bool was_queue_empty_{true};
    std::uint32_t started_{};
    std::uint32_t refused_{};
    std::array<std::uint32_t, rank_count> arrivals_{};
};

} // namespace redwingwind::overload
