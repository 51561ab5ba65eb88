#include <redwingwind/overload/root_admission.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// Least weight of an answer in the smoothed strain of a service; one that
/// comes long after the last weighs more.
constexpr double told_weight = 0.2;
constexpr double told_time_s = 0.25;
/// Weight of an answer in the smoothed time of the calls.
constexpr double took_weight = 0.05;
/// How much of each priority is asked for counts over about this long.
constexpr double asked_time_s = 1.0;
/// Bounds on how far back the share is looked for that made a strain.
constexpr double least_lag_s = 0.1;
constexpr double most_lag_s = 2.0;
/// Strain below this is too little to be told from none.
constexpr double least_strain = 0.05;
/// Whole answers on a route in a row that no longer name a service before it is
/// taken off the route's way.
constexpr std::uint32_t answers_to_forget = 2;
/// A share that is this close to all lets all in.
constexpr double all_in = 0.999;

/// How far a value that follows another with this lag comes in a time.
double part_of_way(double s, double lag_s) {
    return 1 - std::exp(-s / lag_s);
}

} // namespace

void root_admission::on_response(
    time_point now, const std::string& route,
    const std::vector<service_offered_load>& on_way, duration took) {
    auto& known = routes_[route].services;
    if (took > duration::zero())
        for (auto& [service, it] : known)
            ++it.answers_since;
    for (const auto& told : on_way) {
        auto& it = services_[told.service];
        const double weight = std::max(
            told_weight, part_of_way(seconds(now - it.told), told_time_s));
        it.offered_load += weight * (told.offered_load - it.offered_load);
        it.told = now;
        if (took > duration::zero())
            it.took_s += took_weight * (seconds(took) - it.took_s);
        auto& it_on_way = known[told.service];
        it_on_way.told = now;
        it_on_way.answers_since = 0;
    }
    // What the runs of a route call is learned, and may have been wrong.
    std::erase_if(known, [&](const auto& it) {
        return it.second.answers_since >= answers_to_forget &&
               now - it.second.told > options_.max_report_age;
    });
}

double root_admission::max_offered_load(time_point now,
                                        const std::string& route) const {
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return 0;
    double most = 0;
    for (const auto& [service, at] : known->second.services) {
        const auto& it = services_.at(service);
        if (now - at.told <= options_.max_report_age &&
            now - it.told <= options_.max_report_age)
            most = std::max(most, it.offered_load);
    }
    return most;
}

std::vector<root_admission::service_share> root_admission::shares() const {
    std::vector<service_share> all;
    for (const auto& [service, it] : services_)
        if (it.share < all_in)
            all.push_back({service, it.offered_load, it.share});
    return all;
}

void root_admission::adjust(time_point now, service_state& it) const {
    const auto passed = now - it.adjusted;
    if (passed < options_.interval)
        return;
    it.adjusted = now;
    const double s = std::min(seconds(passed), 1.0);
    for (std::size_t n = 0; n < priorities; ++n) {
        const double rate = it.asked_now[n] / s;
        it.asked[n] += part_of_way(s, asked_time_s) * (rate - it.asked[n]);
        it.asked_now[n] = 0;
    }
    const double lag = std::clamp(it.took_s, least_lag_s, most_lag_s);
    it.earlier_share += part_of_way(s, lag) * (it.share - it.earlier_share);
    const bool is_known = now - it.told <= options_.max_report_age;
    const double strain = is_known ? std::max(it.offered_load, least_strain)
                                   : options_.offered_load_setpoint;
    const double fits =
        it.earlier_share * options_.offered_load_setpoint / strain;
    it.share += options_.gain * (fits - it.share) + options_.growth;
    it.share = std::clamp(it.share, options_.min_share, 1.0);
}

double root_admission::share_of(const service_state& it,
                                std::size_t priority) const {
    double all = 0;
    for (const double n : it.asked)
        all += n;
    if (it.share >= all_in || all <= 0)
        return 1;
    // Each priority has its least; the rest goes to the most urgent first.
    const double least = options_.min_priority_share * it.share;
    double left = (it.share - least) * all;
    for (std::size_t n = 0; n < priority; ++n)
        left -= (1 - least) * it.asked[n];
    const double most = std::max(it.asked[priority], 1e-9);
    return std::clamp(least + left / most, least, 1.0);
}

bool root_admission::is_probe_due(time_point now, service_on_way& it) const {
    if (now - it.told <= options_.max_report_age ||
        now - it.probed <= options_.max_report_age)
        return false;
    it.probed = now;
    return true;
}

bool root_admission::admits(time_point now, const std::string& route,
                            std::uint8_t priority) {
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return true;
    const auto n = std::min<std::size_t>(priority, priorities - 1);
    double least = 1;
    service_on_way* narrowest = nullptr;
    // A service stays on the route's way while calls are left out for it:
    // those that are kept out bring no answers.
    auto& services = known->second.services;
    for (auto at = services.begin(); at != services.end();) {
        auto& it = services_.at(at->first);
        it.asked_now[n] += 1;
        adjust(now, it);
        if (it.share >= all_in &&
            now - at->second.told > options_.max_report_age) {
            at = services.erase(at);
            continue;
        }
        const double share = share_of(it, n);
        if (share < least) {
            least = share;
            narrowest = &at->second;
        }
        ++at;
    }
    auto& credit = known->second.credit;
    credit = std::min(credit + least, 1.0);
    if (credit < 1)
        return narrowest != nullptr && is_probe_due(now, *narrowest);
    credit -= 1;
    return true;
}

} // namespace redwingwind::overload
