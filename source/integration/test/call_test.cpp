#define BOOST_TEST_MODULE integration
#include "processes.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

/// Two front and two back nodes with their targets, without a store.
struct four_nodes {
    four_nodes()
        : places(http, {{"front", "back", "front", "back"}, "", {}, {}}) {
        BOOST_REQUIRE(places.wait_together(4, 4));
    }

    io::http_result send(std::size_t n, const std::string& path,
                         const std::string& id,
                         const std::string& ticket = {}) {
        return http.call(places.make_call(n, path, id, ticket));
    }

    http_caller http;
    deployment places;
};

/// Writes raw bytes to a port, and closes.
void send_bytes(std::uint16_t port, int type, const std::string& bytes) {
    const int fd = socket(AF_INET, type, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0)
        (void)!write(fd, bytes.data(), bytes.size());
    close(fd);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_small_deployment, four_nodes)

BOOST_AUTO_TEST_CASE(serves_a_call_through_any_node) {
    for (std::size_t n = 0; n < places.size(); ++n) {
        const auto id = "r" + std::to_string(n);
        const auto answer = send(n, "/front/work", id);
        BOOST_TEST(answer.response.status == 200);
        BOOST_TEST(outcome_of(answer) == "done");
        BOOST_TEST(io::find_header(answer.response.headers, "Rww-Request-Id") ==
                   id);
        BOOST_TEST(places.executions(id, "front") == 1);
        BOOST_TEST(places.executions(id, "back") == 1);
    }
}

BOOST_AUTO_TEST_CASE(refuses_bad_input_with_a_typed_error) {
    auto call = places.make_call(0, "/front/work", "r1");
    call.headers = {{"Rww-Deadline-Ms", "soon"}};
    const auto bad = http.call(call);
    BOOST_TEST(bad.response.status == 400);
    BOOST_TEST(error_of(bad) == "bad_input");
    BOOST_TEST(outcome_of(bad) == "not-run");
    call.headers = {};
    call.body.assign(2U << 20U, 'x');
    BOOST_TEST(http.call(call).response.status == 413);
    const auto nowhere = send(0, "/nowhere/x", "r2");
    BOOST_TEST(error_of(nowhere) == "no_target");
    BOOST_TEST(
        http.post(places.at(0).local_url() + "/announce", "{\"slots\":0}")
            .response.status == 400);
    BOOST_TEST(http.post(places.at(0).call_url() + "/rww/tickets?count=0", "")
                   .response.status == 400);
}

BOOST_AUTO_TEST_CASE(survives_garbage_on_every_listener) {
    const std::string garbage(5000, '\xff');
    const std::string huge_frame("\xff\xff\xff\x7f garbage", 12);
    const std::string cut_request(
        "POST /front/work HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
    auto& place = places.at(0);
    for (const auto port : {place.call, place.local, place.peer})
        for (const auto& bytes : {garbage, huge_frame, cut_request})
            send_bytes(port, SOCK_STREAM, bytes);
    for (int n = 0; n < 10; ++n)
        send_bytes(place.peer, SOCK_DGRAM, garbage.substr(0, 100 + n));
    BOOST_TEST(http.wait_until(
        [&] {
            const auto json = places.status(0);
            return json["links"]["rejected"].get<int>() >= 2 &&
                   json["datagrams"]["rejected"].get<int>() >= 10;
        },
        5s));
    BOOST_TEST(send(0, "/front/work", "r1").response.status == 200);
    BOOST_TEST(place.node->is_running());
}

BOOST_AUTO_TEST_SUITE(a_request_with_a_ticket)

BOOST_AUTO_TEST_CASE(runs_once_when_sent_to_all_nodes_at_once) {
    const auto ticket = places.ticket(1);
    std::vector<std::shared_ptr<io::http_result>> results;
    std::vector<std::shared_ptr<bool>> ends;
    for (int round = 0; round < 3; ++round)
        for (std::size_t n = 0; n < places.size(); ++n) {
            ends.push_back(std::make_shared<bool>(false));
            results.push_back(http.start(
                places.make_call(n, "/front/work", "r1", ticket), ends.back()));
        }
    BOOST_REQUIRE(http.wait_until(
        [&] {
            return std::all_of(ends.begin(), ends.end(),
                               [](const auto& it) { return *it; });
        },
        10s));
    for (const auto& result : results) {
        BOOST_TEST(outcome_of(*result) == "done");
        BOOST_TEST(result->response.body == results[0]->response.body);
    }
    BOOST_TEST(places.executions("r1", "front") == 1);
}

BOOST_AUTO_TEST_CASE(is_never_run_again_when_its_home_was_killed) {
    const auto ticket = places.ticket(3);
    BOOST_TEST(outcome_of(send(0, "/front/alone", "r1", ticket)) == "done");
    places.at(3).node->signal(SIGKILL);
    const auto again = send(0, "/front/alone", "r1", ticket);
    BOOST_TEST(outcome_of(again) == "unknown");
    BOOST_TEST(places.executions("r1", "front") == 1);
}

BOOST_AUTO_TEST_CASE(runs_at_most_once_while_its_home_is_paused) {
    const auto ticket = places.ticket(3);
    places.at(3).node->signal(SIGSTOP);
    BOOST_TEST(outcome_of(send(0, "/front/alone", "r1", ticket)) == "unknown");
    places.at(3).node->signal(SIGCONT);
    http.wait_until([&] { return places.executions("r1", "front") > 0; }, 2s);
    send(1, "/front/alone", "r1", ticket);
    send(2, "/front/alone", "r1", ticket);
    http.sleep(500ms);
    BOOST_TEST(places.executions("r1", "front") <= 1);
}

BOOST_AUTO_TEST_CASE(is_told_the_truth_when_its_executor_is_paused_or_killed) {
    for (const int number : {SIGSTOP, SIGKILL}) {
        const auto id = "r" + std::to_string(number);
        const auto ticket = places.ticket(1);
        const auto is_done = std::make_shared<bool>(false);
        const auto result =
            http.start(places.make_call(1, "/front/slow", id, ticket), is_done);
        http.wait_until([&] { return places.executions(id, "front") > 0; }, 3s);
        for (const std::size_t n : {0U, 2U})
            places.at(n).node->signal(number);
        http.wait_until([&] { return *is_done; }, 10s);
        BOOST_TEST(outcome_of(*result) == "unknown");
        for (const std::size_t n : {0U, 2U})
            places.at(n).node->signal(SIGCONT);
        BOOST_TEST(places.executions(id, "front") == 1);
        BOOST_REQUIRE(number == SIGKILL || places.wait_together(4, 4));
    }
}

BOOST_AUTO_TEST_CASE(that_is_forged_or_altered_is_refused) {
    auto ticket = places.ticket(1);
    send(0, "/front/alone", "r1", ticket);
    auto altered = places.make_call(0, "/front/alone", "r1", ticket);
    altered.body = "{\"amount\":2}";
    BOOST_TEST(error_of(http.call(altered)) == "ticket_reused");
    ticket.back() = ticket.back() == '0' ? '1' : '0';
    BOOST_TEST(error_of(send(0, "/front/alone", "r2", ticket)) ==
               "ticket_forged");
    BOOST_TEST(places.executions("r1", "front") == 1);
    BOOST_TEST(places.executions("r2", "front") == 0);
}

BOOST_AUTO_TEST_CASE(that_is_cancelled_first_never_runs) {
    const auto ticket = places.ticket(1);
    io::http_call cancel;
    cancel.method = "DELETE";
    cancel.url = places.at(2).call_url() + "/rww/tickets/" + ticket;
    BOOST_TEST(outcome_of(http.call(cancel)) == "not-run");
    BOOST_TEST(outcome_of(send(0, "/front/alone", "r1", ticket)) == "not-run");
    BOOST_TEST(places.executions("r1", "front") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_planned_stop)

BOOST_AUTO_TEST_CASE(finishes_what_runs_and_exits_with_0) {
    const auto is_done = std::make_shared<bool>(false);
    const auto result =
        http.start(places.make_call(0, "/front/slow", "r1"), is_done);
    BOOST_REQUIRE(http.wait_until(
        [&] { return places.executions("r1", "front") == 1; }, 3s));
    const std::size_t executor =
        places.status(0)["running"].get<int>() == 1 ? 0 : 2;
    places.at(executor).node->signal(SIGTERM);
    http.wait_until([&] { return *is_done; }, 5s);
    BOOST_TEST(outcome_of(*result) == "done");
    BOOST_TEST(places.at(executor).node->wait(10s) == 0);
    BOOST_TEST(places.wait_together(3, 3));
}

BOOST_AUTO_TEST_CASE(of_every_target_in_turn_fails_no_order) {
    std::size_t sent = 0;
    std::size_t good = 0;
    const auto send_for = [&](duration time) {
        const auto end = steady_now() + time;
        while (steady_now() < end) {
            const auto id = "o" + std::to_string(sent);
            const auto n = sent++ % places.size();
            const auto answer = send(n, "/front/work", id, places.ticket(n));
            good += outcome_of(answer) == "done" ? 1 : 0;
            BOOST_TEST(outcome_of(answer) == "done", error_of(answer));
            http.sleep(10ms);
        }
    };
    for (std::size_t n = 0; n < places.size(); ++n) {
        places.at(n).target_process->signal(SIGTERM);
        send_for(3500ms);
        BOOST_TEST(places.at(n).target_process->wait(5s) == 0);
        places.start_target(n);
        BOOST_TEST(places.wait_together(4, 4));
    }
    BOOST_TEST(sent > 100U);
    BOOST_TEST(good == sent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
