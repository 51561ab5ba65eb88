#include <redwingwind/policy/graph_document.hpp>

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/json_text.hpp>
#include <redwingwind/policy/policy_json.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <map>

namespace redwingwind::policy {
namespace {

/// Keeps a document well under the store's limit of 1 MB per object.
constexpr std::size_t max_audit_entries = 200;

/// Maps each setting of a policy to its value as text, for comparison.
std::map<std::string, std::string>
flatten(const overload::graph_policy& policy) {
    std::map<std::string, std::string> settings;
    auto json = to_json(policy);
    for (const auto& it : json.at("routes")) {
        const auto name =
            absl::StrCat("route ", it.at("service").get<std::string>(), " ",
                         it.at("path").get<std::string>());
        settings[name] = absl::StrCat(
            it.at("importance").get<std::string>(), ", ",
            it.at("idempotent").get<bool>() ? "may repeat" : "at most once",
            ", ", it.at("deadline_ms").get<std::int64_t>(), " ms");
    }
    for (const auto& it : json.at("owners"))
        settings["owner " + it.at("owner").get<std::string>()] =
            "weight " + it.at("weight").dump();
    json.erase("routes");
    json.erase("owners");
    for (const auto& [name, value] : json.items())
        settings[name] = value.dump();
    return settings;
}

} // namespace

std::vector<std::string> difference(const overload::graph_policy& before,
                                    const overload::graph_policy& after) {
    const auto a = flatten(before);
    const auto b = flatten(after);
    std::vector<std::string> lines;
    for (const auto& [name, value] : a) {
        const auto it = b.find(name);
        if (it == b.end())
            lines.push_back(absl::StrCat("- ", name, ": ", value));
        else if (it->second != value)
            lines.push_back(
                absl::StrCat("~ ", name, ": ", value, " -> ", it->second));
    }
    for (const auto& [name, value] : b)
        if (a.count(name) == 0)
            lines.push_back(absl::StrCat("+ ", name, ": ", value));
    return lines;
}

absl::StatusOr<graph_document>
next_document(const std::optional<graph_document>& current,
              const std::string& answers, const change_note& note) {
    const auto parsed = parse_questionnaire(answers);
    if (!parsed.ok())
        return parsed.status();
    graph_document next;
    next.graph = parsed->graph;
    next.change_id = note.change_id;
    next.answers = answers;
    next.policy = derive_policy(*parsed);
    std::string previous_hash;
    std::string what = "created";
    if (current) {
        next.generation = current->generation;
        next.audit = current->audit;
        previous_hash = next.audit.empty() ? "" : next.audit.back().hash;
        what = absl::StrJoin(difference(current->policy, next.policy), "; ");
    }
    ++next.generation;
    next.audit.push_back(seal({next.generation, note.change_id, note.author,
                               note.time_us, what, note.why, "", ""},
                              previous_hash));
    if (next.audit.size() > max_audit_entries)
        next.audit.erase(next.audit.begin());
    return next;
}

std::string to_text(const graph_document& document) {
    nlohmann::json audit = nlohmann::json::array();
    for (const auto& it : document.audit)
        audit.push_back(to_json(it));
    const nlohmann::json json{{"graph", document.graph.value},
                              {"generation", document.generation},
                              {"change_id", document.change_id},
                              {"answers", document.answers},
                              {"policy", to_json(document.policy)},
                              {"audit", audit}};
    return json.dump();
}

absl::StatusOr<graph_document> parse_document(const std::string& text) {
    try {
        const auto json = read_json(text);
        auto policy = policy_from_json(json.at("policy"));
        if (!policy.ok())
            return policy.status();
        graph_document document{{json.at("graph").get<std::string>()},
                                json.at("generation").get<std::uint64_t>(),
                                json.at("change_id").get<std::string>(),
                                json.at("answers").get<std::string>(),
                                *std::move(policy),
                                {}};
        for (const auto& it : json.at("audit"))
            document.audit.push_back(audit_from_json(it));
        return document;
    } catch (const nlohmann::json::exception& e) {
        return make_error(error_code::bad_input,
                          absl::StrCat("graph document: ", e.what()));
    }
}

} // namespace redwingwind::policy
