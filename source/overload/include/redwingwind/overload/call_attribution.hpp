#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// Estimates how many calls to other services an execution of each route
/// makes. A call does not carry which execution makes it. Therefore a
/// normalised least-mean-squares filter with non-negative weights fits the
/// number of calls in short intervals to the number of executions of each route
/// that started in them.
class call_attribution {
  public:
    void on_execution_start(time_point now, const std::string& route);
    /// An execution of the route ended; it took execution_time.
    void on_execution_end(time_point now, const std::string& route,
                          duration execution_time);
    void on_call(time_point now, const service_name& service);

    /// Services that an execution of the route calls according to the
    /// estimate.
    std::vector<service_name>
    downstream_services(const std::string& route) const;
    /// The estimate for one pair of route and called service.
    struct learned_weight {
        std::string route;
        service_name service;
        double calls_per_execution{};
    };
    /// All estimates that are large enough not to be taken for chance.
    std::vector<learned_weight> weights() const;
    /// 0 if nothing is known of the route or the service.
    double calls_per_execution(const std::string& route,
                               const service_name& service) const;

  private:
    /// Events per interval as the difference of a fast and a slow exponentially
    /// weighted average. Slow changes of the total load, which all routes have
    /// in common, cancel out: they say nothing about which route makes calls.
    class signal {
      public:
        void add() { count_ += 1; }
        void close_interval();
        double slow_average() const { return slow_average_; }
        double deviation() const { return fast_average_ - slow_average_; }

      private:
        double count_{};
        double fast_average_{};
        double slow_average_{};
    };
    struct service_state {
        signal calls;
        /// Estimated calls per execution, by route.
        std::unordered_map<std::string, double> per_execution;
    };

    /// Observations of a route while no other route was executing at the
    /// target: all calls made then are its own.
    struct exclusive_observation {
        std::size_t executing{};
        /// Exponentially weighted average.
        double average_execution_time_s{};
        /// Total time during which only this route was executing.
        double exclusive_time_s{};
        /// Calls made in that time.
        std::unordered_map<service_name, double> calls;
    };

    void close_interval_if_due(time_point now);
    void update_estimates();
    /// Adds the time since the last event to the route that was executing
    /// exclusively.
    void add_elapsed(time_point now);
    /// The only route that is executing; nullptr if there is none or several.
    exclusive_observation* exclusive_route();
    /// True if the route executed exclusively for long enough and hardly ever
    /// called the service in that time.
    bool is_observed_not_calling(const std::string& route,
                                 const service_name& service) const;

    /// Started executions, by route.
    std::unordered_map<std::string, signal> executions_;
    std::unordered_map<service_name, service_state> services_;
    std::unordered_map<std::string, exclusive_observation> exclusive_;
    /// Executions of all routes at the target.
    std::size_t executing_{};
    time_point last_event_{};
    time_point interval_start_{};
};

} // namespace redwingwind::overload
