#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/relay/call_router.hpp>
#include <redwingwind/relay/target_dispatcher.hpp>

#include "retry_record.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// Simulations of load: the call routers and target dispatchers of many
/// instances on a virtual clock, with simulated callers and targets. Membership
/// and the store are left out; all nodes know all targets.
namespace redwingwind::relay::test {

/// Nested calls of an execution, spread evenly over its own work.
struct nested_calls {
    std::string kind;
    int times{1};
};

/// A kind of call. One without a rate is only made as a nested call.
struct call_kind {
    std::string name;
    std::string service;
    double work_ms{};
    std::uint8_t priority{2};
    int target_latency_ms{1000};
    int deadline_ms{5000};
    /// The route's timeout.
    int timeout_ms{5000};
    /// Root calls per second, over all instances.
    double calls_per_s{};
    std::vector<nested_calls> nested{};
    bool is_idempotent{true};
    /// Value of a response within the target latency.
    double value{1};
};

struct simulated_service {
    std::string name;
    std::uint32_t slots{};
    /// One for each target; 2 halves the time that work takes.
    std::vector<double> speeds;
};

struct simulated_load {
    std::vector<simulated_service> services;
    std::vector<call_kind> kinds;
    duration length{std::chrono::seconds(20)};
    /// Root calls that begin earlier are not counted.
    duration measured_from{};
    /// Multiplies the rates of root calls at this time.
    std::function<double(duration)> factor{[](duration) { return 1.0; }};
    /// Share of calls that a service's targets shed at this time although they
    /// have free slots.
    std::function<double(const std::string& service, duration)> shed_share{
        [](const std::string&, duration) { return 0.0; }};
    /// Times that a caller retries after a rejection.
    int retries{1};
    std::uint64_t seed{1};
    call_router_options call_routers{};
    target_dispatcher_options target_dispatchers{};
};

/// Results of one kind of root calls; a call and its retries by the caller
/// count once.
struct call_counts {
    double offered{};
    /// Responses within the target latency, and later ones.
    double in_time{};
    double late{};
    double rejected{};
    double failed{};
    /// Of the rejected, those that the caller had retried.
    double rejected_after_retry{};
    double value{};

    double served() const { return in_time + late; }
};

struct simulation_result {
    std::map<std::string, call_counts> kinds;
    /// Milliseconds of work at targets: by executions that failed, and in all.
    double wasted_ms{};
    double worked_ms{};
    /// Shares of all root calls.
    double served{};
    double rejected{};
    double failed{};
    /// Share of the value of all root calls that got a response within their
    /// target latency.
    double value{};
    /// Requests and retried executions of each service.
    retry_record retries;

    std::string text() const;
};

/// Simulates the load; the result depends on the load and its seed only.
simulation_result simulate(const simulated_load& load);

} // namespace redwingwind::relay::test
