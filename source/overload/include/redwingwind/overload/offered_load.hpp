#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <compare>

namespace redwingwind::overload {

/// The work that arrives at a target of a service, rejected work included, over
/// the target's capacity; exceeds 1 under overload.
struct service_offered_load {
    service_name service;
    double offered_load{};

    auto operator<=>(const service_offered_load&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(service, offered_load);
    }
};

/// Measures the offered load of a target, exponentially weighted over about the
/// last 0.3 s.
class offered_load_meter {
  public:
    /// A call arrived that is expected to hold a slot for this long.
    void on_arrival(time_point now, duration service_time);
    /// Offered load of a target with this many slots; fewer than 1 count as 1.
    double value(time_point now, double slots) const;

  private:
    /// Weight that values recorded at last_ still have.
    double decay(time_point now) const;

    time_point last_{};
    /// Sum of the service times, exponentially weighted.
    double slot_seconds_{};
};

/// Measures the share of a service's recent responses that are failures, 0 to
/// 1. With few recent responses the share is lower than their failures alone
/// would give, and tends to 0 without any.
class failure_meter {
  public:
    void on_response(time_point now, bool is_failure);
    double value(time_point now) const;

  private:
    double decay(time_point now) const;

    time_point last_{};
    /// Exponentially weighted counts.
    double failures_{};
    double responses_{};
};

} // namespace redwingwind::overload
