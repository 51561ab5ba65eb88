#include "call_history.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwingwind;
using namespace redwingwind::ctl;

namespace {

const std::string entry_log = "entry.log";
const std::string target_log = "target.log";

/// A line as a node writes it.
std::string line(const std::string& time, const std::string& event,
                 const nlohmann::json& more) {
    nlohmann::json json{{"time", "2026-12-04T10:00:" + time},
                        {"level", "INFO"},
                        {"channel", "call"},
                        {"event", event}};
    json.update(more);
    return json.dump();
}

nlohmann::json of_call(const std::string& node, const std::string& why,
                       const std::string& peer) {
    return {{"node", node}, {"request_id", "9c41d07b"},
            {"why", why},   {"service", "orders"},
            {"peer", peer}, {"version", 12}};
}

nlohmann::json beside_target(nlohmann::json call) {
    call.erase("version");
    call["beside"] = "target";
    call["running"] = 8;
    call["limit"] = 8;
    call["queued"] = 3;
    return call;
}

struct logs_of_two_nodes {
    call_history history{request_id{"9c41d07b"}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_history_of_a_call, logs_of_two_nodes)

BOOST_AUTO_TEST_CASE(leads_from_the_entry_to_the_target_that_was_full) {
    // The entry's log is read first, though its line is the last one.
    history.read_line(entry_log, line("01.000", "in_force", {{"version", 12}}));
    history.read_line(entry_log, line("03.510", "turned_away",
                                      of_call("n1", "overloaded", "n7")));
    history.read_line(target_log,
                      line("03.500", "turned_away",
                           beside_target(of_call("n7", "overloaded", "n1"))));
    const auto all = history.decisions();
    BOOST_REQUIRE(all.size() == 2U);
    BOOST_TEST(all[0].node == "n7");
    BOOST_TEST(all[0].running == 8U);
    BOOST_TEST(!all[0].version_age_ms.has_value());
    BOOST_TEST(all[1].node == "n1");
    BOOST_REQUIRE(all[1].version_age_ms.has_value());
    BOOST_TEST(*all[1].version_age_ms == 2510);
    BOOST_TEST(history.conclusion() ==
               "The caller was told that the call did not run: overloaded, "
               "refused beside n7.");
}

BOOST_AUTO_TEST_CASE(says_when_it_is_unknown_whether_the_call_ran) {
    history.read_line(target_log,
                      line("03.500", "not_answered",
                           beside_target(of_call("n7", "cut_off", "n1"))));
    history.read_line(entry_log,
                      line("03.510", "failed", of_call("n1", "cut_off", "n7")));
    BOOST_TEST(history.conclusion() ==
               "The caller was told that it is unknown whether the call ran: "
               "cut_off, last given to n7.");
}

BOOST_AUTO_TEST_CASE(says_when_it_was_refused_where_it_entered) {
    history.read_line(entry_log, line("03.510", "turned_away",
                                      of_call("n1", "no_policy", "")));
    BOOST_TEST(history.conclusion() ==
               "The caller was told that the call did not run: no_policy, "
               "refused where it entered.");
}

BOOST_AUTO_TEST_CASE(takes_the_age_from_the_same_log_and_version) {
    history.read_line(target_log,
                      line("01.000", "in_force", {{"version", 12}}));
    history.read_line(entry_log, line("01.000", "in_force", {{"version", 11}}));
    history.read_line(entry_log, line("03.510", "turned_away",
                                      of_call("n1", "not_found", "")));
    BOOST_TEST(!history.decisions()[0].version_age_ms.has_value());
}

BOOST_AUTO_TEST_CASE(keeps_out_what_is_of_others) {
    auto other = of_call("n1", "overloaded", "");
    other["request_id"] = "9c41d07b0";
    history.read_line(entry_log, line("03.510", "turned_away", other));
    BOOST_TEST(history.decisions().empty());
    BOOST_TEST(history.unreadable().empty());
    BOOST_TEST(history.conclusion() ==
               "No line tells of the call. Calls that are served have none.");
}

BOOST_AUTO_TEST_CASE(reads_lines_with_something_before_them) {
    history.read_line(entry_log,
                      "   3.51 n1: " + line("03.510", "turned_away",
                                            of_call("n1", "overloaded", "")));
    BOOST_TEST(history.decisions().size() == 1U);
}

BOOST_AUTO_TEST_CASE(names_lines_of_the_call_that_can_not_be_read) {
    history.read_line(entry_log, "all is well");
    history.read_line(entry_log, R"({"request_id":"9c41d07b","event":"tur)");
    history.read_line(entry_log, R"({"request_id":"9c41d07b"})");
    const std::vector<unreadable_line> wanted{
        {entry_log, 2, "no whole JSON object"},
        {entry_log, 3, "no field \"event\""}};
    BOOST_TEST((history.unreadable() == wanted));
}

BOOST_AUTO_TEST_CASE(takes_fields_of_another_type_as_not_there) {
    history.read_line(
        entry_log,
        R"({"event":"failed","request_id":"9c41d07b","version":"x","peer":7})");
    BOOST_REQUIRE(history.decisions().size() == 1U);
    BOOST_TEST(history.decisions()[0].version == 0U);
    BOOST_TEST(history.decisions()[0].peer.empty());
}

BOOST_AUTO_TEST_CASE(warns_of_lines_left_out_near_the_call) {
    history.read_line(entry_log, line("01.000", "lines_left_out",
                                      {{"node", "n1"}, {"count", 7}}));
    history.read_line(entry_log, line("03.510", "turned_away",
                                      of_call("n1", "overloaded", "")));
    history.read_line(target_log, line("04.000", "lines_left_out",
                                       {{"node", "n7"}, {"count", 90}}));
    history.read_line(target_log, line("30.000", "lines_left_out",
                                       {{"node", "n7"}, {"count", 5}}));
    BOOST_REQUIRE(history.left_out().size() == 1U);
    BOOST_TEST(history.left_out()[0].count == 90U);
}

BOOST_AUTO_TEST_CASE(is_told_as_json_with_the_same_fields) {
    history.read_line(entry_log, line("03.510", "turned_away",
                                      of_call("n1", "overloaded", "n7")));
    const auto json = history.to_json();
    BOOST_TEST(json["request_id"] == "9c41d07b");
    BOOST_REQUIRE(json["decisions"].size() == 1U);
    BOOST_TEST(json["decisions"][0]["why"] == "overloaded");
    BOOST_TEST(json["decisions"][0]["version"] == 12);
}

BOOST_AUTO_TEST_SUITE_END()
