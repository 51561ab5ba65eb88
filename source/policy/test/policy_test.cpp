#define BOOST_TEST_MODULE policy
#include <redwingwind/policy/graph_document.hpp>
#include <redwingwind/policy/policy_json.hpp>

#include <redwingwind/common/error.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace redwingwind;
using namespace redwingwind::policy;

namespace {

std::string template_with(const std::string& from, const std::string& to) {
    auto text = questionnaire_template({"shop"});
    const auto n = text.find(from);
    BOOST_REQUIRE(n != std::string::npos);
    return text.replace(n, from.size(), to);
}

std::string error_of(const std::string& text) {
    const auto answers = parse_questionnaire(text);
    BOOST_REQUIRE(!answers.ok());
    BOOST_TEST(int(code_of(answers.status())) == int(error_code::bad_input));
    return std::string(answers.status().message());
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(questionnaires)

BOOST_AUTO_TEST_CASE(the_template_is_valid_and_survives_a_round_trip) {
    const auto answers = parse_questionnaire(questionnaire_template({"shop"}));
    BOOST_REQUIRE(answers.ok());
    const auto again = parse_questionnaire(to_text(*answers));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST((*again == *answers));
}

BOOST_AUTO_TEST_SUITE(
    an_invalid_answer_is_reported_with_its_line_and_the_allowed_values)

BOOST_AUTO_TEST_CASE(an_unknown_importance) {
    const auto error = error_of(template_with("\"browse\",", "\"urgent\","));
    BOOST_TEST(contains(error, "line 22"));
    BOOST_TEST(contains(error, "browse, lookup, order or payment"));
}

BOOST_AUTO_TEST_CASE(a_deadline_out_of_range) {
    const auto error = error_of(template_with("800", "5"));
    BOOST_TEST(contains(error, "line 21"));
    BOOST_TEST(contains(error, "10 to 60000"));
}

BOOST_AUTO_TEST_CASE(a_call_to_an_unknown_service) {
    BOOST_TEST(contains(error_of(template_with("[\"back\"]", "[\"bock\"]")),
                        "no service is named \"bock\""));
}

BOOST_AUTO_TEST_CASE(a_cycle_of_calls) {
    BOOST_TEST(
        contains(error_of(template_with("\"back\", \"calls\": []",
                                        "\"back\", \"calls\": [\"front\"]")),
                 "cycle"));
}

BOOST_AUTO_TEST_CASE(a_missing_answer) {
    BOOST_TEST(
        contains(error_of(template_with("\"weigh\": \"both\",", "")), "weigh"));
}

BOOST_AUTO_TEST_CASE(malformed_json) {
    BOOST_TEST(contains(error_of("{\n\n  \"graph\" 3 }"), "line 3"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(derived_policy)

BOOST_AUTO_TEST_CASE(depends_only_on_the_answers) {
    const auto answers = parse_questionnaire(questionnaire_template({"shop"}));
    BOOST_REQUIRE(answers.ok());
    auto recovery = *answers;
    recovery.weigh = emphasis::recovery;
    BOOST_TEST((derive_policy(*answers) == derive_policy(*answers)));
    BOOST_TEST(derive_policy(recovery).level_decay >
               derive_policy(*answers).level_decay);
}

BOOST_AUTO_TEST_CASE(requests_that_must_not_repeat_are_not_idempotent) {
    const auto answers = parse_questionnaire(questionnaire_template({"shop"}));
    const auto policy = derive_policy(*answers);
    const auto* rule = overload::find_rule(policy, {"front"}, "/orders/7");
    BOOST_REQUIRE(rule != nullptr);
    BOOST_TEST(!rule->idempotent);
    BOOST_TEST(overload::find_rule(policy, {"front"}, "/x")->idempotent);
}

BOOST_AUTO_TEST_CASE(survives_a_round_trip_through_json) {
    const auto policy =
        derive_policy(*parse_questionnaire(questionnaire_template({"shop"})));
    const auto again = policy_from_json(to_json(policy));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST((*again == policy));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(graph_documents)

namespace {

graph_document two_changes() {
    const change_note first{"c1", "ayse", "start", 1};
    const change_note second{"c2", "wanjiru", "holidays", 2};
    auto one = next_document({}, questionnaire_template({"shop"}), first);
    auto two = next_document(*one, template_with("800", "900"), second);
    return *two;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_change_adds_a_generation_and_an_audit_entry) {
    const auto document = two_changes();
    BOOST_TEST(document.generation == 2U);
    BOOST_REQUIRE(document.audit.size() == 2U);
    BOOST_TEST(contains(document.audit[1].what, "800 ms -> "));
    BOOST_TEST(document.audit[1].author == "wanjiru");
}

BOOST_AUTO_TEST_CASE(survive_a_round_trip_through_text) {
    const auto document = two_changes();
    const auto again = parse_document(to_text(document));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST((again->policy == document.policy));
    BOOST_TEST((again->audit == document.audit));
}

BOOST_AUTO_TEST_CASE(an_altered_audit_entry_is_detected) {
    auto document = two_changes();
    BOOST_TEST(verify(document.audit).ok());
    document.audit[0].author = "someone else";
    BOOST_TEST(!verify(document.audit).ok());
}

BOOST_AUTO_TEST_SUITE_END()
