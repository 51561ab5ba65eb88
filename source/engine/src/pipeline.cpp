#include <redwingwind/engine/pipeline.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace redwingwind::engine {
namespace {

constexpr std::int64_t max_deadline_ms = 600000;
constexpr std::uint32_t max_attempt = 1000;
constexpr auto default_owner = "none";

call_response bad_input(const std::string& detail) {
    return rejection(outcome::not_run, error_code::bad_input, detail);
}

std::optional<call_response> decode(call_state& state) {
    const auto& request_target = state.in.request_target;
    const auto slash = request_target.find('/', 1);
    const auto service_end = std::min(slash, request_target.find('?', 1));
    const auto service = request_target.size() > 1
                             ? request_target.substr(1, service_end - 1)
                             : std::string();
    if (!is_valid_name(service))
        return bad_input("the path must have the form /SERVICE/PATH");
    auto& request = state.request;
    request.service = {service};
    request.path =
        slash == std::string::npos ? "/" : request_target.substr(slash);
    request.method = state.in.method;
    request.content_type = state.in.content_type;
    request.body = state.in.body;
    request.ticket = state.in.ticket;
    return std::nullopt;
}

std::optional<call_response> identify(call_state& state) {
    auto& request = state.request;
    request.id = {state.in.id.empty() ? state.environment.make_request_id()
                                      : state.in.id};
    if (!is_valid_name(request.id.value))
        return bad_input("Rww-Request-Id is not a valid name");
    request.root = request.id;
    request.owner = {state.in.owner.empty() ? default_owner : state.in.owner};
    if (!is_valid_name(request.owner.value))
        return bad_input("Rww-Owner is not a valid name");
    if (state.in.context.empty())
        return std::nullopt;
    const auto context = parse_context(state.in.context);
    if (!context)
        return bad_input("Rww-Context is malformed: copy it unchanged from the "
                         "call being executed");
    request.root = context->root;
    request.owner = context->owner;
    request.importance = context->importance;
    if (state.environment.is_running_here(*context))
        request.parent = context->execution;
    return std::nullopt;
}

std::optional<call_response> classify(call_state& state) {
    auto& request = state.request;
    const auto* rule = overload::find_rule(*state.environment.policy,
                                           request.service, request.path);
    if (rule != nullptr)
        request.is_idempotent = rule->idempotent;
    // A nested call keeps the importance of its root call.
    if (!state.in.context.empty()) {
        if (rule == nullptr)
            request.is_idempotent = !overload::is_critical(request.importance);
        return std::nullopt;
    }
    if (rule != nullptr)
        request.importance = rule->kind;
    if (!state.in.importance.empty()) {
        const auto importance = overload::parse_importance(state.in.importance);
        if (!importance)
            return bad_input(
                "Rww-Class must be browse, lookup, order or payment");
        request.importance = *importance;
    }
    if (rule == nullptr)
        request.is_idempotent = !overload::is_critical(request.importance);
    return std::nullopt;
}

std::optional<call_response> set_deadline(call_state& state) {
    const auto& environment = state.environment;
    auto& request = state.request;
    const auto* rule =
        overload::find_rule(*environment.policy, request.service, request.path);
    auto time_left =
        rule != nullptr ? rule->deadline : environment.policy->default_deadline;
    if (!state.in.deadline_ms.empty()) {
        std::int64_t ms = 0;
        if (!absl::SimpleAtoi(state.in.deadline_ms, &ms) || ms < 1 ||
            ms > max_deadline_ms)
            return bad_input(
                absl::StrCat("Rww-Deadline-Ms must be an integer from 1 to ",
                             max_deadline_ms));
        time_left = std::chrono::milliseconds(ms);
    }
    request.deadline = environment.now + time_left;
    return std::nullopt;
}

std::optional<call_response> set_budget(call_state& state) {
    auto& request = state.request;
    const auto& policy = *state.environment.policy;
    if (!state.in.attempt.empty() &&
        (!absl::SimpleAtoi(state.in.attempt, &request.attempt) ||
         request.attempt > max_attempt))
        return bad_input("Rww-Attempt must be an integer from 0 to 1000");
    if (request.attempt > policy.caller_resend_cap)
        return rejection(outcome::not_run, error_code::retry_cap,
                         "the caller retried this request too often");
    // Only the first attempt of a root call gets a retry budget of its own. A
    // nested call is given a part of its parent execution's budget when it is
    // sent.
    const bool is_first_root_attempt = request.attempt == 0 &&
                                       state.in.context.empty() &&
                                       !state.in.is_from_local_target;
    request.retry_budget = is_first_root_attempt ? policy.retry_budget : 0;
    return std::nullopt;
}

std::optional<call_response> shed_early(call_state& state) {
    const auto& request = state.request;
    if (request.rank() >= state.environment.known_level(request))
        return std::nullopt;
    return rejection(outcome::not_run, error_code::overloaded,
                     "requests of this importance are currently shed");
}

} // namespace

const std::vector<filter>& incoming_filters() {
    static const std::vector<filter> filters{
        decode, identify, classify, set_deadline, set_budget, shed_early};
    return filters;
}

std::optional<call_response> run_filters(const std::vector<filter>& filters,
                                         call_state& state) {
    for (const auto& apply : filters)
        if (auto response = apply(state))
            return response;
    return std::nullopt;
}

} // namespace redwingwind::engine
