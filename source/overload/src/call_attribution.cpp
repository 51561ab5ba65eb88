#include <redwingwind/overload/call_attribution.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::overload {
namespace {

constexpr duration interval = std::chrono::milliseconds(100);
/// Weight of the latest interval in the fast average of the counts; below 1
/// because an execution may make its calls some intervals after its start.
constexpr double fast_weight = 0.3;
constexpr double slow_weight = 0.03;
/// Step size of the least-mean-squares filter.
constexpr double step_size = 0.1;
/// Estimates below this are attributed to chance.
constexpr double min_calls_per_execution = 0.3;
/// Weight of the latest execution in the average execution time.
constexpr double execution_time_weight = 0.1;
/// Executions that must have been observed exclusively before the calls counted
/// meanwhile are used, and the calls per execution below which a route is
/// taken not to call the service.
constexpr double min_exclusive_executions = 5;
constexpr double max_calls_of_non_caller = 0.1;
/// Estimates below this share of the highest estimate of any route are also
/// attributed to chance.
constexpr double min_share_of_highest = 0.35;

} // namespace

void call_attribution::on_execution_start(time_point now,
                                          const std::string& route) {
    add_elapsed(now);
    close_interval_if_due(now);
    executions_[route].add();
    ++exclusive_[route].executing;
    ++executing_;
}

void call_attribution::on_execution_end(time_point now,
                                        const std::string& route,
                                        duration execution_time) {
    add_elapsed(now);
    auto& it = exclusive_[route];
    if (it.executing == 0)
        return;
    --it.executing;
    --executing_;
    const double weight =
        it.average_execution_time_s > 0 ? execution_time_weight : 1.0;
    it.average_execution_time_s +=
        weight * (seconds(execution_time) - it.average_execution_time_s);
}

void call_attribution::add_elapsed(time_point now) {
    const auto since = std::exchange(last_event_, now);
    if (auto* it = exclusive_route())
        it->exclusive_time_s += seconds(now - since);
}

call_attribution::exclusive_observation* call_attribution::exclusive_route() {
    if (executing_ == 0)
        return nullptr;
    for (auto& [route, it] : exclusive_)
        if (it.executing > 0)
            return it.executing == executing_ ? &it : nullptr;
    return nullptr;
}

bool call_attribution::is_observed_not_calling(
    const std::string& route, const service_name& service) const {
    const auto known = exclusive_.find(route);
    if (known == exclusive_.end() ||
        known->second.average_execution_time_s <= 0)
        return false;
    const auto& it = known->second;
    const double executions = it.exclusive_time_s / it.average_execution_time_s;
    const auto calls = it.calls.find(service);
    const double observed_calls = calls == it.calls.end() ? 0 : calls->second;
    return executions >= min_exclusive_executions &&
           observed_calls < executions * max_calls_of_non_caller;
}

void call_attribution::on_call(time_point now, const service_name& service) {
    add_elapsed(now);
    close_interval_if_due(now);
    services_[service].calls.add();
    if (auto* it = exclusive_route())
        it->calls[service] += 1;
}

void call_attribution::close_interval_if_due(time_point now) {
    if (now - interval_start_ < interval)
        return;
    interval_start_ = now;
    update_estimates();
}

void call_attribution::signal::close_interval() {
    fast_average_ += fast_weight * (count_ - fast_average_);
    slow_average_ += slow_weight * (count_ - slow_average_);
    count_ = 0;
}

void call_attribution::update_estimates() {
    double power = 0;
    for (auto& [route, it] : executions_) {
        it.close_interval();
        power +=
            it.deviation() * it.deviation() + it.slow_average() * fast_weight;
    }
    if (power <= 0)
        return;
    for (auto& [service, it] : services_) {
        it.calls.close_interval();
        double error = it.calls.deviation();
        for (const auto& [route, starts] : executions_)
            error -= it.per_execution[route] * starts.deviation();
        for (const auto& [route, starts] : executions_) {
            auto& weight = it.per_execution[route];
            weight = std::max(0.0, weight + step_size * error *
                                                starts.deviation() / power);
        }
    }
}

std::vector<call_attribution::learned_weight>
call_attribution::weights() const {
    std::vector<learned_weight> all;
    for (const auto& [service, it] : services_)
        for (const auto& [route, n] : it.per_execution)
            if (n > min_calls_per_execution)
                all.push_back({route, service, n});
    return all;
}

double
call_attribution::calls_per_execution(const std::string& route,
                                      const service_name& service) const {
    const auto known = services_.find(service);
    if (known == services_.end())
        return 0;
    const auto it = known->second.per_execution.find(route);
    return it == known->second.per_execution.end() ? 0 : it->second;
}

std::vector<service_name>
call_attribution::downstream_services(const std::string& route) const {
    std::vector<service_name> services;
    for (const auto& [service, it] : services_) {
        double threshold = min_calls_per_execution;
        for (const auto& [other, n] : it.per_execution)
            threshold = std::max(threshold, n * min_share_of_highest);
        if (calls_per_execution(route, service) > threshold &&
            !is_observed_not_calling(route, service))
            services.push_back(service);
    }
    return services;
}

} // namespace redwingwind::overload
