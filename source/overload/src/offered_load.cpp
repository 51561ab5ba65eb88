#include <redwingwind/overload/offered_load.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// Time constant of the offered load: long enough for a target with few slots,
/// short compared with the time in which callers' executions end.
constexpr double offered_load_time_constant_s = 0.3;
constexpr double failure_time_constant_s = 0.2;
/// Added to the number of responses, so that a few failures alone give a low
/// share.
constexpr double added_responses = 5;

} // namespace

double offered_load_meter::decay(time_point now) const {
    return std::exp(-seconds(now - last_) / offered_load_time_constant_s);
}

void offered_load_meter::on_arrival(time_point now, duration service_time) {
    slot_seconds_ = slot_seconds_ * decay(now) + seconds(service_time);
    last_ = now;
}

double offered_load_meter::value(time_point now, double slots) const {
    return slot_seconds_ * decay(now) / offered_load_time_constant_s /
           std::max(slots, 1.0);
}

double failure_meter::decay(time_point now) const {
    return std::exp(-seconds(now - last_) / failure_time_constant_s);
}

void failure_meter::on_response(time_point now, bool is_failure) {
    const double remaining = decay(now);
    failures_ = failures_ * remaining + (is_failure ? 1 : 0);
    responses_ = responses_ * remaining + 1;
    last_ = now;
}

double failure_meter::value(time_point now) const {
    return failures_ * decay(now) / (responses_ * decay(now) + added_responses);
}

} // namespace redwingwind::overload
