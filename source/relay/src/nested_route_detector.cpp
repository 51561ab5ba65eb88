#include <redwingwind/relay/nested_route_detector.hpp>

namespace redwingwind::relay {
namespace {

constexpr duration fade_interval = std::chrono::seconds(1);
/// What is left of the counts after each interval.
constexpr double fade_share = 0.9;
constexpr double forgotten = 0.05;
/// Calls before a route is judged.
constexpr double least_calls = 20;
/// A service with a smaller share of a route's calls does not count as one
/// of its callers: an instance may just have changed its service.
constexpr double least_share = 0.02;

double sum_of(const std::unordered_map<service_name, double>& of) {
    double sum = 0;
    for (const auto& [service, n] : of)
        sum += n;
    return sum;
}

} // namespace

std::size_t nested_route_detector::callers(const counts& of) {
    const double least = sum_of(of) * least_share;
    std::size_t n = 0;
    for (const auto& [service, count] : of)
        n += count > least ? 1 : 0;
    return n;
}

void nested_route_detector::fade() {
    for (auto& [route, of] : by_route_) {
        for (auto& [service, n] : of)
            n *= fade_share;
        std::erase_if(of, [](const auto& it) { return it.second < forgotten; });
    }
    std::erase_if(by_route_, [](const auto& it) { return it.second.empty(); });
    for (auto& [service, n] : all_)
        n *= fade_share;
    std::erase_if(all_, [](const auto& it) { return it.second < forgotten; });
}

void nested_route_detector::on_call(time_point now, const std::string& route,
                                    const service_name& caller) {
    if (now - faded_ >= fade_interval) {
        faded_ = now;
        fade();
    }
    by_route_[route][caller] += 1;
    all_[caller] += 1;
}

bool nested_route_detector::is_nested(const std::string& route) const {
    const auto it = by_route_.find(route);
    if (it == by_route_.end() || sum_of(it->second) < least_calls)
        return false;
    return all_.size() > 1 && callers(it->second) * 2 <= all_.size();
}

} // namespace redwingwind::relay
