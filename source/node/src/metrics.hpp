#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace redwingwind::node {

/// The numbers of a node's status in Prometheus' text format, each named
/// after its place in the status.
std::string to_metrics_text(const nlohmann::json& status);

} // namespace redwingwind::node
