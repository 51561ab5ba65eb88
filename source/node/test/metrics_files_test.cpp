#include "relay_metrics.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

using namespace redwingwind;
using namespace redwingwind::node;

namespace {

const std::string folder = RWW_METRICS_FOLDER;
const std::string alerts_file = folder + "/alerts.yml";
const std::string dashboard_file = folder + "/dashboard.json";

std::string text_of(const std::string& file) {
    std::ifstream in(file);
    BOOST_REQUIRE_MESSAGE(in.good(), "can't read " << file);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::set<std::string> matches(const std::string& text, const char* pattern) {
    const std::regex wanted(pattern);
    std::set<std::string> all;
    for (std::sregex_iterator it(text.begin(), text.end(), wanted), end;
         it != end; ++it)
        all.insert((*it)[1]);
    return all;
}

/// What a node serves that has seen calls of every outcome.
std::string served() {
    relay_metrics metrics;
    for (const auto& [what, why] :
         {std::pair{coordination::outcome::done, error_code::none},
          std::pair{coordination::outcome::done, error_code::target_failed},
          std::pair{coordination::outcome::not_run, error_code::overloaded},
          std::pair{coordination::outcome::unknown, error_code::cut_off}}) {
        metrics.on_call({{"orders"}, 0, what, why, duration(1000)});
        metrics.on_run({what, why, duration(10), duration(1000)});
    }
    relay_gauges now;
    now.services.push_back({{"orders"}, 3, 0.5, 10});
    return metrics.text(now);
}

void check_names(const std::string& file) {
    const auto names = matches(served(), R"(\n(redwingwind_[a-z_]+)[{ ])");
    const auto used = matches(text_of(file), R"((redwingwind_[a-z_]+))");
    BOOST_TEST(used.size() > 8U);
    for (const auto& it : used)
        BOOST_TEST(names.contains(it), file << " uses " << it);
}

void check_outcomes(const std::string& file) {
    const auto known = matches(served(), R"re(outcome="([a-z_]+)")re");
    const auto used =
        matches(text_of(file), R"re(outcome=\\?"([a-z_]+)\\?")re");
    BOOST_TEST(!used.empty());
    for (const auto& it : used)
        BOOST_TEST(known.contains(it), file << " asks for outcome " << it);
}

} // namespace

BOOST_AUTO_TEST_SUITE(files_for_the_metrics)

BOOST_AUTO_TEST_CASE(use_names_that_nodes_serve) {
    check_names(alerts_file);
    check_names(dashboard_file);
}

BOOST_AUTO_TEST_CASE(ask_for_outcomes_that_there_are) {
    check_outcomes(alerts_file);
    check_outcomes(dashboard_file);
}

BOOST_AUTO_TEST_CASE(have_a_query_in_each_panel) {
    const auto dashboard = nlohmann::json::parse(text_of(dashboard_file));
    std::set<int> ids;
    for (const auto& panel : dashboard.at("panels")) {
        ids.insert(panel.at("id").get<int>());
        BOOST_TEST(!panel.at("targets").empty());
        for (const auto& target : panel.at("targets"))
            BOOST_TEST(!target.at("expr").get<std::string>().empty());
    }
    BOOST_TEST(ids.size() == dashboard.at("panels").size());
}

BOOST_AUTO_TEST_SUITE_END()
