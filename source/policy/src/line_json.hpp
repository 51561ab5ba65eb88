#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <unordered_map>

namespace redwingwind::policy {

/// A JSON document with the line number of each value.
struct line_json {
    nlohmann::json root;
    /// Line numbers, counted from 1, by JSON pointer.
    std::unordered_map<std::string, int> lines;

    /// The line of the value, or else of the nearest enclosing value.
    int line_of(std::string pointer) const;
};

/// Parses JSON with comments. Errors: bad_input, with the line.
absl::StatusOr<line_json> parse_with_lines(const std::string& text);

} // namespace redwingwind::policy
