#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// Learns how many calls to other services a run of each route makes. A call
/// does not tell which run makes it, so the calls seen in short spans of time
/// are explained by the runs that started in them, by a normalised
/// least-mean-squares filter with no negative weights.
class call_attribution {
  public:
    void on_execution_start(time_point now, const std::string& route);
    /// A run of the route ended, after this time.
    void on_execution_end(time_point now, const std::string& route,
                          duration took);
    void on_call(time_point now, const service_name& service);

    /// Services that a run of the route usually calls.
    std::vector<service_name>
    downstream_services(const std::string& route) const;
    struct learned_weight {
        std::string route;
        service_name service;
        double calls_per_execution{};
    };
    /// All that was learned.
    std::vector<learned_weight> weights() const;
    double calls_per_execution(const std::string& route,
                               const service_name& service) const;

  private:
    /// Counts of a span, as they differ from their own slow average: what
    /// rises and falls together with the load of a day explains nothing.
    class signal {
      public:
        void add() { count_ += 1; }
        void close_span();
        double level() const { return slow_; }
        double deviation() const { return fast_ - slow_; }

      private:
        double count_{};
        double fast_{};
        double slow_{};
    };
    struct service_state {
        signal calls;
        std::unordered_map<std::string, double> per_run;
    };

    /// Runs of a route while runs of no other were at the target: what is
    /// called then is called by them.
    struct lone_runs {
        std::size_t running{};
        /// Smoothed time of a run.
        double usual_s{};
        double alone_s{};
        std::unordered_map<service_name, double> calls;
    };

    void close_spans(time_point now);
    void learn();
    /// Counts the time since the last event.
    void pass(time_point now);
    /// The route that alone has runs now; nullptr when others have too.
    lone_runs* lone_route();
    bool is_seen_silent(const std::string& route,
                        const service_name& service) const;

    std::unordered_map<std::string, signal> runs_;
    std::unordered_map<service_name, service_state> services_;
    std::unordered_map<std::string, lone_runs> lone_;
    std::size_t running_{};
    time_point passed_{};
    time_point span_start_{};
};

} // namespace redwingwind::overload
