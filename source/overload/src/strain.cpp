#include <redwingwind/overload/strain.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

constexpr double fade_time_s = 0.2;
/// A wait longer than this is a sign of too little room.
constexpr duration noticeable_wait = std::chrono::milliseconds(20);
/// Calls that a meter must have seen for its value to count in full.
constexpr double few_calls = 5;

} // namespace

double strain_meter::fade(time_point now) const {
    return std::exp(-seconds(now - last_) / fade_time_s);
}

void strain_meter::add(time_point now, double bad) {
    const double left = fade(now);
    bad_ = bad_ * left + bad;
    all_ = all_ * left + 1;
    last_ = now;
}

void strain_meter::on_started(time_point now, duration waited) {
    add(now, waited > noticeable_wait ? 1 : 0);
}

void strain_meter::on_refused(time_point now) {
    add(now, 1);
}

double strain_meter::value(time_point now) const {
    return bad_ * fade(now) / (all_ * fade(now) + few_calls);
}

void root_admission::on_answer(time_point now, const std::string& route,
                               const std::vector<service_strain>& below) {
    constexpr double weight = 0.2;
    for (const auto& told : below) {
        auto& it = services_[told.service];
        it.strain += weight * (told.strain - it.strain);
        it.told = now;
    }
    auto& known = routes_[route].services;
    for (const auto& told : below)
        known[told.service] = now;
}

double root_admission::strain_below(time_point now,
                                    const std::string& route) const {
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return 0;
    double most = 0;
    for (const auto& [service, at] : known->second.services) {
        const auto& it = services_.at(service);
        if (now - at <= options_.memory && now - it.told <= options_.memory)
            most = std::max(most, it.strain);
    }
    return most;
}

std::vector<root_admission::service_depth> root_admission::depths() const {
    std::vector<service_depth> all;
    for (const auto& [service, it] : services_)
        if (it.depth > 0)
            all.push_back({service, it.strain, it.depth});
    return all;
}

bool root_admission::is_asked(time_point now, const service_state& it,
                              std::size_t priority) const {
    return it.asked[priority] != time_point{} &&
           now - it.asked[priority] <= options_.memory;
}

void root_admission::adjust(time_point now, service_state& it) const {
    const auto steps =
        static_cast<double>((now - it.adjusted) / options_.interval);
    if (steps < 1)
        return;
    it.adjusted = now;
    const double strain = now - it.told <= options_.memory ? it.strain : 0;
    if (strain <= options_.threshold) {
        it.depth = std::max(0.0, it.depth - options_.shallower * steps);
        return;
    }
    double most = 0;
    for (std::size_t n = 0; n < priorities; ++n)
        most += is_asked(now, it, n) ? 1 : 0;
    it.depth = std::min(most, it.depth + options_.deeper * strain);
}

double root_admission::share(time_point now, const service_state& it,
                             std::size_t priority) const {
    double less_urgent = 0;
    for (std::size_t n = priority + 1; n < priorities; ++n)
        less_urgent += is_asked(now, it, n) ? 1 : 0;
    const double cut = std::clamp(it.depth - less_urgent, 0.0, 1.0);
    return 1 - cut * (1 - options_.least);
}

bool root_admission::admits(time_point now, const std::string& route,
                            std::uint8_t priority, double draw) {
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return true;
    const auto n = std::min<std::size_t>(priority, priorities - 1);
    double least = 1;
    // A service stays below the route while its depth is above 0: calls that
    // are kept out bring no answers.
    std::erase_if(known->second.services, [&](const auto& at) {
        auto& it = services_.at(at.first);
        it.asked[n] = now;
        adjust(now, it);
        least = std::min(least, share(now, it, n));
        return it.depth <= 0 && now - at.second > options_.memory;
    });
    return draw < least;
}

} // namespace redwingwind::overload
