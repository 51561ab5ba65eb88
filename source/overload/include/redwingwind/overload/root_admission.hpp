#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/offered_load.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

struct root_admission_options {
    /// Offered load of a service that the admitted share is adjusted to reach.
    double offered_load_setpoint{0.97};
    /// Share of the difference to the computed share that is corrected in one
    /// interval, 0 to 1.
    double gain{0.5};
    duration interval{std::chrono::milliseconds(50)};
    /// Added to the admitted share in each interval: a low share recovers, and
    /// nodes that admit a larger share converge to the others.
    double growth{0.01};
    /// Each priority is admitted at least this part of the admitted share, so
    /// that the least urgent calls do not starve. 0 to 1.
    double min_priority_share{0.3};
    /// Lower bound of the admitted share: without any calls no offered load is
    /// reported.
    double min_share{0.02};
    /// Reports on a service are ignored after this time.
    duration max_report_age{std::chrono::seconds(1)};
};

/// Decides at the node where a root call enters whether it is admitted.
///
/// A call that is rejected by an overloaded service deep in the graph wastes
/// all the work that was done for it upstream. Therefore only as many root
/// calls are admitted as the busiest downstream service of their route can
/// serve. The least urgent calls are rejected first, by the priority with which
/// they enter, whether they call that service directly or through others.
///
/// The offered load that a service reports now is caused by calls that were
/// admitted earlier. The new share is therefore the share admitted then, times
/// the setpoint over the reported offered load.
class root_admission {
  public:
    explicit root_admission(root_admission_options options = {})
        : options_(options) {}

    /// A response on the route reported the offered load of its downstream
    /// services. The latency of the call is zero if it was not executed.
    void on_response(time_point now, const std::string& route,
                     const std::vector<service_offered_load>& reported,
                     duration latency);
    bool admits(time_point now, const std::string& route,
                std::uint8_t priority);
    /// The greatest offered load last reported of a downstream service of the
    /// route; 0 if there is no report younger than max_report_age.
    double max_offered_load(time_point now, const std::string& route) const;
    struct service_share {
        service_name service;
        double offered_load{};
        /// Share of the calls through the service that is admitted, 0 to 1.
        double share{1};
    };
    /// The services for which calls are being rejected.
    std::vector<service_share> shares() const;

  private:
    /// Higher values of a call's priority are treated like the last one.
    static constexpr std::size_t priorities = 4;

    struct service_state {
        /// Exponentially weighted average of the reports.
        double offered_load{};
        time_point reported_at{};
        time_point adjusted_at{};
        /// Exponentially weighted average latency of the calls through the
        /// service.
        double average_latency_s{0.5};
        double share{1};
        /// The share that was in force when the calls were admitted that cause
        /// the offered load reported now.
        double lagged_share{1};
        /// Average arrivals per second, by priority.
        std::array<double, priorities> arrival_rates{};
        /// Arrivals since adjusted_at, by priority.
        std::array<double, priorities> arrivals{};
    };
    struct downstream_service {
        time_point reported_at{};
        /// Responses to executed calls of the route since reported_at.
        std::uint32_t responses_since_report{};
        /// When a call was last admitted to obtain a report.
        time_point probed_at{};
    };
    struct route_state {
        std::unordered_map<service_name, downstream_service> services;
        /// Grows by the admitted share with each call; a call is admitted at 1.
        double credit{0.5};
    };

    void adjust_share(time_point now, service_state& it) const;
    /// True if there was neither a report on the service nor a probe on this
    /// route for max_report_age: one call may then be admitted to find out
    /// whether the route still leads there. Marks the probe as sent.
    bool start_probe_if_due(time_point now, downstream_service& it) const;
    double priority_share(const service_state& it, std::size_t priority) const;

    root_admission_options options_;
    std::unordered_map<service_name, service_state> services_;
    std::unordered_map<std::string, route_state> routes_;
};

} // namespace redwingwind::overload
