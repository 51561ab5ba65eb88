#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "experiment_config.hpp"
#include "load_driver.hpp"

namespace redwingwind::experiment {

/// One execution as a target recorded it.
struct execution_record {
    std::string service;
    std::string path;
    std::string root;
    std::string id;
    double work_ms{};
    /// started, completed, failed or stopped.
    std::string end;
};

/// When the phases of a run began.
struct run_times {
    time_point steady;
    time_point surge;
    time_point calm;
    time_point end;
};

/// Latencies of the same call made directly and through two nodes.
struct added_latency {
    std::vector<double> direct_us;
    std::vector<double> through_us;
};

/// Successes per interval of the run, for the plot.
struct goodput_series {
    std::string mode;
    double interval_s{};
    std::vector<double> per_second;
};

nlohmann::json make_report(const experiment_config& config,
                           const std::map<std::string, request_result>& results,
                           const std::vector<execution_record>& records,
                           const run_times& times,
                           const added_latency& latency);

goodput_series make_series(const std::string& mode,
                           const std::map<std::string, request_result>& results,
                           const run_times& times);

/// An SVG of goodput over time, one line per mode.
std::string plot(const std::string& title,
                 const std::vector<goodput_series>& all, double surge_from_s,
                 double surge_to_s);

} // namespace redwingwind::experiment
