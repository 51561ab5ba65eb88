#pragma once

#include <redwingwind/engine/call.hpp>
#include <redwingwind/overload/policy.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace redwingwind::engine {

/// What the filters read besides the call itself.
struct pipeline_environment {
    time_point now;
    const overload::graph_policy* policy{};
    std::function<std::string()> make_request_id;
    /// Whether this execution runs here now.
    std::function<bool(const call_context&)> is_running_here;
    /// The highest admission level known on the way of such a call.
    std::function<overload::rank(const call_request&)> known_level;
};

/// A call on its way through the filters.
struct call_state {
    const raw_call& in;
    call_request request;
    const pipeline_environment& environment;
};

/// Completes the request, or ends the call with a reply.
using filter = std::function<std::optional<call_response>(call_state&)>;

/// decode, identify, classify, set_deadline, set_budget, shed_early: what
/// every call passes before it is routed and exchanged.
const std::vector<filter>& incoming_filters();

/// Runs the filters. Nothing when the call may go on.
std::optional<call_response> run_filters(const std::vector<filter>& filters,
                                         call_state& state);

} // namespace redwingwind::engine
