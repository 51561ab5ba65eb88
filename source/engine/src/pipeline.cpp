#include <redwingwind/engine/pipeline.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace redwingwind::engine {
namespace {

constexpr std::int64_t most_deadline_ms = 600000;
constexpr std::uint32_t most_attempt = 1000;
constexpr auto default_owner = "none";

call_response bad_input(const std::string& detail) {
    return rejection(outcome::not_run, error_code::bad_input, detail);
}

std::optional<call_response> decode(call_state& state) {
    const auto& target = state.in.request_target;
    const auto slash = target.find('/', 1);
    const auto end = std::min(slash, target.find('?', 1));
    const auto service =
        target.size() > 1 ? target.substr(1, end - 1) : std::string();
    if (!is_valid_name(service))
        return bad_input("the path is /SERVICE/PATH");
    auto& request = state.request;
    request.service = {service};
    request.path = slash == std::string::npos ? "/" : target.substr(slash);
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
        return bad_input("Rww-Request-Id is no name");
    request.root = request.id;
    request.owner = {state.in.owner.empty() ? default_owner : state.in.owner};
    if (!is_valid_name(request.owner.value))
        return bad_input("Rww-Owner is no name");
    if (state.in.context.empty())
        return std::nullopt;
    const auto context = parse_context(state.in.context);
    if (!context)
        return bad_input("Rww-Context was not given by a node");
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
    // A call made for another one keeps the importance of its root.
    if (!state.in.context.empty()) {
        if (rule == nullptr)
            request.is_idempotent = !overload::is_critical(request.importance);
        return std::nullopt;
    }
    if (rule != nullptr)
        request.importance = rule->kind;
    if (!state.in.importance.empty()) {
        const auto kind = overload::parse_importance(state.in.importance);
        if (!kind)
            return bad_input("Rww-Class is browse, lookup, order or payment");
        request.importance = *kind;
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
    auto left =
        rule != nullptr ? rule->deadline : environment.policy->default_deadline;
    if (!state.in.deadline_ms.empty()) {
        std::int64_t ms = 0;
        if (!absl::SimpleAtoi(state.in.deadline_ms, &ms) || ms < 1 ||
            ms > most_deadline_ms)
            return bad_input(
                absl::StrCat("Rww-Deadline-Ms is 1 to ", most_deadline_ms));
        left = std::chrono::milliseconds(ms);
    }
    request.deadline = environment.now + left;
    return std::nullopt;
}

std::optional<call_response> set_budget(call_state& state) {
    auto& request = state.request;
    const auto& policy = *state.environment.policy;
    if (!state.in.attempt.empty() &&
        (!absl::SimpleAtoi(state.in.attempt, &request.attempt) ||
         request.attempt > most_attempt))
        return bad_input("Rww-Attempt is 0 to 1000");
    if (request.attempt > policy.caller_resend_cap)
        return rejection(outcome::not_run, error_code::retry_cap,
                         "this request was sent again too often");
    // Only a first attempt from outside brings retries. A call within the
    // graph gets a part of its execution's when it is sent.
    const bool is_first = request.attempt == 0 && state.in.context.empty() &&
                          !state.in.is_from_local_target;
    request.retry_budget = is_first ? policy.retry_budget : 0;
    return std::nullopt;
}

std::optional<call_response> shed_early(call_state& state) {
    const auto& request = state.request;
    if (request.rank() >= state.environment.known_level(request))
        return std::nullopt;
    return rejection(outcome::not_run, error_code::overloaded,
                     "requests of this kind are shed for now");
}

} // namespace

const std::vector<filter>& incoming_filters() {
    static const std::vector<filter> filters{
        decode, identify, classify, set_deadline, set_budget, shed_early};
    return filters;
}

std::optional<call_response> run_filters(const std::vector<filter>& filters,
                                         call_state& state) {
    for (const auto& it : filters)
        if (auto reply = it(state))
            return reply;
    return std::nullopt;
}

} // namespace redwingwind::engine
