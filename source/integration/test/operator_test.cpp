#include "processes.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

const auto answers_text = R"({
  "graph": "test", "weigh": "both", "resends_by_callers": 3,
  "owners": [{ "name": "ayse", "weight": 1 }, { "name": "wanjiru", "weight": 2 }],
  "services": [{ "name": "front", "calls": ["back"] },
               { "name": "back", "calls": [] }],
  "requests": [
    { "service": "front", "path": "/work", "importance": "order",
      "must_not_repeat": true, "deadline_ms": DEADLINE },
    { "service": "back", "path": "/", "importance": "lookup",
      "must_not_repeat": false, "deadline_ms": 500 }]
})";

/// A store and four nodes that use it.
struct with_a_store {
    with_a_store()
        : folder(std::filesystem::temp_directory_path() /
                 ("redwingwind-test-" + std::to_string(wall_microseconds()))),
          platform("stand-in-platform", {}, true),
          store_url("http://127.0.0.1:" + std::to_string(platform.port())) {
        std::filesystem::create_directory(folder);
    }
    ~with_a_store() { std::filesystem::remove_all(folder); }
    with_a_store(const with_a_store&) = delete;
    with_a_store& operator=(const with_a_store&) = delete;

    void start_nodes(std::vector<std::string> flags = {}) {
        places = std::make_unique<deployment>(
            http, deployment_options{{"front", "back", "front", "back"},
                                     store_url,
                                     std::move(flags),
                                     {}});
    }

    std::string answers(int deadline_ms) {
        std::string text = answers_text;
        const std::string place = "DEADLINE";
        text.replace(text.find(place), place.size(),
                     std::to_string(deadline_ms));
        const auto file = folder / ("answers-" + std::to_string(deadline_ms));
        std::ofstream(file) << text;
        return file.string();
    }

    int ctl(std::vector<std::string> words) {
        words.push_back("--store=" + store_url);
        if (places)
            words.push_back("--node=" + places->at(0).local_url());
        return run_ctl(std::move(words));
    }

    void create_tenancies() {
        BOOST_TEST(ctl({"owner", "create", "ayse"}) == 0);
        BOOST_TEST(ctl({"owner", "create", "wanjiru"}) == 0);
        BOOST_TEST(ctl({"graph", "create", "test"}) == 0);
    }

    void control_store(const std::string& faults) {
        http.post(store_url + "/control", faults);
    }

    std::uint64_t generation_at(std::size_t n) {
        const auto json = places->status(n);
        if (!json.is_object())
            return 0;
        for (const auto& it : json.at("configs"))
            if (it["graph"] == "test")
                return it["generation"].get<std::uint64_t>();
        return 0;
    }

    bool wait_for_generation(std::uint64_t generation, duration limit) {
        return http.wait_until(
            [&] {
                for (std::size_t n = 0; n < places->size(); ++n)
                    if (places->at(n).node->is_running() &&
                        generation_at(n) != generation)
                        return false;
                return true;
            },
            limit);
    }

    int store_writes() {
        return http.get_json(store_url + "/counters")["writes"].get<int>();
    }

    http_caller http;
    std::filesystem::path folder;
    process platform;
    std::string store_url;
    std::unique_ptr<deployment> places;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_operator, with_a_store)

BOOST_AUTO_TEST_CASE(goes_from_questionnaire_to_bill) {
    start_nodes();
    BOOST_REQUIRE(places->wait_together(4, 4));
    BOOST_TEST(ctl({"apply", answers(900)}) == 4);
    create_tenancies();
    BOOST_TEST(ctl({"questionnaire", "check", answers(900)}) == 0);
    BOOST_TEST(ctl({"apply", answers(900), "--dry-run"}) == 0);
    BOOST_TEST(ctl({"show", "test"}) == 4);
    BOOST_TEST(ctl({"apply", answers(900), "--wait"}) == 0);
    BOOST_TEST(ctl({"apply", answers(5)}) == 2);
    BOOST_TEST(ctl({"show", "test"}) == 0);
    BOOST_TEST(ctl({"audit", "verify", "test"}) == 0);
    BOOST_TEST(ctl({"status"}) == 0);
    for (int n = 0; n < 12; ++n) {
        auto call =
            places->make_call(0, "/front/work", "r" + std::to_string(n));
        call.headers.push_back({"Rww-Owner", n % 3 == 0 ? "ayse" : "wanjiru"});
        BOOST_TEST(outcome_of(http.call(call)) == "done");
    }
    BOOST_TEST(http.wait_until(
        [&] {
            const auto all =
                http.get_json(store_url + "/objects/redwingwind-usage");
            std::set<std::string> owners;
            for (const auto& it : all["items"]) {
                const auto text = it["spec"]["text"].get<std::string>();
                for (const auto* owner : {"ayse", "wanjiru"})
                    if (text.find(owner) != std::string::npos)
                        owners.insert(owner);
            }
            return owners.size() == 2;
        },
        15s));
    BOOST_TEST(ctl({"usage", "verify"}) == 0);
    BOOST_TEST(ctl({"nonsense"}) == 2);
}

BOOST_AUTO_TEST_CASE(whose_writes_answer_is_lost_makes_the_change_once) {
    start_nodes();
    BOOST_REQUIRE(places->wait_together(4, 4));
    create_tenancies();
    control_store(R"({"lose_answers":true})");
    BOOST_TEST(ctl({"apply", answers(900)}) == 0);
    control_store(R"({"lose_answers":false})");
    BOOST_TEST(wait_for_generation(1, 5s));
}

BOOST_AUTO_TEST_CASE(racing_another_loses_cleanly) {
    create_tenancies();
    BOOST_TEST(ctl({"apply", answers(800)}) == 0);
    control_store(R"({"delay_ms":100})");
    const auto store = "--store=" + store_url;
    std::vector<std::unique_ptr<process>> both;
    for (const int deadline : {900, 950})
        both.push_back(std::make_unique<process>(
            "redwingwindctl",
            std::vector<std::string>{"apply", answers(deadline), store},
            false));
    std::vector<int> codes;
    for (const auto& it : both)
        codes.push_back(it->wait(20s));
    std::sort(codes.begin(), codes.end());
    BOOST_TEST(codes[0] == 0);
    BOOST_TEST(codes[1] == 3);
    BOOST_TEST(ctl({"audit", "verify", "test"}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_the_store, with_a_store)

BOOST_AUTO_TEST_CASE(is_down_at_the_start_nodes_meet_by_contacts_and_serve) {
    control_store(R"({"outage":true})");
    start_nodes();
    // Told as an operator would: one contact address for everybody.
    for (std::size_t n = 1; n < places->size(); ++n) {
        places->at(n).node->signal(SIGKILL);
        places->at(n).node->wait(2s);
    }
    const auto contact =
        "--contacts=127.0.0.1:" + std::to_string(places->at(0).peer);
    std::vector<std::unique_ptr<process>> others;
    for (std::size_t n = 1; n < places->size(); ++n) {
        const auto& place = places->at(n);
        others.push_back(std::make_unique<process>(
            "redwingwind-node",
            std::vector<std::string>{
                "--name=n" + std::to_string(n), contact,
                "--call_port=" + std::to_string(place.call),
                "--peer_port=" + std::to_string(place.peer),
                "--local_port=" + std::to_string(place.local),
                "--domain=" + place.domain, "--store=" + store_url,
                "--keys=1:000102030405060708090a0b0c0d0e0f",
                "--probe_interval_ms=200"},
            false));
    }
    BOOST_TEST(http.wait_until(
        [&] {
            const auto json = places->status(0);
            const auto count = [&](const char* path) {
                return json.value(nlohmann::json::json_pointer(path), 0);
            };
            return json.is_object() && count("/members/alive") == 4 &&
                   count("/services/front") == 2 &&
                   count("/services/back") == 2;
        },
        20s));
    BOOST_TEST(outcome_of(http.call(
                   places->make_call(0, "/front/work", "r1"))) == "done");
}

BOOST_AUTO_TEST_CASE(is_away_calls_go_on_and_a_replacement_gets_the_newest) {
    start_nodes();
    BOOST_REQUIRE(places->wait_together(4, 4));
    create_tenancies();
    BOOST_TEST(ctl({"apply", answers(800)}) == 0);
    BOOST_TEST(ctl({"apply", answers(900)}) == 0);
    BOOST_REQUIRE(wait_for_generation(2, 10s));
    control_store(R"({"outage":true})");
    places->at(3).node->signal(SIGKILL);
    BOOST_REQUIRE(places->wait_together(3, 3));
    // Started anew with the store away, and one peer's address only.
    process replacement(
        "redwingwind-node",
        {"--name=n3", "--call_port=" + std::to_string(places->at(3).call),
         "--peer_port=" + std::to_string(places->at(3).peer),
         "--local_port=" + std::to_string(places->at(3).local), "--domain=d0",
         "--graph=test", "--store=" + store_url,
         "--contacts=127.0.0.1:" + std::to_string(places->at(0).peer),
         "--keys=1:000102030405060708090a0b0c0d0e0f",
         "--probe_interval_ms=200"},
        false);
    BOOST_TEST(http.wait_until([&] { return generation_at(3) == 2; }, 15s));
    BOOST_TEST(outcome_of(http.call(
                   places->make_call(0, "/front/work", "r1"))) == "done");
    control_store(R"({"outage":false})");
    BOOST_TEST(ctl({"apply", answers(700)}) == 0);
    BOOST_TEST(http.wait_until([&] { return generation_at(0) == 3; }, 30s));
}

BOOST_AUTO_TEST_CASE(is_slow_changes_still_arrive) {
    start_nodes();
    BOOST_REQUIRE(places->wait_together(4, 4));
    create_tenancies();
    control_store(R"({"delay_ms":700})");
    BOOST_TEST(ctl({"apply", answers(800)}) == 0);
    BOOST_TEST(wait_for_generation(1, 15s));
}

BOOST_AUTO_TEST_CASE(has_a_paused_watcher_changes_still_arrive_and_stay) {
    start_nodes();
    BOOST_REQUIRE(places->wait_together(4, 4));
    create_tenancies();
    BOOST_TEST(ctl({"apply", answers(800)}) == 0);
    BOOST_REQUIRE(wait_for_generation(1, 10s));
    places->at(1).node->signal(SIGSTOP);
    BOOST_TEST(ctl({"apply", answers(900)}) == 0);
    BOOST_TEST(http.wait_until(
        [&] {
            return generation_at(0) == 2 && generation_at(2) == 2 &&
                   generation_at(3) == 2;
        },
        10s));
    places->at(1).node->signal(SIGCONT);
    BOOST_TEST(wait_for_generation(2, 20s));
}

BOOST_AUTO_TEST_SUITE_END()
