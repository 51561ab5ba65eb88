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

/// A call graph's configuration: one object in the store, changed by one
/// conditional update.
struct graph_document {
    graph_name graph;
    std::uint64_t generation{};
    std::string change_id;
    /// The questionnaire as its author wrote it.
    std::string answers;
    overload::graph_policy policy;
    /// The newest entries; older ones are cut off to keep the object small.
    std::vector<audit_entry> audit;
};

/// Who makes a change, and why.
struct change_note {
    std::string change_id;
    std::string author;
    std::string why;
    std::uint64_t time_us{};
};

/// The next generation after the current one, if there is any. Errors:
/// bad_input when the answers are.
absl::StatusOr<graph_document>
next_document(const std::optional<graph_document>& current,
              const std::string& answers, const change_note& note);

std::string to_text(const graph_document& document);
/// Errors: bad_input.
absl::StatusOr<graph_document> parse_document(const std::string& text);

/// What differs between two policies, one line each.
std::vector<std::string> difference(const overload::graph_policy& before,
                                    const overload::graph_policy& after);

} // namespace redwingwind::policy
