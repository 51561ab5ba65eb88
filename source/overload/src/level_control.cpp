#include <redwingwind/overload/level_control.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr auto window = std::chrono::milliseconds(50);
/// The level may rise once this many calls arrived or this time has passed.
constexpr std::uint32_t min_arrivals = 24;
constexpr auto max_count_time = std::chrono::milliseconds(250);
/// The level falls if the average occupancy over a window is lower.
constexpr double busy_occupancy = 0.9;

} // namespace

void level_control::on_arrival(rank r) {
    ++arrivals_[r.value];
    ++arrived_;
}

void level_control::on_occupancy(time_point now, double occupancy,
                                 bool is_queue_empty) {
    if (last_sample_ == time_point{}) {
        last_sample_ = now;
        window_start_ = now;
        count_start_ = now;
    }
    busy_seconds_ += last_occupancy_ * seconds(now - last_sample_);
    last_sample_ = now;
    last_occupancy_ = occupancy;
    was_queue_empty_ = was_queue_empty_ || is_queue_empty;
    if (now - window_start_ >= window)
        close_window(now);
}

void level_control::close_window(time_point now) {
    const double average_occupancy =
        busy_seconds_ / seconds(now - window_start_);
    window_start_ = now;
    busy_seconds_ = 0;
    if (average_occupancy < busy_occupancy)
        lower();
    const bool has_enough_arrivals =
        arrived_ >= min_arrivals || now - count_start_ >= max_count_time;
    if (!has_enough_arrivals)
        return;
    if (rejected_ > 0 && !was_queue_empty_)
        raise();
    count_start_ = now;
    reset_counts();
}

void level_control::reset_counts() {
    was_queue_empty_ = false;
    arrived_ = 0;
    started_ = 0;
    rejected_ = 0;
    arrivals_.fill(0);
}

void level_control::raise() {
    step_ = 1.0;
    std::uint32_t fitting = 0;
    std::uint16_t new_level = rank_count - 1;
    while (new_level > 0 && fitting + arrivals_[new_level] <= started_)
        fitting += arrivals_[new_level--];
    const int distance = new_level - level_.value;
    if (distance > 0)
        level_.value += static_cast<std::uint16_t>((distance + 1) / 2);
}

void level_control::lower() {
    const auto n = std::min<double>(level_.value, step_);
    level_.value -= static_cast<std::uint16_t>(n);
    step_ = std::min<double>(step_ * decay_, rank_count);
}

} // namespace redwingwind::overload
