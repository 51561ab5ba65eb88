#pragma once

#include <redwingwind/engine/call.hpp>
#include <redwingwind/overload/policy.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace redwingwind::engine {

/// What the filters need besides the call itself.
struct pipeline_environment {
    time_point now;
    const overload::graph_policy* policy{};
    std::function<std::string()> make_request_id;
    /// True when the execution is running on this node.
    std::function<bool(const call_context&)> is_running_here;
    /// The highest known admission level of the call's service and its
    /// downstream services; a call of a lower rank is shed.
    std::function<overload::rank(const call_request&)> known_level;
};

/// The state of one call while the filters process it.
struct call_state {
    const raw_call& in;
    call_request request;
    const pipeline_environment& environment;
};

/// Fills in a part of the request, or ends the call by returning a response.
using filter = std::function<std::optional<call_response>(call_state&)>;

/// decode, identify, classify, set_deadline, set_budget and shed_early, in this
/// order: the steps that each call passes before it is routed.
const std::vector<filter>& incoming_filters();

/// Runs the filters in order. Empty when all let the call pass.
std::optional<call_response> run_filters(const std::vector<filter>& filters,
                                         call_state& state);

} // namespace redwingwind::engine
