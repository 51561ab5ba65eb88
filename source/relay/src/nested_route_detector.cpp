#include <redwingwind/relay/nested_route_detector.hpp>

namespace redwingwind::relay {
namespace {

constexpr duration decay_interval = std::chrono::seconds(1);
/// Counts are multiplied by this after each interval.
constexpr double decay_factor = 0.9;
/// Lower counts are removed.
constexpr double min_count = 0.05;
/// A route with fewer calls is not considered nested.
constexpr double min_calls = 20;
/// A service with a smaller share of a route's calls does not count as one of
/// its callers: an instance may just have changed its service.
constexpr double min_caller_share = 0.02;

double sum_of(const std::unordered_map<service_name, double>& of) {
    double sum = 0;
    for (const auto& [service, n] : of)
        sum += n;
    return sum;
}

} // namespace

std::size_t nested_route_detector::caller_count(const counts& of) {
    const double min = sum_of(of) * min_caller_share;
    std::size_t n = 0;
    for (const auto& [service, count] : of)
        n += count > min ? 1 : 0;
    return n;
}

void nested_route_detector::decay() {
    for (auto& [route, of] : by_route_) {
        for (auto& [service, n] : of)
            n *= decay_factor;
        std::erase_if(of, [](const auto& it) { return it.second < min_count; });
    }
    std::erase_if(by_route_, [](const auto& it) { return it.second.empty(); });
    for (auto& [service, n] : total_)
        n *= decay_factor;
    std::erase_if(total_, [](const auto& it) { return it.second < min_count; });
}

void nested_route_detector::on_call(time_point now, const std::string& route,
                                    const service_name& caller) {
    if (now - last_decay_ >= decay_interval) {
        last_decay_ = now;
        decay();
    }
    by_route_[route][caller] += 1;
    total_[caller] += 1;
}

bool nested_route_detector::is_nested(const std::string& route) const {
    const auto it = by_route_.find(route);
    if (it == by_route_.end() || sum_of(it->second) < min_calls)
        return false;
    return total_.size() > 1 && caller_count(it->second) * 2 <= total_.size();
}

} // namespace redwingwind::relay
