#include "../../io/test/raw_peers.hpp"
#include "gossip_peer.hpp"
#include "platform_places.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

std::string plain_request(const std::string& path, const std::string& id) {
    return "GET " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
           "\r\nRequest-Deadline: 4000\r\n\r\n";
}

/// Two nodes beside targets of each of two services.
struct two_services {
    two_services() : places(http, {"front", "back", "front", "back"}) {
        places.configure(1);
        BOOST_REQUIRE(places.wait_served());
    }

    /// Starts a request that a target holds; the place of that target.
    std::size_t hold(std::size_t n, const std::string& target,
                     const std::string& id) {
        for (std::size_t k = 0; k < places.size(); ++k)
            places.at(k).target->behave(test_target::manner::holds);
        is_done = std::make_shared<bool>(false);
        held = http.start(places.make_call(n, target, id), is_done);
        std::size_t at = places.size();
        BOOST_REQUIRE(http.wait_until(
            [&] {
                for (std::size_t k = 0; k < places.size(); ++k)
                    if (places.at(k).target->runs(id) > 0)
                        at = k;
                return at < places.size();
            },
            5s));
        for (std::size_t k = 0; k < places.size(); ++k)
            places.at(k).target->behave(test_target::manner::answers);
        return at;
    }

    std::size_t runs(const std::string& id) {
        std::size_t n = 0;
        for (std::size_t k = 0; k < places.size(); ++k)
            n += places.at(k).target->runs(id);
        return n;
    }

    /// What the operator's tool says of a call, and its exit code.
    int explain(const std::string& id, std::string& text) {
        const auto output = temporary_file("explained");
        std::vector<std::string> words{"explain", id};
        const auto logs = places.log_files();
        words.insert(words.end(), logs.begin(), logs.end());
        const int code = run_ctl(words, output);
        text = take_text(output);
        return code;
    }

    bool wait_held() {
        return http.wait_until([&] { return *is_done; }, 10s);
    }

    http_caller http;
    platform_deployment places;
    std::shared_ptr<bool> is_done;
    std::shared_ptr<io::http_result> held;
};

} // namespace

BOOST_AUTO_TEST_SUITE(on_the_platform)

BOOST_AUTO_TEST_SUITE(a_node_that_starts)

BOOST_AUTO_TEST_CASE(turns_requests_away_until_it_knows_a_configuration) {
    http_caller http;
    platform_deployment places(http, {"front"});
    BOOST_REQUIRE(http.wait_until(
        [&] { return places.send(0, "/front/", "r1").response.status == 503; },
        10s));
    BOOST_TEST(!places.is_ready(0));
    places.configure(1);
    BOOST_TEST(places.wait_served());
}

BOOST_AUTO_TEST_CASE(is_back_soon_after_the_store) {
    http_caller http;
    platform_deployment places(http, {"front", "front"});
    places.configure(1);
    BOOST_REQUIRE(places.wait_served());
    places.store_faults(R"({"refuse":true})");
    for (std::size_t n = 0; n < places.size(); ++n)
        places.at(n).node->signal(SIGKILL);
    for (std::size_t n = 0; n < places.size(); ++n)
        places.start_node(n);
    http.sleep(1s);
    BOOST_TEST(!places.is_ready(0));
    places.store_faults(R"({"refuse":false})");
    BOOST_TEST(places.wait_served());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_request, two_services)

BOOST_AUTO_TEST_CASE(reaches_its_target_byte_for_byte) {
    auto call = places.make_call(0, "/back/a%2Fb%20c?x=%26y", "r1");
    call.method = "PUT";
    call.body = "words";
    call.headers.push_back({"Caller-Service", "forged"});
    call.headers.push_back({"X-Kept", "as it is"});
    const auto answer = http.call(call);
    BOOST_TEST(answer.response.status == 200);
    BOOST_TEST(answer.response.body == "done r1");
    BOOST_TEST(io::find_header(answer.response.headers, "Response-Seal") ==
               "s");
    auto& at =
        places.at(1).target->runs("r1") > 0 ? places.at(1) : places.at(3);
    const auto& seen = at.target->last();
    BOOST_TEST(seen.request.method == "PUT");
    BOOST_TEST(seen.request.target == "/back/a%2Fb%20c?x=%26y");
    BOOST_TEST(seen.request.body == "words");
    BOOST_TEST(io::find_header(seen.request.headers, "X-Kept") == "as it is");
    BOOST_TEST(seen.caller == "front");
    BOOST_TEST(seen.instance == at.instance);
    BOOST_TEST(seen.time_left_ms > 0);
    BOOST_TEST(seen.time_left_ms <= 4000);
}

BOOST_AUTO_TEST_CASE(without_a_route_is_told_so) {
    BOOST_TEST(places.send(0, "/nowhere/", "r1").response.status == 404);
}

BOOST_AUTO_TEST_CASE(that_no_target_runs_is_told_as_not_run) {
    places.at(1).target->behave(test_target::manner::full);
    places.at(3).target->behave(test_target::manner::full);
    const auto answer = places.send(0, "/back/", "r1").response;
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!io::find_header(answer.headers, "Retry-After").empty());
    BOOST_TEST(runs("r1") == 0U);
}

BOOST_AUTO_TEST_CASE(goes_to_another_target_when_one_says_not_run) {
    places.at(1).target->behave(test_target::manner::full);
    for (int n = 0; n < 10; ++n) {
        const auto id = "r" + std::to_string(n);
        BOOST_TEST(places.send(0, "/back/", id).response.status == 200);
        BOOST_TEST(runs(id) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(that_runs_once_is_unknown_when_its_node_is_killed) {
    const auto at = hold(0, "/back/", "r1");
    places.at(at).node->signal(SIGKILL);
    BOOST_REQUIRE(wait_held());
    BOOST_TEST(held->response.status == 502);
    BOOST_TEST(runs("r1") == 1U);
}

BOOST_AUTO_TEST_CASE(that_may_repeat_is_served_when_its_node_is_killed) {
    const auto at = hold(0, "/again/back/", "r1");
    places.at(at).node->signal(SIGKILL);
    BOOST_REQUIRE(wait_held());
    BOOST_TEST(held->response.status == 200);
    BOOST_TEST(held->response.body == "done r1");
}

BOOST_AUTO_TEST_CASE(is_served_while_the_store_is_away) {
    places.store_faults(R"({"outage":true})");
    http.sleep(2s);
    for (std::size_t n = 0; n < places.size(); ++n) {
        const auto id = "r" + std::to_string(n);
        BOOST_TEST(places.send(n, "/front/", id).response.status == 200);
    }
}

BOOST_AUTO_TEST_CASE(is_counted_in_the_metrics) {
    places.send(0, "/front/", "r1");
    const auto text = places.metrics_of(0);
    const auto* served = R"(redwingwind_calls_total{outcome="served",)"
                         R"(priority="1",service="front"} 1)";
    for (const auto* line :
         {served, "redwingwind_configuration_version 1",
          "redwingwind_live_nodes 4", "redwingwind_store_reached 1",
          "redwingwind_target_limit 7"})
        BOOST_TEST(text.find(line) != std::string::npos, line);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(requests_sent_behind_one_another, two_services)

BOOST_AUTO_TEST_CASE(run_at_the_same_time_and_are_answered_in_order) {
    for (const std::size_t n : {1, 3})
        places.at(n).target->behave(test_target::manner::holds);
    io::test::raw_client caller(http.loop(), places.at(0).outbound);
    for (const auto* id : {"p1", "p2", "p3"})
        caller.send(plain_request("/again/back/", id));
    BOOST_REQUIRE(http.wait_until(
        [&] { return runs("p1") + runs("p2") + runs("p3") == 3; }, 5s));
    for (const std::size_t n : {3, 1})
        places.at(n).target->release();
    BOOST_TEST(caller.wait_for("done p3"));
    BOOST_TEST(caller.received.find("done p1") <
               caller.received.find("done p2"));
    BOOST_TEST(caller.received.find("done p2") <
               caller.received.find("done p3"));
}

BOOST_AUTO_TEST_CASE(run_one_by_one_when_they_must_run_once) {
    for (const std::size_t n : {1, 3})
        places.at(n).target->behave(test_target::manner::holds);
    io::test::raw_client caller(http.loop(), places.at(0).outbound);
    for (const auto* id : {"p1", "p2"})
        caller.send(plain_request("/back/", id));
    BOOST_REQUIRE(http.wait_until([&] { return runs("p1") == 1; }, 5s));
    http.sleep(200ms);
    BOOST_TEST(runs("p2") == 0U);
    for (const std::size_t n : {1, 3}) {
        places.at(n).target->behave(test_target::manner::answers);
        places.at(n).target->release();
    }
    BOOST_TEST(caller.wait_for("done p2"));
    BOOST_TEST(runs("p2") == 1U);
}

BOOST_AUTO_TEST_CASE(are_all_answered_when_the_node_stops) {
    for (const std::size_t n : {1, 3})
        places.at(n).target->behave(test_target::manner::holds);
    io::test::raw_client caller(http.loop(), places.at(0).outbound);
    for (const auto* id : {"p1", "p2"})
        caller.send(plain_request("/again/back/", id));
    BOOST_REQUIRE(
        http.wait_until([&] { return runs("p1") + runs("p2") == 2; }, 5s));
    places.at(0).node->signal(SIGTERM);
    http.sleep(500ms);
    for (const std::size_t n : {1, 3})
        places.at(n).target->release();
    BOOST_TEST(caller.wait_for("done p2"));
    BOOST_TEST(caller.received.find("done p1") <
               caller.received.find("done p2"));
    BOOST_TEST(places.at(0).node->wait(8s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_failed_request_is_explained, two_services)

BOOST_AUTO_TEST_CASE(when_all_targets_were_full) {
    places.at(1).target->behave(test_target::manner::full);
    places.at(3).target->behave(test_target::manner::full);
    BOOST_TEST(places.send(0, "/back/", "r-full").response.status == 503);
    std::string text;
    BOOST_TEST(explain("r-full", text) == 0);
    BOOST_TEST(text.find("did not run: target_shed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(when_its_node_was_killed) {
    const auto at = hold(0, "/back/", "r-killed");
    places.at(at).node->signal(SIGKILL);
    BOOST_REQUIRE(wait_held());
    std::string text;
    BOOST_TEST(explain("r-killed", text) == 0);
    BOOST_TEST(text.find("unknown whether the call ran: cut_off, last given "
                         "to n" +
                         std::to_string(at)) != std::string::npos,
               text);
}

BOOST_AUTO_TEST_CASE(when_the_configuration_had_no_route_for_it) {
    BOOST_TEST(places.send(0, "/nowhere/", "r-nowhere").response.status == 404);
    std::string text;
    BOOST_TEST(explain("r-nowhere", text) == 0);
    BOOST_TEST(text.find("not_found, refused where it entered") !=
               std::string::npos);
    // With the version that said so, and since when it is in force.
    BOOST_TEST(text.find(" 1, ") != std::string::npos);
    BOOST_TEST(text.find(" s old ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unless_it_was_served) {
    BOOST_TEST(places.send(0, "/back/", "r-well").response.status == 200);
    std::string text;
    constexpr int not_found = 4;
    BOOST_TEST(explain("r-well", text) == not_found);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_change_of_the_configuration, two_services)

BOOST_AUTO_TEST_CASE(is_in_force_on_all_nodes) {
    places.configure(7, {{"front", "back"}});
    BOOST_TEST(http.wait_until(
        [&] {
            for (std::size_t n = 0; n < places.size(); ++n) {
                const auto before =
                    places.at(0).target->runs() + places.at(2).target->runs();
                places.send(n, "/front/", "r");
                if (places.at(0).target->runs() + places.at(2).target->runs() !=
                    before)
                    return false;
            }
            return true;
        },
        10s));
}

BOOST_AUTO_TEST_CASE(arrives_though_the_store_forgot_its_history) {
    places.store_faults(R"({"forget":true})");
    places.configure(8, {{"back", "front"}});
    int count = 0;
    const auto is_moved = [&] {
        const auto id = "r" + std::to_string(count++);
        places.send(1, "/back/", id);
        return places.at(0).target->runs(id) + places.at(2).target->runs(id) ==
               1;
    };
    BOOST_TEST(http.wait_until(is_moved, 10s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_target_that_leaves, two_services)

BOOST_AUTO_TEST_CASE(gets_nothing_after_its_leave_is_acknowledged) {
    BOOST_TEST(places.beat(1, "draining").status == 200);
    const auto before = places.at(1).target->runs();
    for (int n = 0; n < 20; ++n) {
        const auto id = "r" + std::to_string(n);
        BOOST_TEST(places.send(static_cast<std::size_t>(n) % 4, "/back/", id)
                       .response.status == 200);
    }
    BOOST_TEST(places.at(1).target->runs() == before);
}

BOOST_AUTO_TEST_CASE(finishes_what_it_runs) {
    const auto at = hold(0, "/back/", "r1");
    BOOST_TEST(places.beat(at, "draining").status == 200);
    places.at(at).target->release();
    BOOST_REQUIRE(wait_held());
    BOOST_TEST(held->response.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_node_that_others_take_for_dead, two_services)

BOOST_AUTO_TEST_CASE(goes_on_with_the_calls_it_runs) {
    const auto at = hold(0, "/again/back/", "r1");
    gossip_peer peer(http.loop(), keys);
    auto record = peer.ask(places.at(at).peer);
    BOOST_REQUIRE(record.has_value());
    record->state = coordination::member_state::dead;
    // Until the node itself hears of it and objects, the first one believes.
    for (int n = 0; n < 5; ++n) {
        peer.tell(places.at(0).peer, *record);
        http.sleep(20ms);
    }
    BOOST_TEST(!*is_done);
    places.at(at).target->release();
    BOOST_REQUIRE(wait_held());
    BOOST_TEST(held->response.status == 200);
    BOOST_TEST(runs("r1") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_node_that_is_back_at_once, two_services)

// Guards against the suspicion of its earlier life that hides it.
BOOST_AUTO_TEST_CASE(goes_on_being_used) {
    for (const std::size_t n : {1U, 3U}) {
        places.at(n).node->signal(SIGKILL);
        places.at(n).node->wait(5s);
        http.sleep(300ms);
        places.start_node(n);
    }
    BOOST_REQUIRE(places.wait_ready());
    for (const std::size_t n : {1U, 3U})
        places.beat(n);
    http.sleep(1s);
    // Longer than the earlier lives are suspected for.
    for (int n = 0; n < 60; ++n) {
        const auto at = static_cast<std::size_t>(n) % 2 * 2;
        BOOST_TEST(places.send(at, "/back/", "r" + std::to_string(n))
                       .response.status == 200);
        http.sleep(100ms);
    }
    BOOST_TEST(places.at(1).target->runs() > 0U);
    BOOST_TEST(places.at(3).target->runs() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_node_told_to_stop, two_services)

BOOST_AUTO_TEST_CASE(finishes_the_requests_it_has) {
    const auto at = hold(0, "/back/", "r1");
    places.at(0).node->signal(SIGTERM);
    places.at(at).node->signal(SIGTERM);
    http.sleep(500ms);
    BOOST_TEST(!places.is_ready(0));
    places.at(at).target->release();
    BOOST_REQUIRE(wait_held());
    BOOST_TEST(held->response.status == 200);
    BOOST_TEST(places.at(0).node->wait(8s) == 0);
}

BOOST_AUTO_TEST_CASE(takes_its_work_up_again_beside_a_running_target) {
    places.at(1).node->signal(SIGTERM);
    BOOST_TEST(places.at(1).node->wait(8s) == 0);
    places.start_node(1);
    BOOST_TEST(places.wait_served());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_node_whose_settings_change, two_services)

BOOST_AUTO_TEST_CASE(keeps_the_old_ones_when_the_new_ones_are_bad) {
    {
        std::ofstream file(places.at(0).settings_file, std::ios::app);
        file << "--bounds=grace_s=soon\n";
    }
    places.at(0).node->signal(SIGHUP);
    http.sleep(300ms);
    BOOST_TEST(places.at(0).node->is_running());
    BOOST_TEST(places.send(0, "/back/", "r1").response.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
