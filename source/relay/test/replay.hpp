#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/relay/call_router.hpp>
#include <redwingwind/relay/target_dispatcher.hpp>

#include "repeat_record.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// Replays of load: real senders and runners of many machines on a virtual
/// clock, between callers and targets as the users describe them. Membership
/// and the store are not part of it; all nodes know all targets.
namespace redwingwind::relay::test {

/// Calls that a run makes, evenly over its own work.
struct calls_below {
    std::string kind;
    int times{1};
};

/// A kind of call. Those without a rate are only made by runs.
struct call_kind {
    std::string name;
    std::string service;
    double work_ms{};
    std::uint8_t priority{2};
    int aim_ms{1000};
    int deadline_ms{5000};
    /// The operator's bound.
    int timeout_ms{5000};
    /// Calls a second from outside, over all machines.
    double per_s{};
    std::vector<calls_below> calls{};
    bool is_idempotent{true};
    double worth{1};
};

struct service_place {
    std::string name;
    std::uint32_t slots{};
    /// One for each target; 2 ends work in half of the time.
    std::vector<double> speeds;
};

struct replay_load {
    std::vector<service_place> services;
    std::vector<call_kind> kinds;
    duration length{std::chrono::seconds(20)};
    /// Callers that begin before are not counted.
    duration counted_from{};
    /// What the rates are multiplied with at this time.
    std::function<double(duration)> factor{[](duration) { return 1.0; }};
    /// Share of calls that a service's targets turn away though they have
    /// room, at this time.
    std::function<double(const std::string& service, duration)> sheds{
        [](const std::string&, duration) { return 0.0; }};
    /// Times that a caller comes back after a refusal.
    int retries{1};
    std::uint64_t seed{1};
    call_router_options senders{};
    target_dispatcher_options runners{};
};

/// What became of a kind of calls, counted by first tries.
struct replay_count {
    double asked{};
    double in_aim{};
    double late{};
    double refused{};
    double failed{};
    /// Of the refused, those that came back before.
    double refused_again{};
    double worth{};

    double served() const { return in_aim + late; }
};

struct replay_result {
    std::map<std::string, replay_count> kinds;
    /// Milliseconds of work at targets for runs that failed, and in all.
    double wasted_ms{};
    double worked_ms{};
    /// Shares of all first tries.
    double served{};
    double refused{};
    double failed{};
    /// Share of all worth that was earned: an answer within the aim.
    double worth{};
    /// Repeats at the targets.
    repeat_record repeats;

    std::string text() const;
};

/// Plays the load from its seed; the same each time.
replay_result play(const replay_load& load);

} // namespace redwingwind::relay::test
