#include "apply.hpp"

#include <redwingwind/common/error.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace redwingwind::ctl {
namespace {

using policy::graph_document;

struct current_state {
    std::optional<graph_document> document;
    std::uint64_t version{};
};

absl::StatusOr<current_state> read_current(store_session& session,
                                           const graph_name& graph) {
    const auto object = session.get("graphs/" + graph.value);
    if (code_of(object.status()) == error_code::not_found)
        return current_state{};
    if (!object.ok())
        return object.status();
    auto document = policy::parse_document(object->value);
    if (!document.ok())
        return document.status();
    return current_state{*std::move(document), object->version};
}

absl::Status check_tenancy(store_session& session,
                           const policy::questionnaire& answers) {
    const auto tenancy = session.get("tenancies/" + answers.graph.value);
    if (code_of(tenancy.status()) == error_code::not_found)
        return make_error(error_code::not_found,
                          absl::StrCat("no graph ", answers.graph.value,
                                       "; first: redwingwindctl graph create ",
                                       answers.graph.value));
    if (!tenancy.ok())
        return tenancy.status();
    for (const auto& it : answers.owners) {
        const auto owner = session.get("owners/" + it.owner.value);
        if (code_of(owner.status()) == error_code::not_found)
            return make_error(
                error_code::not_found,
                absl::StrCat("no owner ", it.owner.value,
                             "; first: redwingwindctl owner create ",
                             it.owner.value));
        if (!owner.ok())
            return owner.status();
    }
    return absl::OkStatus();
}

bool contains_change(const current_state& state, const std::string& id) {
    if (!state.document)
        return false;
    const auto& audit = state.document->audit;
    return std::any_of(audit.begin(), audit.end(),
                       [&](const auto& it) { return it.change_id == id; });
}

absl::Status conflict(const current_state& state, const graph_document& mine) {
    if (!state.document)
        return make_error(error_code::conflict, "the graph was removed");
    const auto& theirs = *state.document;
    const auto& last = theirs.audit.back();
    const auto lines = policy::difference(theirs.policy, mine.policy);
    return make_error(error_code::conflict,
                      absl::StrCat("generation ", theirs.generation, " by ",
                                   last.author, " came first (", last.why,
                                   ").\nYours against theirs:\n  ",
                                   absl::StrJoin(lines, "\n  ")));
}

} // namespace

absl::StatusOr<apply_result> apply_answers(store_session& session,
                                           const std::string& answers,
                                           const policy::change_note& note,
                                           const apply_options& options) {
    const auto parsed = policy::parse_questionnaire(answers);
    if (!parsed.ok())
        return parsed.status();
    if (auto status = check_tenancy(session, *parsed); !status.ok())
        return status;
    const auto current = read_current(session, parsed->graph);
    if (!current.ok())
        return current.status();
    auto next = policy::next_document(current->document, answers, note);
    if (!next.ok())
        return next.status();
    apply_result result;
    const auto before = current->document ? current->document->policy
                                          : overload::graph_policy{};
    result.difference = policy::difference(before, next->policy);
    result.is_unchanged =
        current->document && current->document->answers == answers;
    result.document =
        result.is_unchanged ? *current->document : *std::move(next);
    if (options.is_dry_run || result.is_unchanged)
        return result;
    const auto key = "graphs/" + parsed->graph.value;
    const auto text = policy::to_text(result.document);
    absl::Status last;
    for (int n = 0; n < options.most_tries; ++n) {
        const auto written = session.put(key, text, current->version);
        if (written.ok())
            return result;
        last = written.status();
        const auto code = code_of(last);
        if (code != error_code::conflict &&
            code != error_code::store_unavailable)
            return last;
        const auto now = read_current(session, parsed->graph);
        if (!now.ok()) {
            last = now.status();
            continue;
        }
        if (contains_change(*now, note.change_id)) {
            result.was_read_back = true;
            return result;
        }
        if (now->version != current->version)
            return conflict(*now, result.document);
    }
    return last;
}

} // namespace redwingwind::ctl
