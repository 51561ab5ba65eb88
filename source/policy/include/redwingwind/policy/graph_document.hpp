#pragma once

#include <redwingwind/overload/policy.hpp>
#include <redwingwind/policy/audit.hpp>
#include <redwingwind/policy/questionnaire.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace redwingwind::policy {

/// A call graph's configuration as stored: a single object, so that a change is
/// one conditional update.
struct graph_document {
    graph_name graph;
    std::uint64_t generation{};
    std::string change_id;
    /// The questionnaire as its author wrote it.
    std::string answers;
    overload::graph_policy policy;
    /// The newest entries; older ones are dropped to bound the object's size.
    std::vector<audit_entry> audit;
};

/// Author, reason and time of a change.
struct change_note {
    std::string change_id;
    std::string author;
    std::string why;
    /// Wall clock, microseconds since 1970.
    std::uint64_t time_us{};
};

/// Creates the generation that follows the current one, or the first one. The
/// policy is derived from the answers, and an audit entry is appended. Errors:
/// bad_input when the answers are invalid.
absl::StatusOr<graph_document>
next_document(const std::optional<graph_document>& current,
              const std::string& answers, const change_note& note);

/// Formats a document as text that parse_document() accepts.
std::string to_text(const graph_document& document);
/// Errors: bad_input.
absl::StatusOr<graph_document> parse_document(const std::string& text);

/// The settings that differ between two policies, one line each: "+" added,
/// "-" removed, "~" changed.
std::vector<std::string> difference(const overload::graph_policy& before,
                                    const overload::graph_policy& after);

} // namespace redwingwind::policy
