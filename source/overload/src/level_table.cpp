#include <redwingwind/overload/level_table.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// A level told this long ago counts in full; after that it halves at every
/// such interval.
constexpr auto half_life = std::chrono::milliseconds(200);
/// A lower level takes effect gradually: several targets of one service may
/// tell different levels in turn.
constexpr double fall_weight = 0.25;

} // namespace

std::string route_key(const service_name& service, std::string_view path) {
    const auto from = path.empty() || path[0] != '/' ? 0U : 1U;
    const auto end = std::min(path.find_first_of("/?", from), path.size());
    return service.value + "/" + std::string(path.substr(from, end - from));
}

void level_table::learn(const std::string& route, rank level, time_point now) {
    auto it = entries_.find(route);
    if (it == entries_.end()) {
        if (level.value == 0 || entries_.size() >= most_routes_)
            return;
        entries_.emplace(route, entry{double(level.value), now});
        return;
    }
    const double known = this->level(route, now).value;
    const double told = level.value;
    const double next =
        told >= known ? told : known + fall_weight * (told - known);
    if (next < 1.0) {
        entries_.erase(it);
        return;
    }
    it->second = entry{next, now};
}

rank level_table::level(const std::string& route, time_point now) const {
    const auto it = entries_.find(route);
    if (it == entries_.end())
        return {};
    const double age = seconds(now - it->second.at) / seconds(half_life);
    const double fade = age <= 1.0 ? 1.0 : std::exp2(1.0 - age);
    return rank{static_cast<std::uint16_t>(it->second.level * fade)};
}

} // namespace redwingwind::overload
