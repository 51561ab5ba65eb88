#include <redwingwind/overload/service_retry_budget.hpp>

#include <algorithm>

namespace redwingwind::overload {
namespace {

/// Retries that may be spent within a bucket regardless of share_per_bucket, as
/// long as they are left: a few retries need not be spread over time.
constexpr double min_per_bucket = 10;
/// Buckets before the current one over which the rate of requests made by
/// retried executions is averaged.
constexpr std::int64_t rate_buckets = 4;

} // namespace

std::int64_t service_retry_budget::number_of(time_point now) const {
    const auto width = options_.window / buckets_per_window;
    return now.time_since_epoch() / width;
}

service_retry_budget::bucket& service_retry_budget::current(time_point now) {
    const auto number = number_of(now);
    auto& it = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
    if (it.number != number) {
        it = {};
        it.number = number;
    }
    return it;
}

void service_retry_budget::on_request(time_point now,
                                      double retry_probability) {
    auto& it = current(now);
    ++it.requests;
    it.retries += retry_probability;
    it.inherited += retry_probability;
}

double service_retry_budget::requests(std::int64_t first,
                                      std::int64_t last) const {
    double sum = 0;
    for (const auto& it : buckets_)
        if (it.number >= first && it.number <= last)
            sum += it.requests;
    return sum;
}

double service_retry_budget::retries(std::int64_t first) const {
    double sum = 0;
    for (const auto& it : buckets_)
        if (it.number >= first)
            sum += it.retries;
    return sum;
}

double service_retry_budget::inherited_rate(std::int64_t newest) const {
    double sum = 0;
    for (const auto& it : buckets_)
        if (it.number >= newest - rate_buckets && it.number < newest)
            sum += it.inherited;
    return sum / rate_buckets;
}

double service_retry_budget::allowed(std::int64_t newest, std::int64_t ahead,
                                     std::size_t live_nodes) const {
    // Counts only buckets that lie inside the window wherever in its last
    // bucket the window ends.
    const auto end = newest + ahead;
    const auto half = buckets_per_window / 2;
    const double own_window = requests(end - buckets_per_window + 1, newest);
    const double half_window_earlier =
        requests(end - buckets_per_window - half + 1, end - half - 1);
    const double previous_window = requests(end - 2 * buckets_per_window + 1,
                                            end - buckets_per_window - 1);
    const double nodes =
        static_cast<double>(std::max<std::size_t>(live_nodes, 1));
    return (options_.ratio *
                std::max({own_window, half_window_earlier, previous_window}) +
            options_.slack / nodes) *
           options_.used_share;
}

double service_retry_budget::left(time_point now, std::size_t live_nodes) {
    const auto newest = number_of(now);
    const double rate = inherited_rate(newest);
    double lowest = allowed(newest, buckets_per_window, live_nodes) -
                    rate * buckets_per_window;
    for (std::int64_t ahead = 0; ahead < buckets_per_window; ++ahead) {
        const double retried = retries(newest + ahead - buckets_per_window);
        // A window without retries allows at least as much as the last one.
        if (retried > 0)
            lowest =
                std::min(lowest, allowed(newest, ahead, live_nodes) - retried -
                                     rate * static_cast<double>(ahead));
    }
    return std::max(0.0, lowest);
}

bool service_retry_budget::take(time_point now, std::size_t live_nodes,
                                double reserve) {
    const double left_now = left(now, live_nodes);
    const double reserved =
        reserve * allowed(number_of(now), buckets_per_window, live_nodes);
    if (left_now < 1.0 + reserved)
        return false;
    auto& it = current(now);
    if (it.left < 0)
        it.left = left_now;
    const double max_in_bucket =
        std::max(min_per_bucket, it.left * options_.share_per_bucket);
    if (it.taken + 1.0 > max_in_bucket)
        return false;
    ++it.taken;
    it.retries += 1;
    return true;
}

} // namespace redwingwind::overload
