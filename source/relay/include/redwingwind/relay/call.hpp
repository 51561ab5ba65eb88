#pragma once

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace redwingwind::relay {

using exchange_id = std::uint64_t;

/// A call as it came from a caller on this machine.
struct incoming_call {
    exchange_id exchange{};
    std::string host;
    request_id id;
    /// When its first byte came; its time counts from then. Not known: from
    /// when it is handed over.
    time_point arrived{time_point::max()};
    /// How long the caller will wait; nothing when it did not say.
    std::optional<duration> time_left;
    http_request request;
};

/// What a caller is answered.
struct call_result {
    coordination::outcome outcome{coordination::outcome::unknown};
    error_code error{};
    /// The target's answer, with done.
    http_response response;
    /// With not_run: when the caller may come back.
    duration retry_after{};
};

/// A call on its way to the target beside this node.
struct target_call {
    std::uint64_t execution{};
    http_request request;
    request_id id;
    service_name caller;
    bool is_idempotent{};
    /// Until nobody waits for the answer any more.
    duration time_left{};
};

/// How the target dealt with a call.
enum class target_outcome : std::uint8_t {
    responded,
    /// Its answer is a failure of its own; it ran.
    responded_failure,
    /// It says that it did not run the call, or was never reached.
    not_run,
    /// Another instance has the address, and did not run the call.
    other_instance,
    /// No whole answer came; it may have run.
    unknown
};

struct target_result {
    target_outcome outcome{target_outcome::unknown};
    http_response response;
    /// Never reached: the connection was refused or did not come about.
    bool is_unreachable{};
};

/// How a call of a caller on this machine ended, for the metrics.
struct finished_call {
    service_name service;
    std::uint8_t priority{};
    coordination::outcome outcome{};
    error_code error{};
    duration latency{};
};

/// How a call that came to the target beside this node ended.
struct finished_execution {
    coordination::outcome outcome{};
    error_code error{};
    /// Before it started, or was turned away.
    duration queue_time{};
    /// At the target.
    duration service_time{};
};

/// A decision that touches a call, for the log.
struct call_event {
    std::string_view name;
    request_id id;
    error_code error{};
    service_name service;
    node_name peer;
    std::uint64_t policy_version{};
    std::uint32_t attempt{};
    bool is_nested{};
    std::int64_t time_left_ms{};
    /// Decided beside the target, not where the call entered.
    bool is_at_target{};
    /// Of that target; only beside it.
    overload::load_report load;
    /// Of the services below the called one, as last told; only where the
    /// call entered.
    double offered_load{};
};

} // namespace redwingwind::relay
