#include "config_check.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/platform_adapter/policy_document.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

#include "failure.hpp"
#include "store_session.hpp"

namespace redwingwind::ctl {
namespace {

/// Value of --against that names the configuration in the store.
constexpr const char* store_word = "store";

absl::StatusOr<std::string> read_text(const std::string& name) {
    std::ifstream in(name);
    if (!in)
        return make_error(error_code::not_found, "can't read " + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

absl::StatusOr<std::optional<std::string>>
read_in_force(const ctl_settings& settings) {
    if (settings.against.empty())
        return std::optional<std::string>();
    if (settings.against == store_word) {
        store_session session(settings.store_url, settings.node_url);
        auto text = session.get_operator_configuration();
        if (!text.ok())
            return text.status();
        return std::optional<std::string>(*std::move(text));
    }
    auto text = read_text(settings.against);
    if (!text.ok())
        return text.status();
    return std::optional<std::string>(*std::move(text));
}

nlohmann::json json_of(const std::vector<relay::policy_finding>& findings) {
    auto all = nlohmann::json::array();
    for (const auto& it : findings)
        all.push_back({{"kind", std::string(to_string(it.kind))},
                       {"place", it.place},
                       {"field", it.field},
                       {"message", it.message}});
    return all;
}

void print(const std::vector<relay::policy_finding>& findings) {
    for (const auto& it : findings)
        std::cout << "  " << it.place << (it.field.empty() ? "" : ", ")
                  << it.field << ": " << it.message << "\n";
}

} // namespace

absl::StatusOr<config_report>
check_config(const std::string& proposed,
             const std::optional<std::string>& in_force) {
    const auto policy = platform_adapter::decode_policy(proposed);
    if (!policy.ok())
        return policy.status();
    config_report report;
    report.problems = relay::check_policy(*policy);
    if (!in_force)
        return report;
    const auto before = platform_adapter::decode_policy(*in_force);
    if (!before.ok())
        return make_error(
            error_code::bad_input,
            absl::StrCat("in force: ", before.status().message()));
    for (auto& it : relay::compare_policies(*before, *policy)) {
        auto& list = it.kind == relay::finding_kind::change ? report.changes
                                                            : report.problems;
        list.push_back(std::move(it));
    }
    return report;
}

exit_code config_command(const ctl_settings& settings,
                         const std::vector<std::string>& words) {
    if (words.size() != 3 || words[1] != "check")
        return bad_words("config check FILE");
    const auto proposed = read_text(words[2]);
    if (!proposed.ok())
        return fail(proposed.status());
    const auto in_force = read_in_force(settings);
    if (!in_force.ok())
        return fail(in_force.status());
    const auto report = check_config(*proposed, *in_force);
    if (!report.ok())
        return fail(report.status());
    const bool is_sound = report->problems.empty();
    if (settings.as_json) {
        std::cout << nlohmann::json{{"problems", json_of(report->problems)},
                                    {"changes", json_of(report->changes)}}
                         .dump(2)
                  << "\n";
        return is_sound ? exit_code::ok : exit_code::bad_input;
    }
    std::cout << (is_sound ? "No problems found.\n" : "Problems:\n");
    print(report->problems);
    if (in_force->has_value()) {
        std::cout << (report->changes.empty() ? "Nothing changes.\n"
                                              : "Changes:\n");
        print(report->changes);
    }
    return is_sound ? exit_code::ok : exit_code::bad_input;
}

} // namespace redwingwind::ctl
