#include "processes.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

/// Four nodes that reach each other only through fault proxies.
struct nodes_behind_proxies {
    nodes_behind_proxies() {
        deployment_options options;
        options.services = {"front", "back", "front", "back"};
        options.advertised = ports.all();
        places = std::make_unique<deployment>(http, options);
        for (std::size_t n = 0; n < ports.size(); ++n)
            proxies.push_back(std::make_unique<process>(
                "fault-proxy",
                std::vector<std::string>{"--port=" + std::to_string(ports[n]),
                                         "--to=127.0.0.1:" +
                                             std::to_string(places->at(n).peer),
                                         "--seed=" + std::to_string(7 + n)},
                true));
        BOOST_REQUIRE(places->wait_together(4, 4));
    }

    void harm(std::size_t n, const std::string& faults) {
        http.post("http://127.0.0.1:" + std::to_string(proxies[n]->port()) +
                      "/control",
                  faults);
    }

    void harm_all(const std::string& faults) {
        for (std::size_t n = 0; n < proxies.size(); ++n)
            harm(n, faults);
    }

    io::http_result send(std::size_t n, const std::string& path,
                         const std::string& id,
                         const std::string& ticket = {}) {
        return http.call(places->make_call(n, path, id, ticket));
    }

    http_caller http;
    port_block ports{4};
    std::unique_ptr<deployment> places;
    std::vector<std::unique_ptr<process>> proxies;
};

/// A whole answer belongs to the request it was asked for.
void check_answer(const io::http_result& result, const std::string& id) {
    if (outcome_of(result) != "done" || result.response.status != 200)
        return;
    const auto json =
        nlohmann::json::parse(result.response.body, nullptr, false);
    BOOST_REQUIRE(json.is_object());
    BOOST_TEST(json["root"].get<std::string>() == id);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(with_a_bad_network, nodes_behind_proxies)

BOOST_AUTO_TEST_CASE(no_caller_gets_anothers_answer_or_part_of_one) {
    harm_all(R"({"delay_ms":2,"loss":0.1,"duplicate":0.02,"reorder":0.1})");
    int done = 0;
    for (int n = 0; n < 120; ++n) {
        const auto id = "r" + std::to_string(n);
        const auto answer =
            send(static_cast<std::size_t>(n) % 4, "/front/work", id);
        check_answer(answer, id);
        done += outcome_of(answer) == "done" ? 1 : 0;
        if (n % 30 == 29)
            harm_all(R"({"cut":true})");
    }
    BOOST_TEST(done > 0);
    harm_all(R"({"delay_ms":0,"loss":0,"duplicate":0,"reorder":0})");
    BOOST_TEST(places->wait_together(4, 4));
    BOOST_TEST(outcome_of(send(0, "/front/work", "last")) == "done");
}

BOOST_AUTO_TEST_CASE(orders_run_at_most_once_whatever_is_cut) {
    std::vector<std::string> told_not_run;
    for (int n = 0; n < 40; ++n) {
        const auto id = "o" + std::to_string(n);
        const auto ticket = places->ticket(static_cast<std::size_t>(n) % 4);
        const auto is_done = std::make_shared<bool>(false);
        const auto first = http.start(
            places->make_call(1, "/front/work", id, ticket), is_done);
        http.sleep(std::chrono::milliseconds(n % 12));
        harm_all(R"({"cut":true})");
        BOOST_REQUIRE(http.wait_until([&] { return *is_done; }, 10s));
        const auto second = send(3, "/front/work", id, ticket);
        check_answer(*first, id);
        check_answer(second, id);
        BOOST_TEST(places->executions(id, "front") <= 1);
        BOOST_TEST(places->executions(id, "back") <= 1);
        if (outcome_of(*first) == "not-run" && outcome_of(second) == "not-run")
            BOOST_TEST(places->executions(id, "front") == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_node_cut_off_comes_back_by_itself) {
    harm(2, R"({"black_hole":true})");
    // Its own probes still go out, so it hears that it counts as dead, and
    // says that it is not; the others can't reach it.
    BOOST_TEST(http.wait_until(
        [&] {
            const auto json = places->status(1);
            return json["members"]["gone"] == 1 ||
                   json["members"]["suspect"] == 1;
        },
        15s));
    BOOST_TEST(outcome_of(send(0, "/front/work", "r1")) == "done");
    harm(2, R"({"black_hole":false})");
    BOOST_TEST(places->wait_together(4, 4, 30s));
}

BOOST_AUTO_TEST_CASE(a_partition_heals_by_itself) {
    // The proxies stand before the nodes: nobody hears anybody.
    harm_all(R"({"black_hole":true})");
    BOOST_TEST(http.wait_until(
        [&] { return places->status(0)["members"]["gone"] == 3; }, 20s));
    harm_all(R"({"black_hole":false})");
    BOOST_TEST(places->wait_together(4, 4, 60s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_failing_instances)

BOOST_AUTO_TEST_CASE(many_killed_at_once_leave_the_others_working) {
    http_caller http;
    deployment places(
        http,
        {{"front", "back", "front", "back", "front", "back"}, "", {}, {}});
    BOOST_REQUIRE(places.wait_together(6, 6));
    for (const std::size_t n : {2U, 3U, 4U}) {
        places.at(n).node->signal(SIGKILL);
        places.at(n).target_process->signal(SIGKILL);
    }
    BOOST_TEST(places.wait_together(3, 3));
    const auto answer = http.call(places.make_call(0, "/front/work", "r1"));
    BOOST_TEST(outcome_of(answer) == "done");
    for (const std::size_t n : {2U, 3U, 4U}) {
        places.start_node(n);
        places.start_target(n);
    }
    BOOST_TEST(places.wait_together(6, 6));
}

BOOST_AUTO_TEST_CASE(a_load_endpoint_that_lies_does_not_misdirect_calls) {
    http_caller http;
    deployment places(http, {{"front", "back", "front", "back"}, "", {}, {}});
    BOOST_REQUIRE(places.wait_together(4, 4));
    http.post(places.at(0).target_url() + "/control",
              R"({"load":{"running":100000,"queued":100000}})");
    http.post(places.at(2).target_url() + "/control",
              R"({"load":{"running":0,"queued":0}})");
    for (int n = 0; n < 40; ++n) {
        const auto id = "r" + std::to_string(n);
        BOOST_TEST(outcome_of(http.call(
                       places.make_call(1, "/front/alone", id))) == "done");
    }
    BOOST_TEST(places.status(0)["executions"]["started"].get<int>() +
                   places.status(2)["executions"]["started"].get<int>() ==
               40);
}

BOOST_AUTO_TEST_CASE(a_target_that_vanishes_is_told_as_not_run) {
    http_caller http;
    deployment places(http, {{"front"}, "", {}, {}});
    BOOST_REQUIRE(places.wait_together(1, 1));
    places.at(0).target_process->signal(SIGKILL);
    places.at(0).target_process->wait(2s);
    const auto answer = http.call(places.make_call(0, "/front/alone", "r1"));
    BOOST_TEST(outcome_of(answer) == "not-run");
    BOOST_TEST(answer.response.status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings_of_a_node)

namespace {

int exit_code_of(std::vector<std::string> flags) {
    process node("redwingwind-node", std::move(flags), false);
    return node.wait(10s);
}

const auto good_keys = "--keys=1:000102030405060708090a0b0c0d0e0f";

} // namespace

BOOST_AUTO_TEST_CASE(are_checked_before_it_starts) {
    BOOST_TEST(exit_code_of({good_keys, "--check-settings"}) == 0);
    BOOST_TEST(exit_code_of({"--check-settings"}) == 2);
    BOOST_TEST(exit_code_of({good_keys, "--check-settings",
                             "--max-frame-bytes=65536"}) == 2);
    BOOST_TEST(exit_code_of(
                   {good_keys, "--check-settings", "--peer-port=70000"}) == 2);
    BOOST_TEST(
        exit_code_of({good_keys, "--check-settings", "--control=maybe"}) == 2);
    BOOST_TEST(exit_code_of({good_keys, "--check-settings", "--domain=a b"}) ==
               2);
}

BOOST_AUTO_TEST_CASE(are_not_needed_to_tell_the_version) {
    for (const auto* program : {"redwingwind-node", "redwingwindctl"}) {
        const auto output = temporary_file(program);
        process it(program, {"--version"}, false, output);
        BOOST_TEST(it.wait(10s) == 0);
        BOOST_TEST(take_text(output) == "redwingwind " RWW_VERSION "\n");
    }
}

BOOST_AUTO_TEST_CASE(are_good_in_the_example_that_the_package_brings) {
    BOOST_TEST(
        exit_code_of({"--flagfile=" RWW_PACKAGE_FOLDER "/node.flags.example",
                      "--check-settings"}) == 0);
}

BOOST_AUTO_TEST_CASE(include_the_key_without_which_no_peer_is_accepted) {
    http_caller http;
    deployment places(http, {{"front", "back"}, "", {}, {}});
    BOOST_REQUIRE(places.wait_together(2, 2));
    const port_block ports(3);
    process stranger(
        "redwingwind-node",
        {"--keys=1:ffffffffffffffffffffffffffffffff", "--name=stranger",
         "--call_port=" + std::to_string(ports[0]),
         "--peer_port=" + std::to_string(ports[1]),
         "--local_port=" + std::to_string(ports[2]), "--probe_interval_ms=100",
         "--contacts=127.0.0.1:" + std::to_string(places.at(0).peer)},
        false);
    BOOST_TEST(http.wait_until(
        [&] {
            return places.status(0)["datagrams"]["rejected"].get<int>() >= 3;
        },
        10s));
    BOOST_TEST(places.status(0)["members"]["alive"] == 2);
}

BOOST_AUTO_TEST_SUITE_END()
