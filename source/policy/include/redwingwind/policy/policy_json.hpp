#pragma once

#include <redwingwind/overload/policy.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace redwingwind::policy {

nlohmann::json to_json(const overload::graph_policy& policy);

/// Errors: bad_input, with the field's name.
absl::StatusOr<overload::graph_policy>
policy_from_json(const nlohmann::json& json);

} // namespace redwingwind::policy
