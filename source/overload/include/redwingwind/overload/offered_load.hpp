#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <compare>

namespace redwingwind::overload {

/// The work that comes to a target of a service, refused work included, as a
/// share of what the target can do; above 1 there is too little room.
struct service_offered_load {
    service_name service;
    double offered_load{};

    auto operator<=>(const service_offered_load&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(service, offered_load);
    }
};

/// Measures the strain of a target, over about the last third of a second.
class offered_load_meter {
  public:
    /// A call came that will hold a slot for this long.
    void on_arrival(time_point now, duration slot_time);
    /// With so many slots.
    double value(time_point now, double slots) const;

  private:
    double fade(time_point now) const;

    time_point last_{};
    double slot_seconds_{};
};

/// The share of a service's latest answers that are failures, 0 to 1.
class failure_meter {
  public:
    void on_response(time_point now, bool is_failure);
    double value(time_point now) const;

  private:
    double fade(time_point now) const;

    time_point last_{};
    double failures_{};
    double all_{};
};

} // namespace redwingwind::overload
