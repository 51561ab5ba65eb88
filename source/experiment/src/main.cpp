// Drives load over running deployments, one per mode, and reports how each
// fared. Starts no process itself.

#include <redwingwind/common/settings.hpp>
#include <redwingwind/io/http.hpp>
#include <redwingwind/io/reactor.hpp>

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

#include "experiment_config.hpp"
#include "load_driver.hpp"
#include "report.hpp"

ABSL_FLAG(std::string, config, "", "Experiment's configuration file");
ABSL_FLAG(std::string, endpoints, "",
          "JSON: mode to {callers, targets, nodes}, from the launcher");
ABSL_FLAG(std::string, mode, "all", "none, retries, fixed, full or all");
ABSL_FLAG(double, surge, 4, "Load in the surge, in times of the base load");
ABSL_FLAG(double, base, 1, "Load outside the surge, likewise");
ABSL_FLAG(double, slow, 1,
          "Slow the last service down by this factor during the surge");
ABSL_FLAG(std::int64_t, seed, 1, "Seed of the load");
ABSL_FLAG(std::string, json, "", "Where to write the report");
ABSL_FLAG(std::string, plot, "", "Where to write the plot, SVG");
ABSL_FLAG(bool, saturation, false,
          "First find the highest goodput, by steps of load");
ABSL_FLAG(std::int64_t, pings, 400, "Calls for the added latency; 0 for none");

namespace redwingwind::experiment {
namespace {

constexpr auto settle_time = std::chrono::seconds(8);
constexpr auto saturation_step = std::chrono::seconds(3);
constexpr auto fetch_time = std::chrono::seconds(20);
constexpr std::size_t most_record_bytes = std::size_t{256} << 20U;

io::http_result fetch(io::reactor& loop, io::http_client& client,
                      const io::http_call& call) {
    io::http_result result;
    bool is_done = false;
    client.start(call, [&](io::http_result answer) {
        result = std::move(answer);
        is_done = true;
    });
    loop.run_until([&] { return is_done; }, fetch_time);
    return result;
}

std::vector<execution_record> read_records(io::reactor& loop,
                                           const deployment& where) {
    io::http_client client(loop, 4);
    std::vector<execution_record> all;
    for (const auto& target : where.targets) {
        io::http_call call;
        call.url = target.url + "/records";
        call.timeout = fetch_time;
        call.max_body_bytes = most_record_bytes;
        const auto result = fetch(loop, client, call);
        const auto json =
            nlohmann::json::parse(result.response.body, nullptr, false);
        if (!json.is_object()) {
            std::cerr << "no records from " << target.url << "\n";
            continue;
        }
        for (const auto& it : json.at("records"))
            all.push_back({target.service, it[2], it[0], it[1], it[3], it[4]});
    }
    return all;
}

void slow_down(io::reactor& loop, const deployment& where, double factor) {
    io::http_client client(loop, 4);
    const auto service = where.targets.back().service;
    for (const auto& target : where.targets) {
        if (target.service != service)
            continue;
        io::http_call call;
        call.method = "POST";
        call.url = target.url + "/control";
        call.body = nlohmann::json{{"slow_factor", factor}}.dump();
        fetch(loop, client, call);
    }
}

/// The same call, directly to a target and through a caller's node and the
/// target's node, in alternation.
added_latency measure_latency(io::reactor& loop,
                              const experiment_config& config,
                              const deployment& where, std::int64_t count) {
    io::http_client client(loop, 4);
    added_latency latency;
    std::string direct;
    std::string through;
    for (std::size_t n = 0; n < where.targets.size(); ++n) {
        const bool is_pinged = where.targets[n].service == config.ping_service;
        if (is_pinged && direct.empty())
            direct = where.targets[n].url + config.ping_path;
        if (!is_pinged && through.empty())
            through = absl::StrCat(where.callers[n], "/", config.ping_service,
                                   config.ping_path);
    }
    constexpr std::int64_t warm_up = 20;
    for (std::int64_t n = 0; n < count + warm_up; ++n) {
        for (const bool is_direct : {true, false}) {
            io::http_call call;
            call.method = "POST";
            call.url = is_direct ? direct : through;
            call.headers = {{"Rww-Request-Id", "ping"}};
            call.body = "{}";
            const auto start = steady_now();
            fetch(loop, client, call);
            const auto took = double((steady_now() - start).count());
            if (n >= warm_up)
                (is_direct ? latency.direct_us : latency.through_us)
                    .push_back(took);
        }
    }
    return latency;
}

/// Highest goodput over steps of load around the base load.
double find_saturation(io::reactor& loop, const experiment_config& config,
                       const deployment& where, bool uses_tickets,
                       std::uint64_t seed) {
    double best = 0;
    for (const double step : {0.9, 1.0, 1.1, 1.2, 1.3, 1.5}) {
        load_driver driver(loop, config, where, uses_tickets, seed,
                           absl::StrCat("saturation-", step, "-"));
        driver.run(config.base_rps * step, std::chrono::seconds(1));
        const auto from = steady_now();
        driver.run(config.base_rps * step, saturation_step);
        const auto to = steady_now();
        driver.settle(settle_time);
        double good = 0;
        for (const auto& [id, it] : driver.results())
            good += it.is_good() && it.succeeded >= from && it.succeeded < to;
        const double rate = good / seconds(to - from);
        std::cerr << "    at " << step << "x: " << rate << " per second\n";
        best = std::max(best, rate);
    }
    return best;
}

struct mode_result {
    nlohmann::json report;
    goodput_series series;
    run_times times;
};

mode_result run_mode(const std::string& mode, const experiment_config& config,
                     const deployment& where) {
    io::reactor loop;
    const auto seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    const bool uses_tickets = mode == "full";
    std::cerr << "mode " << mode << ": added latency\n";
    const auto latency =
        measure_latency(loop, config, where, absl::GetFlag(FLAGS_pings));
    double saturation = 0;
    if (absl::GetFlag(FLAGS_saturation)) {
        std::cerr << "  saturation\n";
        saturation =
            find_saturation(loop, config, where, uses_tickets, seed + 1000);
    }
    load_driver driver(loop, config, where, uses_tickets, seed, "main-");
    const double base = config.base_rps * absl::GetFlag(FLAGS_base);
    const double surge = config.base_rps * absl::GetFlag(FLAGS_surge);
    const double slow = absl::GetFlag(FLAGS_slow);
    run_times times;
    driver.run(base, config.phases.warm);
    std::cerr << "  steady, " << base << " per second\n";
    times.steady = steady_now();
    driver.run(base, config.phases.steady);
    std::cerr << "  surge, " << surge << " per second\n";
    times.surge = steady_now();
    if (slow > 1)
        slow_down(loop, where, slow);
    driver.run(surge, config.phases.surge);
    if (slow > 1)
        slow_down(loop, where, 1);
    std::cerr << "  calm\n";
    times.calm = steady_now();
    driver.run(base, config.phases.calm);
    times.end = steady_now();
    driver.settle(settle_time);
    const auto records = read_records(loop, where);
    auto report =
        make_report(config, driver.results(), records, times, latency);
    if (saturation > 0) {
        report["goodput_at_saturation"] = saturation;
        report["surge_share_of_saturation"] =
            report["goodput_per_second"]["surge"].get<double>() / saturation;
    }
    return {report, make_series(mode, driver.results(), times), times};
}

int run() {
    const auto config = read_config(absl::GetFlag(FLAGS_config));
    const auto deployments = read_deployments(absl::GetFlag(FLAGS_endpoints));
    if (!config.ok() || !deployments.ok()) {
        std::cerr
            << "redwingwind-experiment: "
            << (config.ok() ? deployments.status() : config.status()).message()
            << "\n";
        return 2;
    }
    const auto wanted = absl::GetFlag(FLAGS_mode);
    nlohmann::json report;
    std::vector<goodput_series> all_series;
    run_times times;
    for (const std::string mode : {"none", "retries", "fixed", "full"}) {
        const auto it = deployments->find(mode);
        if ((wanted != "all" && wanted != mode) || it == deployments->end())
            continue;
        auto result = run_mode(mode, *config, it->second);
        report[mode] = result.report;
        all_series.push_back(result.series);
        times = result.times;
    }
    if (all_series.empty()) {
        std::cerr << "redwingwind-experiment: no deployment of mode " << wanted
                  << "\n";
        return 2;
    }
    const nlohmann::json json{{"name", config->name},
                              {"surge", absl::GetFlag(FLAGS_surge)},
                              {"slow", absl::GetFlag(FLAGS_slow)},
                              {"seed", absl::GetFlag(FLAGS_seed)},
                              {"modes", report}};
    const auto file = absl::GetFlag(FLAGS_json);
    if (file.empty())
        std::cout << json.dump(2) << "\n";
    else
        std::ofstream(file) << json.dump(2) << "\n";
    if (!absl::GetFlag(FLAGS_plot).empty())
        std::ofstream(absl::GetFlag(FLAGS_plot)) << plot(
            config->name, all_series, seconds(times.surge - times.steady),
            seconds(times.calm - times.steady));
    return EXIT_SUCCESS;
}

} // namespace
} // namespace redwingwind::experiment

int main(int argc, char** argv) {
    std::vector<std::string> rest;
    const auto status = redwingwind::read_settings(argc, argv, {}, rest);
    if (!status.ok()) {
        std::cerr << "redwingwind-experiment: " << status.message() << "\n";
        return 2;
    }
    return redwingwind::experiment::run();
}
