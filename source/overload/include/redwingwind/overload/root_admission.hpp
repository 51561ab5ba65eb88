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
    /// Strain of a service to which the calls let in are brought.
    double offered_load_setpoint{0.97};
    /// Part of the way to the share that fits that is gone in an interval.
    double gain{0.5};
    duration interval{std::chrono::milliseconds(50)};
    /// Added to the share that fits: with it nodes that let in more come down
    /// to the others, and a share that is let in again grows.
    double growth{0.01};
    /// Of no priority a smaller part of the share is let in: the least urgent
    /// are not to starve either.
    double min_priority_share{0.3};
    /// No less than this is let in: without any calls nothing is learned.
    double min_share{0.02};
    /// What was told of a service counts for this long.
    duration max_report_age{std::chrono::seconds(1)};
};

/// Decides at the node where a call enters whether it is let in at all.
/// Answers the load pattern of a full service, wherever it lies on the call's
/// way: a call that fails there wastes all that ran for it above, so only as
/// many are let in as have room. Less urgent calls are left out first, by the
/// urgency with which they enter, whether they call that service themselves
/// or through others.
///
/// The strain of a service as told now comes from what was let in a while
/// ago. The share that fits is therefore the share let in then, times the
/// wanted strain over the one told.
class root_admission {
  public:
    explicit root_admission(root_admission_options options = {})
        : options_(options) {}

    /// What an answer on the route told of the services on its way, and how
    /// long the call took; zero for one that did not run.
    void on_response(time_point now, const std::string& route,
                     const std::vector<service_offered_load>& on_way,
                     duration took);
    bool admits(time_point now, const std::string& route,
                std::uint8_t priority);
    /// The greatest strain on the route's way as last told; 0 when too old.
    double max_offered_load(time_point now, const std::string& route) const;
    struct service_share {
        service_name service;
        double offered_load{};
        /// Of the calls that pass it, the share let in.
        double share{1};
    };
    /// Of all services that calls are left out for.
    std::vector<service_share> shares() const;

  private:
    /// Priorities from this on are treated alike.
    static constexpr std::size_t priorities = 4;

    struct service_state {
        double offered_load{};
        time_point told{};
        time_point adjusted{};
        /// Usual time of the calls that pass it.
        double took_s{0.5};
        double share{1};
        /// The share that was in force when the strain told now was made.
        double earlier_share{1};
        /// Calls that asked, smoothed, by priority.
        std::array<double, priorities> asked{};
        std::array<double, priorities> asked_now{};
    };
    struct service_on_way {
        time_point told{};
        /// Whole answers on the route since then.
        std::uint32_t answers_since{};
        /// When a call was last let in to hear of it.
        time_point probed{};
    };
    struct known_route {
        std::unordered_map<service_name, service_on_way> services;
        /// Grows by the share with each call; at 1 a call is let in.
        double credit{0.5};
    };

    void adjust(time_point now, service_state& it) const;
    /// Nothing was heard of the service on this route for long: one call may
    /// find out whether it still leads there.
    bool is_probe_due(time_point now, service_on_way& it) const;
    double share_of(const service_state& it, std::size_t priority) const;

    root_admission_options options_;
    std::unordered_map<service_name, service_state> services_;
    std::unordered_map<std::string, known_route> routes_;
};

} // namespace redwingwind::overload
