#define BOOST_TEST_MODULE http1_pipelining
#include "raw_peers.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include <string>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::io;
using namespace redwingwind::io::test;
using namespace std::chrono_literals;

namespace {

std::string get(const std::string& path) {
    return "GET /" + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string post(const std::string& path, const std::string& body) {
    return "POST /" + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server whose responses are sent by the test, and one client.
struct server_with_one_client {
    explicit server_with_one_client(stream_limits limits = {})
        : server(loop, limits), client(loop, server.it.port()) {
        server.responds = false;
    }

    /// Runs the loop for 50 ms, so that bytes in transit arrive.
    void settle() {
        loop.run_until([] { return false; }, 50ms);
    }
    std::size_t position_of(const std::string& text) const {
        return client.received.find(text);
    }

    reactor loop;
    recording_server server;
    raw_client client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_client_that_pipelines_requests)

BOOST_AUTO_TEST_CASE(has_idempotent_requests_run_concurrently) {
    server_with_one_client it;
    it.client.send(get("1") + get("2") + get("3"));
    BOOST_TEST(it.server.wait_for_requests(it.loop, 3));
    BOOST_TEST(it.server.it.open_exchanges() == 3U);
}

BOOST_AUTO_TEST_CASE(gets_the_responses_in_the_order_of_the_requests) {
    server_with_one_client it;
    it.client.send(get("1") + get("2") + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    it.server.respond(2, "third");
    it.server.respond(1, "second");
    it.settle();
    BOOST_TEST(it.client.received.empty());
    it.server.respond(0, "first");
    BOOST_TEST(it.client.wait_for("third"));
    BOOST_TEST(it.position_of("first") < it.position_of("second"));
    BOOST_TEST(it.position_of("second") < it.position_of("third"));
    BOOST_TEST(it.server.it.open_exchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(has_the_arrival_time_of_each_request_recorded) {
    server_with_one_client it;
    it.client.send(get("1"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.loop.run_until([] { return false; }, 60ms);
    it.client.send(post("2", "x"));
    it.loop.run_until([] { return false; }, 60ms);
    it.server.respond(0, "first");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    const auto& requests = it.server.requests;
    BOOST_TEST((requests[1].arrived > requests[0].arrived));
    // The time that it waited for the first one counts.
    BOOST_TEST((steady_now() - requests[1].arrived >= 50ms));
}

BOOST_AUTO_TEST_CASE(has_a_request_that_is_not_idempotent_run_alone) {
    server_with_one_client it;
    it.client.send(get("1") + post("order", "x") + get("2"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.settle();
    BOOST_TEST(it.server.requests.size() == 1U);
    it.server.respond(0, "first");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    it.settle();
    BOOST_TEST(it.server.requests.size() == 2U);
    BOOST_TEST(it.server.requests[1].request.method == "POST");
    it.server.respond(1, "order");
    BOOST_TEST(it.server.wait_for_requests(it.loop, 3));
}

BOOST_AUTO_TEST_CASE(gets_the_response_to_a_head_request_without_a_body) {
    server_with_one_client it;
    it.client.send(get("1") + "HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n" + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    it.server.respond(1, "hidden");
    it.server.respond(2, "third");
    it.server.respond(0, "first");
    BOOST_TEST(it.client.wait_for("third"));
    BOOST_TEST(it.position_of("hidden") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(may_send_a_chunked_body_between_other_requests) {
    server_with_one_client it;
    it.server.responds = true;
    it.client.send(get("1") +
                   "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" +
                   get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    BOOST_TEST(it.server.requests[1].request.body == "ab");
    BOOST_TEST(it.server.requests[2].request.target == "/3");
}

BOOST_AUTO_TEST_CASE(gets_100_continue_only_after_the_earlier_responses) {
    server_with_one_client it;
    it.client.send(get("1") + "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: "
                              "100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.settle();
    BOOST_TEST(it.client.received.empty());
    it.server.respond(0, "first");
    BOOST_TEST(it.client.wait_for("100 Continue"));
    BOOST_TEST(it.position_of("first") < it.position_of("100 Continue"));
    it.client.send("ab");
    BOOST_TEST(it.server.wait_for_requests(it.loop, 2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection_that_closes)

BOOST_AUTO_TEST_CASE(after_a_malformed_request_responds_to_the_earlier_ones) {
    server_with_one_client it;
    it.client.send(get("1") + "no request\r\n\r\n" + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.settle();
    BOOST_TEST(it.client.received.empty());
    it.server.respond(0, "first");
    BOOST_TEST(it.client.wait_for_end());
    BOOST_TEST(it.position_of("first") < it.position_of("HTTP/1.1 400 "));
    BOOST_TEST(it.server.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(after_an_oversized_header_responds_to_the_earlier_ones) {
    stream_limits limits;
    limits.message = {256, 10};
    server_with_one_client it(limits);
    it.client.send(get("1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX: " +
                   std::string(400, 'x') + "\r\n\r\n");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.server.respond(0, "first");
    BOOST_TEST(it.client.wait_for_end());
    BOOST_TEST(it.position_of("first") < it.position_of("HTTP/1.1 431 "));
}

BOOST_AUTO_TEST_CASE(at_the_clients_request_runs_no_later_request) {
    server_with_one_client it;
    it.client.send(get("1") +
                   "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
                   get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    it.server.respond(0, "first");
    it.server.respond(1, "second");
    BOOST_TEST(it.client.wait_for_end());
    BOOST_TEST(it.server.requests.size() == 2U);
    BOOST_TEST(it.position_of("second") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(in_a_graceful_stop_responds_to_all_started_requests) {
    server_with_one_client it;
    it.client.send(get("1") + get("2") + post("order", "x") + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    it.server.it.close_gradually();
    it.client.send(get("4"));
    it.settle();
    it.server.respond(0, "first");
    BOOST_TEST(it.client.wait_for("first"));
    it.settle();
    BOOST_TEST(!it.client.is_closed);
    it.server.respond(1, "second");
    BOOST_TEST(it.client.wait_for_end());
    // The later requests have not started: the client sends them on another
    // connection.
    BOOST_TEST(it.server.requests.size() == 2U);
    BOOST_TEST(it.position_of("Connection: close") > it.position_of("first"));
    BOOST_TEST(it.position_of("second") != std::string::npos);
    BOOST_TEST(it.server.it.open_exchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(because_the_client_disconnected_ends_all_of_its_requests) {
    server_with_one_client it;
    it.client.send(get("1") + get("2") + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    it.server.respond(1, "second");
    it.client.disconnect();
    BOOST_TEST(it.loop.run_until(
        [&] { return it.server.disconnected_exchanges.size() >= 2; },
        test_timeout));
    it.settle();
    // The request with a response has ended already and is not reported.
    BOOST_TEST(it.server.disconnected_exchanges.size() == 2U);
    BOOST_TEST(it.server.it.open_exchanges() == 0U);
    BOOST_TEST(it.server.it.counters().disconnected == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_memory_held_for_a_client)

BOOST_AUTO_TEST_CASE(is_bounded_by_the_number_of_requests) {
    stream_limits limits;
    limits.max_pipelined = 4;
    server_with_one_client it(limits);
    std::string many;
    for (int n = 0; n < 100; ++n)
        many += get(std::to_string(n));
    it.client.send(many);
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 4));
    it.settle();
    BOOST_TEST(it.server.requests.size() == 4U);
    it.server.responds = true;
    for (std::size_t n = 0; n < 4; ++n)
        it.server.respond(n, "ok");
    BOOST_TEST(it.server.wait_for_requests(it.loop, 100));
    BOOST_TEST(it.server.requests[99].request.target == "/99");
}

BOOST_AUTO_TEST_CASE(is_bounded_while_the_client_reads_nothing) {
    stream_limits limits;
    limits.write_timeout = 300ms;
    server_with_one_client it(limits);
    it.server.responds = true;
    it.server.default_body.assign(256U << 10U, 'x');
    it.client.stop_reading();
    constexpr std::size_t sent = 400;
    std::string many;
    for (std::size_t n = 0; n < sent; ++n)
        many += get(std::to_string(n));
    it.client.send(many);
    BOOST_TEST(it.loop.run_until(
        [&] { return it.server.it.open_connections() == 0; }, test_timeout));
    BOOST_TEST(it.server.requests.size() < sent / 4);
}

BOOST_AUTO_TEST_CASE(is_released_after_the_responses) {
    stream_limits limits;
    limits.max_buffered_bytes = 3000;
    server_with_one_client it(limits);
    it.server.responds = true;
    for (int round = 0; round < 20; ++round) {
        const auto before = it.server.requests.size();
        it.client.send(get("1") + post("2", std::string(500, 'x')) + get("3"));
        BOOST_REQUIRE(it.server.wait_for_requests(it.loop, before + 3));
    }
    it.settle();
    BOOST_TEST(it.client.received.find("503") == std::string::npos);
    BOOST_TEST(it.server.it.buffered_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(random_requests_that_end_in_random_order)

namespace {

struct generated_request {
    bool is_post{};
    /// Among running requests the one with the lowest rank is responded to
    /// first.
    int rank{};
    /// Bytes that the client sends at a time.
    std::size_t piece_bytes{1};
};

generated_request generate_request() {
    return {*rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 100),
            *rc::gen::inRange<std::size_t>(1, 90)};
}

} // namespace

RC_BOOST_PROP(get_their_responses_in_the_order_of_the_requests, ()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 24);
    std::vector<generated_request> generated;
    for (std::size_t k = 0; k < n; ++k)
        generated.push_back(generate_request());
    server_with_one_client it;
    std::vector<bool> has_response(n);
    std::size_t n_responses = 0;
    const auto number_of = [&](std::size_t place) {
        return std::stoul(it.server.requests[place].request.target.substr(1));
    };
    const auto respond_to_one = [&] {
        std::size_t best = n;
        std::size_t running_posts = 0;
        std::size_t running = 0;
        for (std::size_t k = 0; k < it.server.requests.size(); ++k) {
            if (has_response[k])
                continue;
            ++running;
            running_posts += generated[number_of(k)].is_post ? 1 : 0;
            if (best == n ||
                generated[number_of(k)].rank < generated[number_of(best)].rank)
                best = k;
        }
        // A request that is not idempotent runs alone.
        RC_ASSERT(running_posts == 0 || running == 1);
        if (best == n)
            return;
        has_response[best] = true;
        ++n_responses;
        it.server.respond(best, "<" + std::to_string(number_of(best)) + ">");
    };
    for (std::size_t k = 0; k < n; ++k) {
        const auto path = std::to_string(k);
        const auto bytes = generated[k].is_post ? post(path, "x") : get(path);
        for (std::size_t at = 0; at < bytes.size();
             at += generated[k].piece_bytes)
            it.client.send(bytes.substr(at, generated[k].piece_bytes));
        if (generated[k].rank % 3 == 0) {
            it.loop.run_until(
                [&] { return it.server.requests.size() > n_responses; }, 2ms);
            respond_to_one();
        }
    }
    while (n_responses < n) {
        RC_ASSERT(it.loop.run_until(
            [&] { return it.server.requests.size() > n_responses; },
            test_timeout));
        respond_to_one();
    }
    RC_ASSERT(it.client.wait_for("<" + std::to_string(n - 1) + ">"));
    std::size_t last = 0;
    for (std::size_t k = 0; k < n; ++k) {
        const auto place = it.position_of("<" + std::to_string(k) + ">");
        RC_ASSERT(place != std::string::npos);
        RC_ASSERT(place >= last);
        last = place;
    }
}

BOOST_AUTO_TEST_SUITE_END()
