#include <redwingwind/overload/root_admission.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

/// Weight of a report in the average offered load of a service. A report that
/// follows the last one after a long time weighs more.
constexpr double min_report_weight = 0.2;
constexpr double report_time_constant_s = 0.25;
/// Weight of a response in the average latency.
constexpr double latency_weight = 0.05;
constexpr double arrival_time_constant_s = 1.0;
/// Bounds of the delay between the admission of calls and the report of the
/// offered load that they cause.
constexpr double min_lag_s = 0.1;
constexpr double max_lag_s = 2.0;
/// A smaller offered load cannot be distinguished from none.
constexpr double min_offered_load = 0.05;
/// Consecutive responses to executed calls of a route that do not report a
/// service before the service is removed from the route.
constexpr std::uint32_t responses_to_remove = 2;
/// From this share on all calls are admitted.
constexpr double full_share = 0.999;

/// Weight of a new value in a first-order low-pass filter after elapsed_s
/// seconds.
double filter_weight(double elapsed_s, double time_constant_s) {
    return 1 - std::exp(-elapsed_s / time_constant_s);
}

} // namespace

void root_admission::on_response(
    time_point now, const std::string& route,
    const std::vector<service_offered_load>& reported, duration latency) {
    auto& known = routes_[route].services;
    if (latency > duration::zero())
        for (auto& [service, it] : known)
            ++it.responses_since_report;
    for (const auto& report : reported) {
        auto& it = services_[report.service];
        const double weight = std::max(
            min_report_weight, filter_weight(seconds(now - it.reported_at),
                                             report_time_constant_s));
        it.offered_load += weight * (report.offered_load - it.offered_load);
        it.reported_at = now;
        if (latency > duration::zero())
            it.average_latency_s +=
                latency_weight * (seconds(latency) - it.average_latency_s);
        auto& downstream = known[report.service];
        downstream.reported_at = now;
        downstream.responses_since_report = 0;
    }
    // Which services a route's executions call is estimated (call_attribution)
    // and may have been wrong.
    std::erase_if(known, [&](const auto& it) {
        return it.second.responses_since_report >= responses_to_remove &&
               now - it.second.reported_at > options_.max_report_age;
    });
}

double root_admission::max_offered_load(time_point now,
                                        const std::string& route) const {
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return 0;
    double highest = 0;
    for (const auto& [service, at] : known->second.services) {
        const auto& it = services_.at(service);
        if (now - at.reported_at <= options_.max_report_age &&
            now - it.reported_at <= options_.max_report_age)
            highest = std::max(highest, it.offered_load);
    }
    return highest;
}

std::vector<root_admission::service_share> root_admission::shares() const {
    std::vector<service_share> all;
    for (const auto& [service, it] : services_)
        if (it.share < full_share)
            all.push_back({service, it.offered_load, it.share});
    return all;
}

void root_admission::adjust_share(time_point now, service_state& it) const {
    const auto elapsed = now - it.adjusted_at;
    if (elapsed < options_.interval)
        return;
    it.adjusted_at = now;
    const double elapsed_s = std::min(seconds(elapsed), 1.0);
    for (std::size_t n = 0; n < priorities; ++n) {
        const double rate = it.arrivals[n] / elapsed_s;
        it.arrival_rates[n] +=
            filter_weight(elapsed_s, arrival_time_constant_s) *
            (rate - it.arrival_rates[n]);
        it.arrivals[n] = 0;
    }
    const double lag = std::clamp(it.average_latency_s, min_lag_s, max_lag_s);
    it.lagged_share +=
        filter_weight(elapsed_s, lag) * (it.share - it.lagged_share);
    const bool is_recent = now - it.reported_at <= options_.max_report_age;
    const double offered_load =
        is_recent ? std::max(it.offered_load, min_offered_load)
                  : options_.offered_load_setpoint;
    const double new_share =
        it.lagged_share * options_.offered_load_setpoint / offered_load;
    it.share += options_.gain * (new_share - it.share) + options_.growth;
    it.share = std::clamp(it.share, options_.min_share, 1.0);
}

double root_admission::priority_share(const service_state& it,
                                      std::size_t priority) const {
    double total_rate = 0;
    for (const double n : it.arrival_rates)
        total_rate += n;
    if (it.share >= full_share || total_rate <= 0)
        return 1;
    // Each priority gets its minimum; the most urgent ones share the rest
    // first.
    const double min_share = options_.min_priority_share * it.share;
    double left = (it.share - min_share) * total_rate;
    for (std::size_t n = 0; n < priority; ++n)
        left -= (1 - min_share) * it.arrival_rates[n];
    const double rate = std::max(it.arrival_rates[priority], 1e-9);
    return std::clamp(min_share + left / rate, min_share, 1.0);
}

bool root_admission::start_probe_if_due(time_point now,
                                        downstream_service& it) const {
    if (now - it.reported_at <= options_.max_report_age ||
        now - it.probed_at <= options_.max_report_age)
        return false;
    it.probed_at = now;
    return true;
}

bool root_admission::admits(time_point now, const std::string& route,
                            std::uint8_t priority) {
    const auto known = routes_.find(route);
    if (known == routes_.end())
        return true;
    const auto n = std::min<std::size_t>(priority, priorities - 1);
    double lowest_share = 1;
    downstream_service* most_restrictive = nullptr;
    // A service stays listed for the route while calls are rejected for it,
    // because rejected calls bring no reports.
    auto& services = known->second.services;
    for (auto at = services.begin(); at != services.end();) {
        auto& it = services_.at(at->first);
        it.arrivals[n] += 1;
        adjust_share(now, it);
        if (it.share >= full_share &&
            now - at->second.reported_at > options_.max_report_age) {
            at = services.erase(at);
            continue;
        }
        const double share = priority_share(it, n);
        if (share < lowest_share) {
            lowest_share = share;
            most_restrictive = &at->second;
        }
        ++at;
    }
    auto& credit = known->second.credit;
    credit = std::min(credit + lowest_share, 1.0);
    if (credit < 1)
        return most_restrictive != nullptr &&
               start_probe_if_due(now, *most_restrictive);
    credit -= 1;
    return true;
}

} // namespace redwingwind::overload
