#pragma once

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/overload/importance.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace redwingwind::engine {

using coordination::outcome;

/// Identifies an execution. The target receives it with a call (Rww-Context)
/// and copies it into the nested calls that it makes.
struct call_context {
    std::uint64_t execution{};
    incarnation life;
    overload::importance importance{};
    owner_name owner;
    request_id root;

    auto operator<=>(const call_context&) const = default;
};

std::string to_text(const call_context& context);
/// Empty when the text is not a well-formed context.
std::optional<call_context> parse_context(const std::string& text);

/// A call as received over HTTP; the values of the headers are not parsed yet.
struct raw_call {
    std::string method;
    /// The HTTP request target: "/SERVICE/PATH", including the query.
    std::string request_target;
    std::string content_type;
    std::string body;
    std::string owner;
    std::string id;
    std::string deadline_ms;
    std::string importance;
    std::string attempt;
    std::string context;
    std::string ticket;
    /// Received on the listener that serves this node's local target.
    bool is_from_local_target{};
};

/// A parsed and validated call.
struct call_request {
    request_id id;
    request_id root;
    owner_name owner;
    service_name service;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string ticket;
    overload::importance importance{};
    bool is_idempotent{true};
    time_point deadline;
    std::uint32_t attempt{};
    /// Number of retries that this call and all nested calls below it may use
    /// together.
    std::uint32_t retry_budget{};
    /// The local execution that makes this call; 0 for a root call, and when
    /// that execution is not running on this node.
    std::uint64_t parent{};

    overload::rank rank() const {
        return overload::rank_of(importance, root.value);
    }
};

/// The result of a call, as the caller receives it: outcome (what), error code
/// (why) and the HTTP response.
struct call_response {
    outcome what{outcome::unknown};
    error_code why{error_code::none};
    int status{};
    std::string content_type;
    std::string body;
    /// Seconds after which the caller may retry; 0 unless the call was rejected
    /// because of load.
    std::uint32_t retry_after_s{};
};

using response_hook =
    std::function<void(const call_request&, const call_response&)>;

/// Builds the response to a call that did not succeed: HTTP status, body text
/// and Retry-After follow from the outcome and the error code.
call_response rejection(outcome what, error_code why,
                        const std::string& detail);

} // namespace redwingwind::engine
