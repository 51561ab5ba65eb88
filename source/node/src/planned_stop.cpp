#include "planned_stop.hpp"

#include <algorithm>

namespace redwingwind::node {
namespace {

/// From the signal on callers are still served this long: they are sent
/// elsewhere only after two questions about readiness, a second apart.
constexpr duration least_stop_time = std::chrono::milliseconds(2500);
/// Then each answer closes its connection for this long.
constexpr duration least_closing_time = std::chrono::milliseconds(800);
/// What came in this time and lasts too long is nobody's fault; after it only
/// calls are taken that can be finished.
constexpr duration any_calls_time = std::chrono::milliseconds(2900);
/// Calls that usually end by this long before the end are taken.
constexpr duration last_answers_time = std::chrono::milliseconds(300);

/// Then what has arrived by now is still answered for this long.
constexpr duration last_look_time = std::chrono::milliseconds(100);

} // namespace

void planned_stop::set_limit(duration limit) {
    if (!began_)
        limit_ = limit;
}

void planned_stop::begin(time_point now) {
    if (!began_)
        began_ = now;
}

duration planned_stop::passed(time_point now) const {
    return began_ ? now - *began_ : duration::zero();
}

bool planned_stop::closes_connections(time_point now) const {
    return passed(now) > least_stop_time;
}

std::optional<time_point> planned_stop::takes_until(time_point now) const {
    if (takes_none_since_)
        return takes_none_since_;
    if (!began_ || passed(now) <= std::min(any_calls_time, limit_ / 2))
        return std::nullopt;
    return *began_ + limit_ - last_answers_time;
}

bool planned_stop::is_over(time_point now, bool is_idle) {
    if (passed(now) > limit_)
        return true;
    if (!is_idle || passed(now) <= least_stop_time + least_closing_time)
        return false;
    if (!takes_none_since_)
        takes_none_since_ = now;
    return now - *takes_none_since_ >= last_look_time;
}

} // namespace redwingwind::node
