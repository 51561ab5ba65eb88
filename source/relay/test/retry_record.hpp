#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace redwingwind::relay::test {

/// The operator's bound on retries: in each window a service gets at most
/// ratio times its requests, and slack more.
struct retry_bound {
    double ratio{0.2};
    double slack{40};
    duration window{std::chrono::seconds(10)};
};

/// Requests for each service and retried executions at its targets over a whole
/// deployment, as the operator counts them.
class retry_record {
  public:
    void on_request(time_point now, const std::string& service);
    void on_retry(time_point now, const std::string& service);

    /// The highest share of its bound that a service used in any window. The
    /// bound of a window uses its own requests, those of the window before it
    /// or those of the window half a length before it, whichever are most.
    double max_bound_usage(const retry_bound& bound) const;

  private:
    struct counts {
        double requests{};
        double retries{};
    };
    /// By buckets of 100 ms.
    using series = std::map<std::int64_t, counts>;

    static std::int64_t bucket_of(duration time);
    static counts sum(const series& all, std::int64_t end, std::int64_t length);

    std::map<std::string, series> services_;
};

} // namespace redwingwind::relay::test
