#include <redwingwind/overload/level_control.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr auto window = std::chrono::milliseconds(50);
/// Arrivals to count before the level may rise, or the time for them.
constexpr std::uint32_t arrivals_to_count = 24;
constexpr auto most_count_time = std::chrono::milliseconds(250);
constexpr double busy_share = 0.9;

} // namespace

void level_control::on_arrival(rank r) {
    ++arrivals_[r.value];
    ++arrived_;
}

void level_control::on_occupancy(time_point now, double share,
                                 bool is_queue_empty) {
    if (last_sample_ == time_point{}) {
        last_sample_ = now;
        window_start_ = now;
        count_start_ = now;
    }
    busy_seconds_ += last_share_ * seconds(now - last_sample_);
    last_sample_ = now;
    last_share_ = share;
    was_queue_empty_ = was_queue_empty_ || is_queue_empty;
    if (now - window_start_ >= window)
        close_window(now);
}

void level_control::close_window(time_point now) {
    const double busy = busy_seconds_ / seconds(now - window_start_);
    window_start_ = now;
    busy_seconds_ = 0;
    if (busy < busy_share)
        lower();
    const bool is_counted =
        arrived_ >= arrivals_to_count || now - count_start_ >= most_count_time;
    if (!is_counted)
        return;
    if (refused_ > 0 && !was_queue_empty_)
        raise();
    count_start_ = now;
    restart_count();
}

void level_control::restart_count() {
    was_queue_empty_ = false;
    arrived_ = 0;
    started_ = 0;
    refused_ = 0;
    arrivals_.fill(0);
}

void level_control::raise() {
    step_ = 1.0;
    std::uint32_t admitted = 0;
    std::uint16_t wanted = rank_count - 1;
    while (wanted > 0 && admitted + arrivals_[wanted] <= started_)
        admitted += arrivals_[wanted--];
    const int distance = wanted - level_.value;
    if (distance > 0)
        level_.value += static_cast<std::uint16_t>((distance + 1) / 2);
}

void level_control::lower() {
    const auto n = std::min<double>(level_.value, step_);
    level_.value -= static_cast<std::uint16_t>(n);
    step_ = std::min<double>(step_ * decay_, rank_count);
}

} // namespace redwingwind::overload
