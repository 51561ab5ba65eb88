// What the decisions on the users' platform cost, and how that grows.

#include <redwingwind/overload/placement.hpp>
#include <redwingwind/overload/service_retry_budget.hpp>
#include <redwingwind/overload/target_gate.hpp>
#include <redwingwind/platform_adapter/policy_document.hpp>
#include <redwingwind/relay/owner_table.hpp>
#include <redwingwind/relay/route_table.hpp>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace redwingwind {
namespace {

time_point at(std::int64_t us) {
    return time_point(duration(us + 1000000));
}

std::string prefix_of(std::int64_t n) {
    return "/area" + std::to_string(n % 97) + "/kind" + std::to_string(n) + "/";
}

/// The operator's configuration with so many routes, as the store holds it.
std::string document_of(std::int64_t routes) {
    nlohmann::json rows = nlohmann::json::array();
    for (std::int64_t n = 0; n < routes; ++n)
        rows.push_back({"route-" + std::to_string(n), "shop.example",
                        prefix_of(n), "idempotent", 5,
                        "service-" + std::to_string(n % 300), 1, 1, 3});
    nlohmann::json services = nlohmann::json::array();
    for (int n = 0; n < 300; ++n)
        services.push_back({"service-" + std::to_string(n), 64});
    return nlohmann::json{
        {"version", "00000001"},
        {"routes",
         {{"columns",
           {"name", "authority", "path_prefix", "kind", "timeout_s", "service",
            "target_latency_s", "priority", "max_attempts"}},
          {"rows", rows}}},
        {"services",
         {{"columns", {"name", "max_connections"}}, {"rows", services}}},
        {"limits", nlohmann::json::object()}}
        .dump();
}

std::shared_ptr<const relay::traffic_policy> policy_of(std::int64_t routes) {
    return std::make_shared<const relay::traffic_policy>(
        *platform_adapter::decode_policy(document_of(routes)));
}

/// A configuration of so many routes is read, checked and in force. A node
/// reads it twice: to learn its version, and when it is the newest.
void configuration(benchmark::State& state) {
    const auto text = document_of(state.range(0));
    for (auto _ : state) {
        const auto seen = platform_adapter::decode_policy(text);
        benchmark::DoNotOptimize(seen->version);
        const relay::route_table table(
            std::make_shared<const relay::traffic_policy>(
                *platform_adapter::decode_policy(text)));
        benchmark::DoNotOptimize(table.policy().version);
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(configuration)
    ->Arg(10)
    ->Arg(400)
    ->Arg(4000)
    ->Unit(benchmark::kMillisecond);

void route_of_a_call(benchmark::State& state) {
    const relay::route_table table(policy_of(state.range(0)));
    std::int64_t n = 0;
    for (auto _ : state) {
        n = (n + 7) % state.range(0);
        const auto target = prefix_of(n) + "item/17?page=2";
        benchmark::DoNotOptimize(table.find("shop.example", target));
    }
}
BENCHMARK(route_of_a_call)->Arg(10)->Arg(400)->Arg(4000);

/// A call is placed at one of so many targets, and answered.
void placing(benchmark::State& state) {
    overload::placement targets({}, {"d0"});
    for (std::int64_t n = 0; n < state.range(0); ++n)
        targets.update({{"node-" + std::to_string(n)},
                        {"d" + std::to_string(n % 14)},
                        64});
    const auto random = make_random(1);
    std::int64_t now = 0;
    for (auto _ : state) {
        const auto node = targets.pick(at(++now), {}, random);
        targets.on_sent(*node, at(now));
        targets.on_load_report(*node, at(now), {30, 0, 64});
        targets.on_end(*node, at(now), overload::dispatch_result::answered);
    }
}
BENCHMARK(placing)->Arg(3)->Arg(37)->Arg(1000);

/// A call arrives at a full target behind so many that wait, and another one
/// ends.
void gate(benchmark::State& state) {
    constexpr std::uint32_t slots = 200;
    overload::gate_options options;
    options.slots = slots;
    overload::target_gate it(options);
    std::uint64_t next = 0;
    std::int64_t now = 0;
    const auto arrive = [&] {
        const bool is_nested = next % 4 == 0;
        return it.arrive(at(now),
                         {next++, static_cast<std::uint8_t>(next % 3),
                          is_nested, at(now + 100000000), at(now + 50000000)});
    };
    std::vector<std::uint64_t> running;
    const auto keep = [&](const overload::gate_actions& steps) {
        running.insert(running.end(), steps.start.begin(), steps.start.end());
    };
    const auto waiting = static_cast<std::size_t>(state.range(0));
    while (it.load().queued < waiting)
        keep(arrive());
    std::size_t ended = 0;
    for (auto _ : state) {
        now += 10;
        keep(arrive());
        keep(it.finish(at(now), running[ended++], duration(1000)));
    }
}
BENCHMARK(gate)->Arg(1)->Arg(100)->Arg(1000);

std::vector<relay::owner_rule> owners_of(std::int64_t count) {
    std::vector<relay::owner_rule> all(static_cast<std::size_t>(count));
    for (std::size_t n = 0; n < all.size(); ++n) {
        all[n].name.value = "owner-" + std::to_string(n);
        all[n].credentials = {sha256("credential-" + std::to_string(n))};
    }
    return all;
}

/// The owner of a credential is found.
void find_owner(benchmark::State& state) {
    const relay::owner_table table(owners_of(state.range(0)));
    const std::string credential = "credential-7";
    for (auto _ : state)
        benchmark::DoNotOptimize(table.find(credential));
}
BENCHMARK(find_owner)->Arg(80)->Arg(100000);

/// A version of the configuration that changes one credential is taken.
void replace_owners(benchmark::State& state) {
    const auto owners = owners_of(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(relay::owner_table(owners));
}
BENCHMARK(replace_owners)->Arg(80)->Arg(100000);

/// A call is counted, and a repeat asked for.
void repeat(benchmark::State& state) {
    overload::service_retry_budget budget({});
    std::int64_t now = 0;
    for (auto _ : state) {
        now += 100;
        budget.on_request(at(now), 0);
        benchmark::DoNotOptimize(budget.take(at(now), 100));
    }
}
BENCHMARK(repeat);

} // namespace
} // namespace redwingwind
