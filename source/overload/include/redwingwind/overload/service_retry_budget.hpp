#pragma once

#include <redwingwind/common/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace redwingwind::overload {

struct service_retry_budget_options {
    /// Retries allowed per request in the window, over all nodes.
    double ratio{0.2};
    /// Retries allowed in the window in addition, over all nodes.
    double slack{40.0};
    duration window{std::chrono::seconds(10)};
    /// Share of the allowed retries that is used, 0 to 1. The rest covers
    /// traffic that moves between nodes, since each node counts only its own
    /// requests.
    double used_share{0.7};
    /// Share of the remaining retries that may be spent within one bucket (a
    /// twentieth of the window), 0 to 1: the rest is kept for failures that
    /// last.
    double share_per_bucket{0.3};

    auto operator<=>(const service_retry_budget_options&) const = default;
};

/// The part of a service's retry budget that one node may spend without
/// coordinating with the others: the ratio applies to the node's own requests,
/// and the slack is divided among the live nodes.
///
/// The bound holds in each sliding window. It is the ratio of the number of
/// requests in the window itself, in the previous window, or in the window
/// that ended half a window earlier, whichever is largest. A retry is granted
/// only if all windows that will contain it keep the bound even if no further
/// request arrives. Requests made by retried executions count as retries; they
/// cannot be held back, so they are expected to continue at their recent rate.
class service_retry_budget {
  public:
    explicit service_retry_budget(service_retry_budget_options options)
        : options_(options) {}

    void set_options(const service_retry_budget_options& options) {
        options_ = options;
    }
    /// retry_probability, 0 to 1, is the probability that the execution that
    /// makes the request is itself a retry: the request then counts as a
    /// retry.
    void on_request(time_point now, double retry_probability = 0);
    /// Spends one retry; false if none is left. With a reserve, 0 to 1, that
    /// share of the allowed retries is left to other callers.
    bool take(time_point now, std::size_t live_nodes, double reserve = 0);
    /// Retries that may still be spent in the window, 0 or more.
    double left(time_point now, std::size_t live_nodes);

  private:
    static constexpr std::int64_t buckets_per_window = 20;
    /// Two windows and one more bucket: the oldest lies partly outside.
    static constexpr std::size_t kept_buckets = 2 * buckets_per_window + 1;

    struct bucket {
        std::int64_t number{-1};
        std::uint32_t requests{};
        double retries{};
        /// Those of the retries that are requests made by retried executions.
        double inherited{};
        /// Those of the retries that were spent by take().
        std::uint32_t taken{};
        /// Retries left at the first take() in the bucket; negative before.
        double left{-1};
    };

    bucket& current(time_point now);
    std::int64_t number_of(time_point now) const;
    /// Requests in the buckets from first to last, both included.
    double requests(std::int64_t first, std::int64_t last) const;
    /// Retries in the buckets from first on.
    double retries(std::int64_t first) const;
    /// Recent average per bucket of requests made by retried executions.
    double inherited_rate(std::int64_t newest) const;
    /// Retries allowed in the window that ends this many buckets after newest.
    double allowed(std::int64_t newest, std::int64_t ahead,
                   std::size_t live_nodes) const;

    service_retry_budget_options options_;
    std::array<bucket, kept_buckets> buckets_{};
};

} // namespace redwingwind::overload
