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

/// Names an execution to the target that runs it; the target copies it from
/// the call it got to the calls it makes.
struct call_context {
    std::uint64_t execution{};
    incarnation life;
    overload::importance importance{};
    owner_name owner;
    request_id root;

    auto operator<=>(const call_context&) const = default;
};

std::string to_text(const call_context& context);
/// Nothing when the text is no context.
std::optional<call_context> parse_context(const std::string& text);

/// A call as it came in, the headers as they were.
struct raw_call {
    std::string method;
    /// "/SERVICE/PATH", query included.
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
    /// Came in on the listener for this node's own target.
    bool is_from_local_target{};
};

/// A call that was understood.
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
    /// Retries that the call may use, in its whole tree below.
    std::uint32_t retry_budget{};
    /// The execution that makes this call; 0 for a call from outside.
    std::uint64_t parent{};

    overload::rank rank() const {
        return overload::rank_of(importance, root.value);
    }
};

/// What the caller is told.
struct call_response {
    outcome what{outcome::unknown};
    error_code why{error_code::none};
    int status{};
    std::string content_type;
    std::string body;
    /// Set with refusals for load: when to come again.
    std::uint32_t retry_after_s{};
};

using response_hook =
    std::function<void(const call_request&, const call_response&)>;

/// A rejection: status, outcome and text that fit the code.
call_response rejection(outcome what, error_code why,
                        const std::string& detail);

} // namespace redwingwind::engine
