#include <redwingwind/overload/level_table.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// A level applies in full for this long after its report and then decays with
/// the half-life.
constexpr auto fresh_time = std::chrono::milliseconds(300);
constexpr auto half_life = std::chrono::milliseconds(150);
/// Weight of a reply in the average level of a service; below 1 because the
/// targets of one service report different levels.
constexpr double reply_weight = 0.3;

} // namespace

void merge(std::vector<service_admission_level>& into,
           const std::vector<service_admission_level>& more) {
    for (const auto& it : more) {
        const auto known = std::find_if(into.begin(), into.end(),
                                        [&](const service_admission_level& a) {
                                            return a.service == it.service;
                                        });
        if (known != into.end())
            known->level = std::max(known->level, it.level);
        else if (into.size() < max_services_per_route)
            into.push_back(it);
    }
}

std::string route_key(const service_name& service, std::string_view path) {
    const auto from = path.empty() || path[0] != '/' ? 0U : 1U;
    const auto end = std::min(path.find_first_of("/?", from), path.size());
    return service.value + "/" + std::string(path.substr(from, end - from));
}

double level_table::level_of(const service_name& service,
                             time_point now) const {
    const auto it = services_.find(service);
    if (it == services_.end())
        return 0;
    const double age = seconds(now - it->second.reported_at - fresh_time);
    const double decay = age <= 0 ? 1 : std::exp2(-age / seconds(half_life));
    return it->second.level * decay;
}

void level_table::learn_service(const service_admission_level& reported,
                                time_point now) {
    const double known = level_of(reported.service, now);
    const double average = known + reply_weight * (reported.level - known);
    if (average < 1.0) {
        services_.erase(reported.service);
        return;
    }
    if (services_.size() < max_entries_ ||
        services_.count(reported.service) > 0)
        services_[reported.service] = {average, now};
}

void level_table::learn(const std::string& route,
                        const std::vector<service_admission_level>& levels,
                        time_point now) {
    for (const auto& it : levels)
        learn_service(it, now);
    const auto known = routes_.find(route);
    if (known == routes_.end() && routes_.size() >= max_entries_)
        return;
    auto& services = known == routes_.end() ? routes_[route] : known->second;
    for (const auto& it : levels)
        if (services.size() < max_services_per_route &&
            std::find(services.begin(), services.end(), it.service) ==
                services.end())
            services.push_back(it.service);
}

rank level_table::level(const std::string& route, time_point now) const {
    const auto it = routes_.find(route);
    if (it == routes_.end())
        return {};
    double highest = 0;
    for (const auto& service : it->second)
        highest = std::max(highest, level_of(service, now));
    return rank{static_cast<std::uint16_t>(highest)};
}

std::vector<service_admission_level>
level_table::levels(const std::string& route, time_point now) const {
    std::vector<service_admission_level> all;
    const auto it = routes_.find(route);
    if (it == routes_.end())
        return all;
    for (const auto& service : it->second) {
        const auto n = static_cast<std::uint16_t>(level_of(service, now));
        if (n > 0)
            all.push_back({service, n});
    }
    return all;
}

} // namespace redwingwind::overload
