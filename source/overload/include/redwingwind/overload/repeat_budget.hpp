#pragma once

#include <redwingwind/common/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace redwingwind::overload {

struct repeat_options {
    /// Repeats allowed for each request in the window, over all nodes.
    double ratio{0.2};
    /// Repeats allowed besides, over all nodes.
    double slack{40.0};
    duration window{std::chrono::seconds(10)};
    /// Share of what is allowed that is used. The rest covers the nodes that
    /// started again and forgot what they spent, and the calls that repeated
    /// work makes in its turn.
    double used_share{0.5};

    auto operator<=>(const repeat_options&) const = default;
};

/// The part of a service's retry budget that one node may spend without
/// asking the others: the ratio applies to its own requests, and the slack is
/// split over the live nodes. Each sliding window keeps the bound.
class repeat_budget {
  public:
    explicit repeat_budget(repeat_options options) : options_(options) {}

    void set_options(const repeat_options& options) { options_ = options; }
    void on_request(time_point now);
    /// Spends one repeat; false when the window has none left.
    bool take(time_point now, std::size_t live_nodes);
    /// Repeats that may be spent now, 0 or more.
    double left(time_point now, std::size_t live_nodes);

  private:
    static constexpr std::size_t buckets = 20;

    struct bucket {
        std::int64_t number{-1};
        std::uint32_t requests{};
        std::uint32_t repeats{};
    };

    bucket& current(time_point now);
    std::int64_t number_of(time_point now) const;

    repeat_options options_;
    /// One more than the window holds: the oldest counts in full.
    std::array<bucket, buckets + 1> counts_{};
};

} // namespace redwingwind::overload
