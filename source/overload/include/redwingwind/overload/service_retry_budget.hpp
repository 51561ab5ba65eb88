#pragma once

#include <redwingwind/common/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace redwingwind::overload {

struct service_retry_budget_options {
    /// Repeats allowed for each request in the window, over all nodes.
    double ratio{0.2};
    /// Repeats allowed besides, over all nodes.
    double slack{40.0};
    duration window{std::chrono::seconds(10)};
    /// Share of what is allowed that is used. The rest covers traffic that
    /// moves between nodes: each looks back on its own requests.
    double used_share{0.7};
    /// Share of what is left that may be spent within one bucket, a twentieth
    /// of the window: the rest is kept for failures that last.
    double share_per_bucket{0.3};

    auto operator<=>(const service_retry_budget_options&) const = default;
};

/// The part of a service's retry budget that one node may spend without
/// asking the others: the ratio applies to its own requests, and the slack is
/// split over the live nodes. Each sliding window keeps the bound, which is
/// the ratio of the requests in it, in the window before it or in the one
/// half a window before it, whichever has most. A repeat is spent only where
/// all windows that it will lie in keep it, even if no request came any more,
/// and beside the repeats that requests of repeated runs will be: these can't
/// be held back, and go on coming as they lately did.
class service_retry_budget {
  public:
    explicit service_retry_budget(service_retry_budget_options options)
        : options_(options) {}

    void set_options(const service_retry_budget_options& options) {
        options_ = options;
    }
    /// retry_probability, 0 to 1, is how likely the run that makes the request
    /// is itself a repeat: then the request counts as one.
    void on_request(time_point now, double retry_probability = 0);
    /// Spends one repeat; false when there is none left. With a reserve, 0 to
    /// 1, that share of what is allowed is left to others.
    bool take(time_point now, std::size_t live_nodes, double reserve = 0);
    /// Repeats that may be spent in the window, 0 or more.
    double left(time_point now, std::size_t live_nodes);

  private:
    static constexpr std::int64_t buckets = 20;
    /// Two windows, and one more: the oldest lies partly outside.
    static constexpr std::size_t kept = 2 * buckets + 1;

    struct bucket {
        std::int64_t number{-1};
        std::uint32_t requests{};
        double repeats{};
        /// Of these, requests that repeated runs made.
        double inherited{};
        /// Of these, spent by take().
        std::uint32_t taken{};
        /// Left when the bucket began; below 0 before the first take().
        double left{-1};
    };

    bucket& current(time_point now);
    std::int64_t number_of(time_point now) const;
    /// Requests in the buckets from first to last.
    double requests(std::int64_t first, std::int64_t last) const;
    double repeats(std::int64_t first) const;
    /// Requests of repeated runs in a bucket, lately.
    double inherited_rate(std::int64_t newest) const;
    /// Of the window that ends so many buckets from now.
    double allowed(std::int64_t newest, std::int64_t ahead,
                   std::size_t live_nodes) const;

    service_retry_budget_options options_;
    std::array<bucket, kept> counts_{};
};

} // namespace redwingwind::overload
