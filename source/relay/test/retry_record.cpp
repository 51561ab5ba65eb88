#include "retry_record.hpp"

#include <algorithm>

namespace redwingwind::relay::test {

std::int64_t retry_record::bucket_of(duration time) {
    constexpr duration bucket = std::chrono::milliseconds(100);
    return time / bucket;
}

void retry_record::on_request(time_point now, const std::string& service) {
    services_[service][bucket_of(now.time_since_epoch())].requests += 1;
}

void retry_record::on_retry(time_point now, const std::string& service) {
    services_[service][bucket_of(now.time_since_epoch())].retries += 1;
}

retry_record::counts retry_record::sum(const series& all, std::int64_t end,
                                       std::int64_t length) {
    counts total;
    for (auto it = all.lower_bound(end - length);
         it != all.end() && it->first < end; ++it) {
        total.requests += it->second.requests;
        total.retries += it->second.retries;
    }
    return total;
}

double retry_record::max_bound_usage(const retry_bound& bound) const {
    const auto length = bucket_of(bound.window);
    double max_usage = 0;
    for (const auto& [service, all] : services_) {
        if (all.empty())
            continue;
        const auto last = all.rbegin()->first + 1;
        for (auto end = all.begin()->first + 1; end <= last; ++end) {
            const auto in_window = sum(all, end, length);
            const auto half_before = sum(all, end - length / 2, length);
            const auto window_before = sum(all, end - length, length);
            const double requests =
                std::max({in_window.requests, half_before.requests,
                          window_before.requests});
            max_usage =
                std::max(max_usage, in_window.retries /
                                        (bound.ratio * requests + bound.slack));
        }
    }
    return max_usage;
}

} // namespace redwingwind::relay::test
