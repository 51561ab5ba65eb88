#pragma once

#include <redwingwind/overload/policy.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::policy {

/// What a team cares for more when the two pull apart.
enum class emphasis : std::uint8_t { goodput, recovery, both };

struct service_answer {
    service_name name;
    std::vector<service_name> calls;

    auto operator<=>(const service_answer&) const = default;
};

struct request_answer {
    service_name service;
    std::string path;
    overload::importance kind{};
    bool must_not_repeat{};
    duration deadline{};

    auto operator<=>(const request_answer&) const = default;
};

/// A team's answers about one call graph.
struct questionnaire {
    graph_name graph;
    emphasis weigh{emphasis::both};
    std::uint32_t resends_by_callers{3};
    std::vector<overload::owner_weight> owners;
    std::vector<service_answer> services;
    std::vector<request_answer> requests;

    auto operator<=>(const questionnaire&) const = default;
};

/// Reads answers as JSON, comments allowed. Errors: bad_input; the message
/// names the line, the field and what is allowed.
absl::StatusOr<questionnaire> parse_questionnaire(const std::string& text);

/// The same answers as the text that parse_questionnaire reads.
std::string to_text(const questionnaire& answers);

/// A commented example to start from.
std::string questionnaire_template(const graph_name& graph);

/// The settings that follow from the answers. Depends on nothing else.
overload::graph_policy derive_policy(const questionnaire& answers);

/// One derived setting and why it has its value.
struct explanation {
    std::string setting;
    std::string value;
    std::string why;

    auto operator<=>(const explanation&) const = default;
};

std::vector<explanation> explain(const questionnaire& answers);

} // namespace redwingwind::policy
