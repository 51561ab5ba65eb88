#include "commands.hpp"

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/policy/graph_document.hpp>
#include <redwingwind/usage/bill.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "apply.hpp"
#include "config_check.hpp"
#include "explain.hpp"
#include "failure.hpp"
#include "store_session.hpp"

namespace redwingwind::ctl {
namespace {

using words_type = std::vector<std::string>;

absl::StatusOr<std::string> read_file(const std::string& name) {
    std::ifstream in(name);
    if (!in)
        return make_error(error_code::not_found, "can't read " + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string make_change_id() {
    const auto random = make_random(random_seed());
    return absl::StrCat(absl::Hex(random(), absl::kZeroPad16));
}

std::string time_text(std::uint64_t time_us) {
    const auto t = static_cast<std::time_t>(time_us / 1000000);
    std::tm parts{};
    gmtime_r(&t, &parts);
    return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02dZ",
                           parts.tm_year + 1900, parts.tm_mon + 1,
                           parts.tm_mday, parts.tm_hour, parts.tm_min,
                           parts.tm_sec);
}

// Owners and graphs ---------------------------------------------------------

exit_code create_object(const ctl_settings& settings, const std::string& kind,
                        const std::string& name) {
    if (!is_valid_name(name))
        return bad_words("a name has 1 to 64 letters, digits, '-', '_', '.' "
                         "or ':'");
    store_session session(settings.store_url, settings.node_url);
    const nlohmann::json value{{"name", name},
                               {"author", settings.author},
                               {"why", settings.why},
                               {"time_us", wall_microseconds()}};
    const auto written = session.put(kind + "/" + name, value.dump(), 0);
    if (code_of(written.status()) == error_code::conflict) {
        std::cout << name << " exists already\n";
        return exit_code::ok;
    }
    if (!written.ok())
        return fail(written.status());
    std::cout << name << " created\n";
    return exit_code::ok;
}

// Questionnaire ---------------------------------------------------------------

void print_explanations(const policy::questionnaire& answers) {
    for (const auto& it : policy::explain(answers))
        std::cout << absl::StreamFormat("  %-28s %-32s %s\n", it.setting,
                                        it.value, it.why);
}

exit_code check_questionnaire(const std::string& file) {
    const auto text = read_file(file);
    if (!text.ok())
        return fail(text.status());
    const auto answers = policy::parse_questionnaire(*text);
    if (!answers.ok()) {
        std::cerr << file << ": ";
        return fail(answers.status());
    }
    std::cout << "The answers are good. From them follows:\n";
    print_explanations(*answers);
    return exit_code::ok;
}

std::string ask(const std::string& question, const std::string& usual) {
    std::cerr << question << " [" << usual << "]: " << std::flush;
    std::string line;
    std::getline(std::cin, line);
    return line.empty() ? usual : line;
}

bool is_yes(const std::string& text) {
    return text == "y" || text == "yes";
}

/// Asks for each answer and checks all of them together at the end.
exit_code ask_questionnaire(const std::string& graph) {
    nlohmann::ordered_json json;
    json["graph"] = graph;
    json["weigh"] = ask("What matters more: goodput, recovery or both", "both");
    json["resends_by_callers"] = std::atoi(
        ask("How often do callers send a request again, at most", "3").c_str());
    do {
        const auto name = ask("Name of an owner", "owner-a");
        const auto weight = ask("Its weight", "1");
        json["owners"].push_back(
            {{"name", name}, {"weight", std::atof(weight.c_str())}});
    } while (is_yes(ask("Another owner? y or n", "n")));
    do {
        const auto name = ask("Name of a service", "front");
        auto calls = nlohmann::ordered_json::array();
        while (true) {
            const auto callee = ask("A service that it calls, or -", "-");
            if (callee == "-")
                break;
            calls.push_back(callee);
        }
        json["services"].push_back({{"name", name}, {"calls", calls}});
    } while (is_yes(ask("Another service? y or n", "n")));
    do {
        const auto service = ask("A kind of request: its service", "front");
        const auto path = ask("Its path", "/");
        const auto kind = ask("browse, lookup, order or payment", "browse");
        const auto once = ask("Must it never run twice? y or n", "n");
        const auto deadline = ask("Deadline in ms", "500");
        json["requests"].push_back(
            {{"service", service},
             {"path", path},
             {"importance", kind},
             {"must_not_repeat", is_yes(once)},
             {"deadline_ms", std::atoi(deadline.c_str())}});
    } while (is_yes(ask("Another kind of request? y or n", "n")));
    const auto text = json.dump(2) + "\n";
    std::cout << text;
    const auto answers = policy::parse_questionnaire(text);
    return answers.ok() ? exit_code::ok : fail(answers.status());
}

exit_code questionnaire(const ctl_settings& settings, const words_type& words) {
    if (words.size() == 3 && words[1] == "check")
        return check_questionnaire(words[2]);
    if (words.size() != 2 || !is_valid_name(words[1]))
        return bad_words("questionnaire GRAPH, or questionnaire check FILE");
    if (settings.should_ask)
        return ask_questionnaire(words[1]);
    std::cout << policy::questionnaire_template({words[1]});
    return exit_code::ok;
}

// Apply -----------------------------------------------------------------------

exit_code wait_until_in_force(store_session& session,
                              const ctl_settings& settings,
                              const policy::graph_document& document) {
    const auto start = steady_now();
    const auto limit = start + std::chrono::milliseconds(settings.wait_ms);
    const auto path = absl::StrCat("/census?graph=", document.graph.value,
                                   "&generation=", document.generation);
    while (true) {
        const auto census = session.ask_node("GET", path);
        if (!census.ok())
            return fail(census.status());
        const auto asked = census->at("asked").get<std::size_t>();
        const auto in_force = census->at("in_force").get<std::size_t>();
        const auto took = steady_now() - start;
        const bool is_done = in_force == asked;
        if (is_done || steady_now() >= limit) {
            std::cout << absl::StreamFormat(
                "generation %d is in force on %d of %d nodes after %.1f s\n",
                document.generation, in_force, asked, seconds(took));
            return is_done ? exit_code::ok : exit_code::failed;
        }
    }
}

exit_code apply(const ctl_settings& settings, const words_type& words) {
    if (words.size() != 2)
        return bad_words("apply FILE");
    const auto text = read_file(words[1]);
    if (!text.ok())
        return fail(text.status());
    store_session session(settings.store_url, settings.node_url);
    const policy::change_note note{make_change_id(), settings.author,
                                   settings.why, wall_microseconds()};
    const auto result =
        apply_answers(session, *text, note, {settings.is_dry_run, 5});
    if (!result.ok())
        return fail(result.status());
    for (const auto& line : result->difference)
        std::cout << "  " << line << "\n";
    if (result->is_unchanged) {
        std::cout << "nothing changes: generation "
                  << result->document.generation << " has these answers\n";
    } else if (settings.is_dry_run) {
        std::cout << "dry run: would become generation "
                  << result->document.generation << "\n";
        return exit_code::ok;
    } else {
        std::cout << "accepted as generation " << result->document.generation
                  << (result->was_read_back
                          ? " (the answer was lost; found in the store)"
                          : "")
                  << "\n";
    }
    if (!settings.should_wait)
        return exit_code::ok;
    return wait_until_in_force(session, settings, result->document);
}

absl::StatusOr<policy::graph_document> read_graph(store_session& session,
                                                  const std::string& graph) {
    const auto object = session.get("graphs/" + graph);
    if (!object.ok())
        return object.status();
    return policy::parse_document(object->value);
}

exit_code show(const ctl_settings& settings, const words_type& words) {
    if (words.size() != 2)
        return bad_words("show GRAPH");
    store_session session(settings.store_url, settings.node_url);
    const auto document = read_graph(session, words[1]);
    if (!document.ok())
        return fail(document.status());
    if (settings.as_json) {
        std::cout << policy::to_text(*document) << "\n";
        return exit_code::ok;
    }
    std::cout << "graph " << document->graph.value << ", generation "
              << document->generation << "\n";
    if (const auto answers = policy::parse_questionnaire(document->answers);
        answers.ok())
        print_explanations(*answers);
    return exit_code::ok;
}

// Audit -----------------------------------------------------------------------

exit_code audit(const ctl_settings& settings, const words_type& words) {
    const bool should_verify = words.size() == 3 && words[1] == "verify";
    if (words.size() != 2 && !should_verify)
        return bad_words("audit GRAPH, or audit verify GRAPH");
    store_session session(settings.store_url, settings.node_url);
    const auto document = read_graph(session, words.back());
    if (!document.ok())
        return fail(document.status());
    if (should_verify) {
        const auto status = policy::verify(document->audit);
        if (!status.ok()) {
            fail(status);
            return exit_code::not_verified;
        }
        std::cout << document->audit.size() << " entries fit their hashes\n";
        return exit_code::ok;
    }
    for (const auto& it : document->audit)
        std::cout << absl::StreamFormat(
            "%s  generation %d  %s  %s\n    what: %s\n    why:  %s\n",
            time_text(it.time_us), it.generation, it.author, it.change_id,
            it.what, it.why);
    return exit_code::ok;
}

// Nodes -----------------------------------------------------------------------

exit_code status(const ctl_settings& settings) {
    store_session session(settings.store_url, settings.node_url);
    const auto own = session.ask_node("GET", "/status");
    if (!own.ok())
        return fail(own.status());
    const auto members = session.ask_node("GET", "/members");
    if (!members.ok())
        return fail(members.status());
    if (settings.as_json) {
        std::cout << nlohmann::json{{"node", *own}, {"members", *members}}.dump(
                         2)
                  << "\n";
        return exit_code::ok;
    }
    const auto text = [](const nlohmann::json& json, const char* field) {
        return json.at(field).get<std::string>();
    };
    std::cout << absl::StreamFormat("%-22s %-10s %-12s %-12s %-10s %6s\n",
                                    "NODE", "STATE", "DOMAIN", "SERVICE",
                                    "TARGET", "SLOTS");
    for (const auto& it : *members)
        std::cout << absl::StreamFormat(
            "%-22s %-10s %-12s %-12s %-10s %6d\n", text(it, "node"),
            text(it, "state"), text(it, "domain"), text(it, "service"),
            text(it, "target"), it.at("slots").get<int>());
    std::cout << absl::StreamFormat(
        "\nThis node: limit %d, running %d, queued %d, admission level %d, "
        "in flight %d\n",
        own->at("limit").get<int>(), own->at("running").get<int>(),
        own->at("queued").get<int>(), own->at("level").get<int>(),
        own->at("in_flight").get<int>());
    for (const auto& it : own->at("configs"))
        std::cout << "graph " << text(it, "graph") << ": generation "
                  << it.at("generation") << " in force\n";
    return exit_code::ok;
}

exit_code drain(const ctl_settings& settings) {
    store_session session(settings.store_url, settings.node_url);
    const auto answer = session.ask_node("POST", "/drain");
    if (!answer.ok())
        return fail(answer.status());
    std::cout << "draining; running " << answer->at("running") << ", queued "
              << answer->at("queued") << "\n";
    return exit_code::ok;
}

// Usage -----------------------------------------------------------------------

/// All roll-ups, merged. Errors: conflict when a chain was altered.
absl::StatusOr<usage::roll_up> read_usage(store_session& session,
                                          bool should_verify) {
    const auto objects = session.list("usage/");
    if (!objects.ok())
        return objects.status();
    usage::roll_up all;
    for (const auto& it : objects->objects) {
        const auto document = usage::parse_usage(it.value);
        if (!document.ok())
            return document.status();
        if (should_verify)
            if (auto status = usage::verify(*document); !status.ok())
                return make_error(error_code::conflict,
                                  it.key + ": " +
                                      std::string(status.message()));
        all.merge(document->content);
    }
    return all;
}

void print_bill(const usage::roll_up& all) {
    std::cout << absl::StreamFormat("%-20s %10s %10s %12s %12s %12s %8s %12s\n",
                                    "OWNER", "CALLS", "REFUSED", "SLOT-S",
                                    "WASTED-S", "BYTES", "SHARE", "CONTROL-S");
    for (const auto& it : usage::make_bill(all))
        std::cout << absl::StreamFormat(
            "%-20s %10d %10d %12.3f %12.3f %12d %7.2f%% %12.3f\n",
            it.owner.value, it.calls, it.rejected, it.slot_time_us / 1e6,
            it.wasted_us / 1e6, it.bytes, it.share * 100, it.control_us / 1e6);
}

void print_differences(const std::vector<usage::side_difference>& all) {
    for (const auto& it : all)
        std::cout << absl::StreamFormat(
            "%s %s %s: callers' nodes counted %d calls and %.3f s, executing "
            "nodes %d and %.3f s\n",
            it.owner.value, it.service.value, std::string(to_string(it.kind)),
            it.caller_calls, it.caller_slot_time_us / 1e6, it.executor_calls,
            it.executor_slot_time_us / 1e6);
}

exit_code usage_command(const ctl_settings& settings, const words_type& words) {
    const bool should_verify = words.size() == 2 && words[1] == "verify";
    if (words.size() != 1 && !should_verify)
        return bad_words("usage, or usage verify");
    store_session session(settings.store_url, settings.node_url);
    const auto all = read_usage(session, should_verify);
    if (!all.ok()) {
        fail(all.status());
        return should_verify && code_of(all.status()) == error_code::conflict
                   ? exit_code::not_verified
                   : code_for(all.status());
    }
    print_bill(*all);
    if (!should_verify)
        return exit_code::ok;
    const auto differences = usage::compare_sides(*all);
    std::cout << "\nThe hash chains fit. The two sides "
              << (differences.empty() ? "agree.\n" : "differ:\n");
    print_differences(differences);
    return exit_code::ok;
}

} // namespace

std::string command_help() {
    return "redwingwindctl COMMAND\n"
           "  owner create NAME        a tenancy for an owner\n"
           "  graph create NAME        a protected call graph\n"
           "  questionnaire GRAPH      a template to fill in; --ask asks\n"
           "  questionnaire check FILE checks answers, explains the settings\n"
           "  apply FILE               --dry-run, --wait, --why=TEXT\n"
           "  show GRAPH               what is configured\n"
           "  status                   the nodes as --node sees them; --json\n"
           "  drain                    takes --node's target out of service\n"
           "  audit GRAPH              who changed what, when and why\n"
           "  audit verify GRAPH       checks the entries' hashes\n"
           "  usage                    the bill\n"
           "  usage verify             recomputes it, compares both sides\n"
           "  config check FILE        --against=FILE|store, --json\n"
           "  explain ID [LOG...]      a call's way, from the nodes' logs or "
           "standard input; --json\n"
           "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 not "
           "found, 5 not verified.\n";
}

exit_code run_command(const ctl_settings& settings, const words_type& words) {
    if (words.empty())
        return bad_words("which command?\n" + command_help());
    const auto& command = words[0];
    const bool is_create = words.size() == 3 && words[1] == "create";
    if (command == "owner" && is_create)
        return create_object(settings, "owners", words[2]);
    if (command == "graph" && is_create)
        return create_object(settings, "tenancies", words[2]);
    if (command == "questionnaire")
        return questionnaire(settings, words);
    if (command == "apply")
        return apply(settings, words);
    if (command == "show")
        return show(settings, words);
    if (command == "audit")
        return audit(settings, words);
    if (command == "status")
        return status(settings);
    if (command == "drain")
        return drain(settings);
    if (command == "usage")
        return usage_command(settings, words);
    if (command == "config")
        return config_command(settings, words);
    if (command == "explain")
        return explain(settings, words);
    return bad_words("no such command\n" + command_help());
}

} // namespace redwingwind::ctl
