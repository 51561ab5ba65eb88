#include <redwingwind/overload/offered_load.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// Arrivals count for about this long: long enough for a target with a few
/// slots, short beside the time in which callers' runs end.
constexpr double strain_time_s = 0.3;
constexpr double failure_time_s = 0.2;
/// Answers that a meter must have seen for its value to count in full.
constexpr double few_answers = 5;

} // namespace

double offered_load_meter::fade(time_point now) const {
    return std::exp(-seconds(now - last_) / strain_time_s);
}

void offered_load_meter::on_arrival(time_point now, duration slot_time) {
    slot_seconds_ = slot_seconds_ * fade(now) + seconds(slot_time);
    last_ = now;
}

double offered_load_meter::value(time_point now, double slots) const {
    return slot_seconds_ * fade(now) / strain_time_s / std::max(slots, 1.0);
}

double failure_meter::fade(time_point now) const {
    return std::exp(-seconds(now - last_) / failure_time_s);
}

void failure_meter::on_response(time_point now, bool is_failure) {
    const double left = fade(now);
    failures_ = failures_ * left + (is_failure ? 1 : 0);
    all_ = all_ * left + 1;
    last_ = now;
}

double failure_meter::value(time_point now) const {
    return failures_ * fade(now) / (all_ * fade(now) + few_answers);
}

} // namespace redwingwind::overload
