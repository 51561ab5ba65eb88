#include <redwingwind/overload/call_attribution.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

constexpr duration span = std::chrono::milliseconds(100);
/// Weight of the latest span in the smoothed counts: a run's calls may come
/// some spans after its start.
constexpr double span_weight = 0.3;
constexpr double step = 0.05;
/// Runs below this are taken for none, so that silence teaches nothing.
constexpr double few_runs = 0.2;
/// Fewer calls a run than this are taken for chance.
constexpr double least_calls_per_run = 0.3;

} // namespace

void call_attribution::on_run(time_point now, const std::string& route) {
    close_spans(now);
    routes_[route].runs += 1;
}

void call_attribution::on_call(time_point now, const service_name& service) {
    close_spans(now);
    services_[service].calls += 1;
}

void call_attribution::close_spans(time_point now) {
    if (now - span_start_ < span)
        return;
    span_start_ = now;
    learn();
}

void call_attribution::learn() {
    double power = 1;
    for (auto& [route, it] : routes_) {
        it.smoothed += span_weight * (it.runs - it.smoothed);
        it.runs = 0;
        power += it.smoothed * it.smoothed;
    }
    for (auto& [service, it] : services_) {
        it.smoothed += span_weight * (it.calls - it.smoothed);
        it.calls = 0;
        double error = it.smoothed;
        for (const auto& [route, of] : routes_)
            error -= it.per_run[route] * of.smoothed;
        for (const auto& [route, of] : routes_) {
            if (of.smoothed < few_runs)
                continue;
            auto& weight = it.per_run[route];
            weight = std::max(0.0, weight + step * error * of.smoothed / power);
        }
    }
}

double call_attribution::calls_per_run(const std::string& route,
                                       const service_name& service) const {
    const auto known = services_.find(service);
    if (known == services_.end())
        return 0;
    const auto it = known->second.per_run.find(route);
    return it == known->second.per_run.end() ? 0 : it->second;
}

std::vector<service_name>
call_attribution::called_by(const std::string& route) const {
    std::vector<service_name> called;
    for (const auto& [service, it] : services_)
        if (calls_per_run(route, service) > least_calls_per_run)
            called.push_back(service);
    return called;
}

} // namespace redwingwind::overload
