#pragma once

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/overload/relative_service_time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace redwingwind::relay {

using exchange_id = std::uint64_t;

/// A call as received from a caller on this instance.
struct incoming_call {
    exchange_id exchange{};
    std::string host;
    request_id id;
    /// When its first byte was received; timeouts count from then. If not set,
    /// they count from call_router::on_call().
    time_point arrived{time_point::max()};
    /// How long the caller will wait, if it gave a time.
    std::optional<duration> time_left;
    /// Secret that names the call's owner; empty if the caller sent none.
    std::string credential;
    http_request request;
};

/// The final result of a call, for its caller.
struct call_result {
    coordination::outcome outcome{coordination::outcome::unknown};
    error_code error{};
    /// The target's response; only with done.
    http_response response;
    /// When the caller may retry; only with not_run.
    duration retry_after{};
};

/// A call to send to the local target.
struct target_call {
    std::uint64_t execution{};
    http_request request;
    request_id id;
    service_name caller;
    bool is_idempotent{};
    /// Empty for a call without an owner.
    owner_name owner;
    /// Time until the caller no longer waits.
    duration time_left{};
};

/// What happened to a call at the target.
enum class target_outcome : std::uint8_t {
    responded,
    /// The target executed the call and responded with a failure of its own.
    responded_failure,
    /// The target reports that it did not execute the call, or it was never
    /// reached.
    not_run,
    /// Another instance has the address now; it did not execute the call.
    other_instance,
    /// No complete response was received; the call may have been executed.
    unknown
};

/// The connection to the target on which a call's result arrived, for the log.
struct target_connection {
    /// From 1, in the order in which they were opened; 0 for none.
    std::uint64_t number{};
    /// It had served an earlier call.
    bool was_reused{};
    /// Responses to other calls that were read before the result.
    std::uint32_t skipped_responses{};

    auto operator<=>(const target_connection&) const = default;
};

struct target_result {
    target_outcome outcome{target_outcome::unknown};
    http_response response;
    /// Never reached: the connection was refused or not established.
    bool is_unreachable{};
    target_connection connection{};
    /// The load that the target added to its response, if it is readable.
    std::optional<overload::target_figures> figures{};
    /// The response had load figures that are not numbers.
    bool has_malformed_figures{};
};

/// How a call from a caller on this instance ended, for the metrics.
struct finished_call {
    service_name service;
    std::uint8_t priority{};
    coordination::outcome outcome{};
    error_code error{};
    /// From the arrival of the call to its result.
    duration latency{};
};

/// How a call to the local target ended, for the metrics.
struct finished_execution {
    coordination::outcome outcome{};
    error_code error{};
    /// Time until the call started or was rejected.
    duration queue_time{};
    /// Time at the target; 0 when it did not start.
    duration service_time{};
};

/// A decision about a call, for the log.
struct call_event {
    /// The event's value in the log, such as "turned_away".
    std::string_view name;
    request_id id;
    error_code error{};
    service_name service;
    node_name peer;
    std::uint64_t policy_version{};
    std::uint32_t attempt{};
    /// How often targets reported that they did not execute the call; only
    /// from the caller's node.
    std::uint32_t refusals{};
    bool is_nested{};
    std::int64_t time_left_ms{};
    /// The target's node decided; otherwise the caller's node.
    bool is_at_target{};
    /// Load of the target; only from the target's node.
    overload::load_report load;
    /// Only from the target's node, for a call that was sent to the target.
    target_connection connection{};
    /// Time at the target; only with the connection.
    duration service_time{};
    /// Highest offered load reported for a service on the call's route; only
    /// from the caller's node.
    double offered_load{};
};

} // namespace redwingwind::relay
