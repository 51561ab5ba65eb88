#include <redwingwind/overload/call_attribution.hpp>

#include <algorithm>
#include <utility>

namespace redwingwind::overload {
namespace {

constexpr duration span = std::chrono::milliseconds(100);
/// Weight of the latest span in the smoothed counts: a run's calls may come
/// some spans after its start.
constexpr double fast_weight = 0.3;
constexpr double slow_weight = 0.03;
constexpr double step = 0.1;
/// Fewer calls a run than this are taken for chance.
constexpr double least_calls_per_run = 0.3;
/// Weight of a run's time in the usual one.
constexpr double usual_weight = 0.1;
/// Whole runs that must have been seen alone before a route is judged by
/// them, and the calls a run below which it makes none.
constexpr double runs_to_judge = 5;
constexpr double silent_calls_per_run = 0.1;
/// As are those below this share of the most that any route's runs make.
constexpr double least_share_of_most = 0.35;

} // namespace

void call_attribution::on_execution_start(time_point now,
                                          const std::string& route) {
    pass(now);
    close_spans(now);
    runs_[route].add();
    ++lone_[route].running;
    ++running_;
}

void call_attribution::on_execution_end(time_point now,
                                        const std::string& route,
                                        duration took) {
    pass(now);
    auto& it = lone_[route];
    if (it.running == 0)
        return;
    --it.running;
    --running_;
    const double weight = it.usual_s > 0 ? usual_weight : 1.0;
    it.usual_s += weight * (seconds(took) - it.usual_s);
}

void call_attribution::pass(time_point now) {
    const auto since = std::exchange(passed_, now);
    if (auto* it = lone_route())
        it->alone_s += seconds(now - since);
}

call_attribution::lone_runs* call_attribution::lone_route() {
    if (running_ == 0)
        return nullptr;
    for (auto& [route, it] : lone_)
        if (it.running > 0)
            return it.running == running_ ? &it : nullptr;
    return nullptr;
}

bool call_attribution::is_seen_silent(const std::string& route,
                                      const service_name& service) const {
    const auto known = lone_.find(route);
    if (known == lone_.end() || known->second.usual_s <= 0)
        return false;
    const auto& it = known->second;
    const double runs = it.alone_s / it.usual_s;
    const auto calls = it.calls.find(service);
    const double seen = calls == it.calls.end() ? 0 : calls->second;
    return runs >= runs_to_judge && seen < runs * silent_calls_per_run;
}

void call_attribution::on_call(time_point now, const service_name& service) {
    pass(now);
    close_spans(now);
    services_[service].calls.add();
    if (auto* it = lone_route())
        it->calls[service] += 1;
}

void call_attribution::close_spans(time_point now) {
    if (now - span_start_ < span)
        return;
    span_start_ = now;
    learn();
}

void call_attribution::signal::close_span() {
    fast_ += fast_weight * (count_ - fast_);
    slow_ += slow_weight * (count_ - slow_);
    count_ = 0;
}

void call_attribution::learn() {
    double power = 0;
    for (auto& [route, it] : runs_) {
        it.close_span();
        power += it.deviation() * it.deviation() + it.level() * fast_weight;
    }
    if (power <= 0)
        return;
    for (auto& [service, it] : services_) {
        it.calls.close_span();
        double error = it.calls.deviation();
        for (const auto& [route, of] : runs_)
            error -= it.per_run[route] * of.deviation();
        for (const auto& [route, of] : runs_) {
            auto& weight = it.per_run[route];
            weight =
                std::max(0.0, weight + step * error * of.deviation() / power);
        }
    }
}

std::vector<call_attribution::learned_weight>
call_attribution::weights() const {
    std::vector<learned_weight> all;
    for (const auto& [service, it] : services_)
        for (const auto& [route, n] : it.per_run)
            if (n > least_calls_per_run)
                all.push_back({route, service, n});
    return all;
}

double
call_attribution::calls_per_execution(const std::string& route,
                                      const service_name& service) const {
    const auto known = services_.find(service);
    if (known == services_.end())
        return 0;
    const auto it = known->second.per_run.find(route);
    return it == known->second.per_run.end() ? 0 : it->second;
}

std::vector<service_name>
call_attribution::downstream_services(const std::string& route) const {
    std::vector<service_name> called;
    for (const auto& [service, it] : services_) {
        double most = least_calls_per_run;
        for (const auto& [other, n] : it.per_run)
            most = std::max(most, n * least_share_of_most);
        if (calls_per_execution(route, service) > most &&
            !is_seen_silent(route, service))
            called.push_back(service);
    }
    return called;
}

} // namespace redwingwind::overload
