#define BOOST_TEST_MODULE requests_sent_behind_one_another
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

/// A server that leaves its answers to the test, with one caller.
struct one_caller {
    explicit one_caller(stream_limits limits = {})
        : server(loop, limits), caller(loop, server.it.port()) {
        server.answers = false;
    }

    /// Lets come what is on its way.
    void settle() {
        loop.run_until([] { return false; }, 50ms);
    }
    std::size_t place_of(const std::string& text) const {
        return caller.got.find(text);
    }

    reactor loop;
    kept_server server;
    raw_caller caller;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_caller_that_sends_several_requests_at_once)

BOOST_AUTO_TEST_CASE(has_them_run_at_the_same_time) {
    one_caller it;
    it.caller.send(get("1") + get("2") + get("3"));
    BOOST_TEST(it.server.wait_for_requests(it.loop, 3));
    BOOST_TEST(it.server.it.open_exchanges() == 3U);
}

BOOST_AUTO_TEST_CASE(gets_the_answers_in_the_order_of_the_requests) {
    one_caller it;
    it.caller.send(get("1") + get("2") + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    it.server.answer(2, "third");
    it.server.answer(1, "second");
    it.settle();
    BOOST_TEST(it.caller.got.empty());
    it.server.answer(0, "first");
    BOOST_TEST(it.caller.wait_for("third"));
    BOOST_TEST(it.place_of("first") < it.place_of("second"));
    BOOST_TEST(it.place_of("second") < it.place_of("third"));
    BOOST_TEST(it.server.it.open_exchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(has_each_request_count_from_its_own_arrival) {
    one_caller it;
    it.caller.send(get("1"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.loop.run_until([] { return false; }, 60ms);
    it.caller.send(post("2", "x"));
    it.loop.run_until([] { return false; }, 60ms);
    it.server.answer(0, "first");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    const auto& asked = it.server.asked;
    BOOST_TEST((asked[1].arrived > asked[0].arrived));
    // It waited for the first one and is no younger for it.
    BOOST_TEST((steady_now() - asked[1].arrived >= 50ms));
}

BOOST_AUTO_TEST_CASE(has_none_run_beside_one_that_must_run_once) {
    one_caller it;
    it.caller.send(get("1") + post("order", "x") + get("2"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.settle();
    BOOST_TEST(it.server.asked.size() == 1U);
    it.server.answer(0, "first");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    it.settle();
    BOOST_TEST(it.server.asked.size() == 2U);
    BOOST_TEST(it.server.asked[1].request.method == "POST");
    it.server.answer(1, "order");
    BOOST_TEST(it.server.wait_for_requests(it.loop, 3));
}

BOOST_AUTO_TEST_CASE(gets_the_answer_to_head_without_a_body_in_the_middle) {
    one_caller it;
    it.caller.send(get("1") + "HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n" + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    it.server.answer(1, "hidden");
    it.server.answer(2, "third");
    it.server.answer(0, "first");
    BOOST_TEST(it.caller.wait_for("third"));
    BOOST_TEST(it.place_of("hidden") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(may_send_a_body_in_chunks_in_the_middle) {
    one_caller it;
    it.server.answers = true;
    it.caller.send(get("1") +
                   "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" +
                   get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    BOOST_TEST(it.server.asked[1].request.body == "ab");
    BOOST_TEST(it.server.asked[2].request.target == "/3");
}

BOOST_AUTO_TEST_CASE(is_told_to_continue_only_after_the_answers_before) {
    one_caller it;
    it.caller.send(get("1") + "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: "
                              "100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.settle();
    BOOST_TEST(it.caller.got.empty());
    it.server.answer(0, "first");
    BOOST_TEST(it.caller.wait_for("100 Continue"));
    BOOST_TEST(it.place_of("first") < it.place_of("100 Continue"));
    it.caller.send("ab");
    BOOST_TEST(it.server.wait_for_requests(it.loop, 2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection_that_closes)

BOOST_AUTO_TEST_CASE(after_a_malformed_request_answers_those_before_it) {
    one_caller it;
    it.caller.send(get("1") + "no request\r\n\r\n" + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.settle();
    BOOST_TEST(it.caller.got.empty());
    it.server.answer(0, "first");
    BOOST_TEST(it.caller.wait_for_end());
    BOOST_TEST(it.place_of("first") < it.place_of("HTTP/1.1 400 "));
    BOOST_TEST(it.server.asked.size() == 1U);
}

BOOST_AUTO_TEST_CASE(after_an_oversized_head_answers_those_before_it) {
    stream_limits limits;
    limits.message = {256, 10};
    one_caller it(limits);
    it.caller.send(get("1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX: " +
                   std::string(400, 'x') + "\r\n\r\n");
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 1));
    it.server.answer(0, "first");
    BOOST_TEST(it.caller.wait_for_end());
    BOOST_TEST(it.place_of("first") < it.place_of("HTTP/1.1 431 "));
}

BOOST_AUTO_TEST_CASE(at_the_callers_wish_runs_nothing_sent_behind_it) {
    one_caller it;
    it.caller.send(get("1") +
                   "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
                   get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    it.server.answer(0, "first");
    it.server.answer(1, "second");
    BOOST_TEST(it.caller.wait_for_end());
    BOOST_TEST(it.server.asked.size() == 2U);
    BOOST_TEST(it.place_of("second") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(in_a_planned_stop_answers_all_that_was_taken) {
    one_caller it;
    it.caller.send(get("1") + get("2") + post("order", "x") + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 2));
    it.server.it.close_gradually();
    it.caller.send(get("4"));
    it.settle();
    it.server.answer(0, "first");
    BOOST_TEST(it.caller.wait_for("first"));
    it.settle();
    BOOST_TEST(!it.caller.is_over);
    it.server.answer(1, "second");
    BOOST_TEST(it.caller.wait_for_end());
    // Those behind were not taken: their caller sends them elsewhere.
    BOOST_TEST(it.server.asked.size() == 2U);
    BOOST_TEST(it.place_of("Connection: close") > it.place_of("first"));
    BOOST_TEST(it.place_of("second") != std::string::npos);
    BOOST_TEST(it.server.it.open_exchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(because_the_caller_left_ends_all_of_its_requests) {
    one_caller it;
    it.caller.send(get("1") + get("2") + get("3"));
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 3));
    it.server.answer(1, "second");
    it.caller.leave();
    BOOST_TEST(it.loop.run_until([&] { return it.server.gone.size() >= 2; },
                                 patience));
    it.settle();
    // The one that was answered has ended already.
    BOOST_TEST(it.server.gone.size() == 2U);
    BOOST_TEST(it.server.it.open_exchanges() == 0U);
    BOOST_TEST(it.server.it.counters().disconnected == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(what_is_held_for_a_caller)

BOOST_AUTO_TEST_CASE(is_bounded_in_requests) {
    stream_limits limits;
    limits.max_pipelined = 4;
    one_caller it(limits);
    std::string many;
    for (int n = 0; n < 100; ++n)
        many += get(std::to_string(n));
    it.caller.send(many);
    BOOST_REQUIRE(it.server.wait_for_requests(it.loop, 4));
    it.settle();
    BOOST_TEST(it.server.asked.size() == 4U);
    it.server.answers = true;
    for (std::size_t n = 0; n < 4; ++n)
        it.server.answer(n, "ok");
    BOOST_TEST(it.server.wait_for_requests(it.loop, 100));
    BOOST_TEST(it.server.asked[99].request.target == "/99");
}

BOOST_AUTO_TEST_CASE(is_bounded_while_it_reads_nothing) {
    stream_limits limits;
    limits.write_timeout = 300ms;
    one_caller it(limits);
    it.server.answers = true;
    it.server.usual_body.assign(256U << 10U, 'x');
    it.caller.stop_reading();
    constexpr std::size_t sent = 400;
    std::string many;
    for (std::size_t n = 0; n < sent; ++n)
        many += get(std::to_string(n));
    it.caller.send(many);
    BOOST_TEST(it.loop.run_until(
        [&] { return it.server.it.open_connections() == 0; }, patience));
    BOOST_TEST(it.server.asked.size() < sent / 4);
}

BOOST_AUTO_TEST_CASE(goes_back_to_nothing) {
    stream_limits limits;
    limits.max_buffered_bytes = 3000;
    one_caller it(limits);
    it.server.answers = true;
    for (int round = 0; round < 20; ++round) {
        const auto before = it.server.asked.size();
        it.caller.send(get("1") + post("2", std::string(500, 'x')) + get("3"));
        BOOST_REQUIRE(it.server.wait_for_requests(it.loop, before + 3));
    }
    it.settle();
    BOOST_TEST(it.caller.got.find("503") == std::string::npos);
    BOOST_TEST(it.server.it.buffered_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whatever_is_sent_and_in_whatever_order_it_ends)

namespace {

struct drawn_request {
    bool is_order{};
    /// Lower ones are answered first among those that run.
    int rank{};
    /// Bytes that the caller sends at a time.
    std::size_t piece{1};
};

drawn_request draw_request() {
    return {*rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 100),
            *rc::gen::inRange<std::size_t>(1, 90)};
}

} // namespace

RC_BOOST_PROP(each_gets_its_own_answer_in_its_place, ()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 24);
    std::vector<drawn_request> drawn;
    for (std::size_t k = 0; k < n; ++k)
        drawn.push_back(draw_request());
    one_caller it;
    std::vector<bool> is_answered(n);
    std::size_t answered = 0;
    const auto number_of = [&](std::size_t place) {
        return std::stoul(it.server.asked[place].request.target.substr(1));
    };
    const auto answer_one = [&] {
        std::size_t best = n;
        std::size_t running_orders = 0;
        std::size_t running = 0;
        for (std::size_t k = 0; k < it.server.asked.size(); ++k) {
            if (is_answered[k])
                continue;
            ++running;
            running_orders += drawn[number_of(k)].is_order ? 1 : 0;
            if (best == n ||
                drawn[number_of(k)].rank < drawn[number_of(best)].rank)
                best = k;
        }
        // One that must run once runs alone.
        RC_ASSERT(running_orders == 0 || running == 1);
        if (best == n)
            return;
        is_answered[best] = true;
        ++answered;
        it.server.answer(best, "<" + std::to_string(number_of(best)) + ">");
    };
    for (std::size_t k = 0; k < n; ++k) {
        const auto path = std::to_string(k);
        const auto bytes = drawn[k].is_order ? post(path, "x") : get(path);
        for (std::size_t at = 0; at < bytes.size(); at += drawn[k].piece)
            it.caller.send(bytes.substr(at, drawn[k].piece));
        if (drawn[k].rank % 3 == 0) {
            it.loop.run_until([&] { return it.server.asked.size() > answered; },
                              2ms);
            answer_one();
        }
    }
    while (answered < n) {
        RC_ASSERT(it.loop.run_until(
            [&] { return it.server.asked.size() > answered; }, patience));
        answer_one();
    }
    RC_ASSERT(it.caller.wait_for("<" + std::to_string(n - 1) + ">"));
    std::size_t last = 0;
    for (std::size_t k = 0; k < n; ++k) {
        const auto place = it.place_of("<" + std::to_string(k) + ">");
        RC_ASSERT(place != std::string::npos);
        RC_ASSERT(place >= last);
        last = place;
    }
}

BOOST_AUTO_TEST_SUITE_END()
