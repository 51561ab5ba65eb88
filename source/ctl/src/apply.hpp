#pragma once

#include <redwingwind/policy/graph_document.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "store_session.hpp"

namespace redwingwind::ctl {

/// What an apply would change, or did.
struct apply_result {
    policy::graph_document document;
    std::vector<std::string> difference;
    /// The write's answer was lost; the change was recognised in the store.
    bool was_read_back{};
    /// The answers were the same as those in force; nothing was written.
    bool is_unchanged{};
};

struct apply_options {
    bool is_dry_run{};
    /// Tries while the store gives no answer.
    int most_tries{5};
};

/// Makes the answers the graph's next generation by one conditional update.
/// A write whose answer is lost is looked for by its change id, so that it is
/// never made twice. Errors: bad_input, not_found when an owner or the graph
/// was not created, conflict when another change came first (the message
/// holds the difference), store_unavailable.
absl::StatusOr<apply_result> apply_answers(store_session& session,
                                           const std::string& answers,
                                           const policy::change_note& note,
                                           const apply_options& options);

} // namespace redwingwind::ctl
