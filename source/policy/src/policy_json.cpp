#include <redwingwind/policy/policy_json.hpp>

#include <redwingwind/common/error.hpp>

#include <absl/strings/str_cat.h>

namespace redwingwind::policy {
namespace {

constexpr std::uint32_t max_retries = 16;

overload::route_rule rule_from_json(const nlohmann::json& json) {
    overload::route_rule rule;
    rule.service = {json.at("service").get<std::string>()};
    rule.path_prefix = json.at("path").get<std::string>();
    const auto kind =
        overload::parse_importance(json.at("importance").get<std::string>());
    if (!kind)
        throw nlohmann::json::other_error::create(501, "importance", &json);
    rule.kind = *kind;
    rule.idempotent = json.at("idempotent").get<bool>();
    rule.deadline =
        std::chrono::milliseconds(json.at("deadline_ms").get<std::int64_t>());
    return rule;
}

absl::Status check(const overload::graph_policy& policy) {
    if (policy.retry_budget > max_retries ||
        policy.caller_resend_cap > max_retries)
        return make_error(error_code::bad_input,
                          "retry_budget and caller_resend_cap: 0 to 16");
    if (policy.retry_ratio < 0 || policy.retry_ratio > 1)
        return make_error(error_code::bad_input, "retry_ratio: 0 to 1");
    if (policy.queue_per_slot < 0 || policy.queue_per_slot > 4)
        return make_error(error_code::bad_input, "queue_per_slot: 0 to 4");
    if (policy.level_decay < 1.1 || policy.level_decay > 8)
        return make_error(error_code::bad_input, "level_decay: 1.1 to 8");
    return absl::OkStatus();
}

} // namespace

nlohmann::json to_json(const overload::graph_policy& policy) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& it : policy.routes)
        routes.push_back({{"service", it.service.value},
                          {"path", it.path_prefix},
                          {"importance", to_string(it.kind)},
                          {"idempotent", it.idempotent},
                          {"deadline_ms", milliseconds(it.deadline)}});
    nlohmann::json owners = nlohmann::json::array();
    for (const auto& it : policy.owners)
        owners.push_back({{"owner", it.owner.value}, {"weight", it.weight}});
    return {{"retry_budget", policy.retry_budget},
            {"caller_resend_cap", policy.caller_resend_cap},
            {"retry_ratio", policy.retry_ratio},
            {"default_deadline_ms", milliseconds(policy.default_deadline)},
            {"queue_per_slot", policy.queue_per_slot},
            {"level_decay", policy.level_decay},
            {"routes", routes},
            {"owners", owners}};
}

absl::StatusOr<overload::graph_policy>
policy_from_json(const nlohmann::json& json) {
    overload::graph_policy policy;
    try {
        policy.retry_budget = json.at("retry_budget").get<std::uint32_t>();
        policy.caller_resend_cap =
            json.at("caller_resend_cap").get<std::uint32_t>();
        policy.retry_ratio = json.at("retry_ratio").get<double>();
        policy.default_deadline = std::chrono::milliseconds(
            json.at("default_deadline_ms").get<std::int64_t>());
        policy.queue_per_slot = json.at("queue_per_slot").get<double>();
        policy.level_decay = json.at("level_decay").get<double>();
        for (const auto& it : json.at("routes"))
            policy.routes.push_back(rule_from_json(it));
        for (const auto& it : json.at("owners"))
            policy.owners.push_back({{it.at("owner").get<std::string>()},
                                     it.at("weight").get<double>()});
    } catch (const nlohmann::json::exception& e) {
        return make_error(error_code::bad_input,
                          absl::StrCat("policy: ", e.what()));
    }
    if (auto status = check(policy); !status.ok())
        return status;
    return policy;
}

} // namespace redwingwind::policy
