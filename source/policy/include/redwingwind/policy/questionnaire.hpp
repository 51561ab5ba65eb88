#pragma once

#include <redwingwind/overload/policy.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::policy {

/// Which goal takes precedence when goodput and fast recovery conflict.
enum class emphasis : std::uint8_t { goodput, recovery, both };

/// A service and the services that it calls.
struct service_answer {
    service_name name;
    std::vector<service_name> calls;

    auto operator<=>(const service_answer&) const = default;
};

/// A kind of request: those of a service whose path has this prefix.
struct request_answer {
    service_name service;
    std::string path;
    overload::importance kind{};
    /// Executing the request twice would do harm.
    bool must_not_repeat{};
    duration deadline{};

    auto operator<=>(const request_answer&) const = default;
};

/// A team's answers about one call graph.
struct questionnaire {
    graph_name graph;
    emphasis weigh{emphasis::both};
    /// Most retries that external callers make for a request.
    std::uint32_t resends_by_callers{3};
    std::vector<overload::owner_weight> owners;
    std::vector<service_answer> services;
    std::vector<request_answer> requests;

    auto operator<=>(const questionnaire&) const = default;
};

/// Parses answers from JSON with comments. Errors: bad_input; the message
/// gives the line, the field and the allowed values.
absl::StatusOr<questionnaire> parse_questionnaire(const std::string& text);

/// Formats answers as text that parse_questionnaire() accepts.
std::string to_text(const questionnaire& answers);

/// A commented example for users to edit; a valid questionnaire itself.
std::string questionnaire_template(const graph_name& graph);

/// Derives the policy's settings from the answers and from nothing else.
overload::graph_policy derive_policy(const questionnaire& answers);

/// One derived setting, its value and the reason for it.
struct explanation {
    std::string setting;
    std::string value;
    std::string why;

    auto operator<=>(const explanation&) const = default;
};

/// Explains the settings that derive_policy() chooses.
std::vector<explanation> explain(const questionnaire& answers);

} // namespace redwingwind::policy
