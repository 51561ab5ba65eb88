#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <unordered_map>

namespace redwingwind::policy {

/// JSON together with the line on which each value stands.
struct line_json {
    nlohmann::json root;
    /// By JSON pointer.
    std::unordered_map<std::string, int> lines;

    /// The line of the value, or of the nearest value around it.
    int line_of(std::string pointer) const;
};

/// Errors: bad_input with the line.
absl::StatusOr<line_json> parse_with_lines(const std::string& text);

} // namespace redwingwind::policy
