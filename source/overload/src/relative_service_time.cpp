#include <redwingwind/overload/relative_service_time.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// Upper bound of the plausible numbers of calls and slots.
constexpr std::int64_t max_count = 1'000'000;
/// Figures change many times a second; unchanged for longer than this, and in
/// at least so many responses, they are stuck.
constexpr duration max_unchanged = std::chrono::seconds(2);
constexpr std::uint32_t min_unchanged = 20;
/// Time constant of the average: short against disturbances of 0.6 s.
constexpr double average_s = 0.05;
/// A figure is not used for longer: without responses there is no newer one.
constexpr duration max_age = std::chrono::seconds(1);

bool is_count(std::int64_t n) {
    return n >= 0 && n <= max_count;
}

} // namespace

bool relative_service_time::is_stuck(time_point now,
                                     const target_figures& figures,
                                     std::uint32_t running) {
    if (unchanged_ == 0 || figures != last_) {
        last_ = figures;
        unchanged_since_ = now;
        unchanged_ = 1;
        least_running_ = most_running_ = running;
        return false;
    }
    ++unchanged_;
    least_running_ = std::min(least_running_, running);
    most_running_ = std::max(most_running_, running);
    // A target at a constant load reports the same figures rightly.
    return unchanged_ >= min_unchanged &&
           now - unchanged_since_ > max_unchanged &&
           most_running_ > least_running_ + 1;
}

void relative_service_time::on_figures(time_point now,
                                       const target_figures& figures,
                                       std::uint32_t running) {
    const bool is_valid =
        is_count(figures.running) && is_count(figures.waiting) &&
        is_count(figures.slots) &&
        (figures.relative_service_time == 0 ||
         is_plausible_service_time(figures.relative_service_time));
    if (!is_valid) {
        ++ignored_;
        return;
    }
    if (is_stuck(now, figures, running)) {
        ++ignored_;
        average_ = 0;
        return;
    }
    if (figures.relative_service_time == 0)
        return;
    const auto told = static_cast<double>(figures.relative_service_time);
    const bool is_recent = average_ > 0 && now - updated_ <= max_age;
    const double weight =
        is_recent ? 1 - std::exp(-seconds(now - updated_) / average_s) : 1.0;
    average_ = is_recent ? average_ + weight * (told - average_) : told;
    updated_ = now;
}

std::uint16_t relative_service_time::percent(time_point now) const {
    if (average_ <= 0 || now - updated_ > max_age)
        return 0;
    return static_cast<std::uint16_t>(std::lround(average_));
}

} // namespace redwingwind::overload
