#define BOOST_TEST_MODULE streams_byte_for_byte
#include "raw_peers.hpp"

#include <redwingwind/io/http.hpp>

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <csignal>

using namespace redwingwind;
using namespace redwingwind::io;
using namespace redwingwind::io::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(an_event_loop)

BOOST_AUTO_TEST_CASE(turns_a_write_to_a_closed_connection_into_an_error) {
    std::signal(SIGPIPE, SIG_DFL);
    const reactor loop;
    int ends[2] = {-1, -1};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    close(ends[1]);
    BOOST_TEST(write(ends[0], "x", 1) == -1);
    BOOST_TEST(errno == EPIPE);
    close(ends[0]);
}

BOOST_AUTO_TEST_CASE(sees_descriptors_while_timers_are_always_due) {
    reactor loop;
    int ends[2] = {-1, -1};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    bool is_read = false;
    descriptor_watch watch = loop.watch(ends[0], [&](bool, bool) {
        is_read = true;
        watch.set_interest(false, false);
    });
    watch.set_interest(true, false);
    const std::function<void()> again = [&] {
        loop.after(duration::zero(), again);
    };
    again();
    BOOST_REQUIRE(write(ends[1], "x", 1) == 1);
    BOOST_TEST(loop.run_until([&] { return is_read; }, patience));
    watch.reset();
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_CASE(runs_its_timers_by_the_clock_given) {
    time_point now{1h};
    reactor loop([&] { return now; });
    bool is_due = false;
    loop.after(10s, [&] { is_due = true; });
    loop.run_until([&] { return is_due; }, 20ms);
    BOOST_TEST(!is_due);
    now += 11s;
    BOOST_TEST(loop.run_until([&] { return is_due; }, patience));
}

BOOST_AUTO_TEST_CASE(tells_of_a_pause_once_and_reads_before_it_runs_timers) {
    time_point now{1h};
    reactor loop([&] { return now; });
    std::vector<std::string> seen;
    loop.on_pause([&](duration time) {
        seen.push_back("pause " + std::to_string(milliseconds(time)));
    });
    for (const auto* name : {"first", "second"})
        loop.after(100ms, [&seen, name] { seen.push_back(name); });
    int ends[2] = {-1, -1};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    descriptor_watch watch = loop.watch(ends[0], [&](bool, bool) {
        seen.push_back("read " +
                       std::to_string(milliseconds(loop.current_pause())));
        watch.reset();
    });
    watch.set_interest(true, false);
    loop.run_until([] { return false; }, 20ms);
    BOOST_TEST(seen.empty());
    BOOST_REQUIRE(write(ends[1], "x", 1) == 1);
    now += 5100ms;
    BOOST_TEST(loop.run_until([&] { return seen.size() >= 4; }, patience));
    const std::vector<std::string> expected{"pause 5000", "read 5000", "first",
                                            "second"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
    BOOST_TEST((loop.current_pause() == duration::zero()));
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server)

BOOST_AUTO_TEST_CASE(hands_over_the_target_and_the_headers_as_they_came) {
    reactor loop;
    kept_server server(loop);
    raw_caller caller(loop, server.it.port());
    caller.send("GET /a%2Fb%20c?x=%26y HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n");
    BOOST_TEST(caller.wait_for("ok"));
    BOOST_REQUIRE(server.asked.size() == 1U);
    const auto& request = server.asked[0].request;
    BOOST_TEST(request.target == "/a%2Fb%20c?x=%26y");
    BOOST_TEST(request.headers.size() == 2U);
}

BOOST_AUTO_TEST_CASE(takes_bodies_by_length_and_in_chunks) {
    reactor loop;
    kept_server server(loop);
    raw_caller caller(loop, server.it.port());
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    BOOST_TEST(
        loop.run_until([&] { return server.asked.size() == 2; }, patience));
    BOOST_TEST(server.asked[0].request.body == "abc");
    BOOST_TEST(server.asked[1].request.body == "def");
}

BOOST_AUTO_TEST_CASE(runs_nothing_that_is_hidden_behind_two_lengths) {
    const std::vector<std::string> framings{
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 5",
        "Content-Length: -1"};
    for (const auto& framing : framings) {
        reactor loop;
        kept_server server(loop);
        raw_caller caller(loop, server.it.port());
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\n" + framing +
                    "\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_TEST(caller.wait_for("HTTP/1.1 400 "));
        BOOST_TEST(caller.wait_for_end());
        BOOST_TEST(server.asked.empty());
    }
}

BOOST_AUTO_TEST_CASE(refuses_what_is_too_large) {
    reactor loop;
    stream_limits limits;
    limits.message = {256, 10};
    kept_server server(loop, limits);
    raw_caller with_header(loop, server.it.port());
    with_header.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " +
                     std::string(400, 'x') + "\r\n\r\n");
    BOOST_TEST(with_header.wait_for("HTTP/1.1 431 "));
    raw_caller with_body(loop, server.it.port());
    with_body.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(with_body.wait_for("HTTP/1.1 413 "));
    BOOST_TEST(server.asked.empty());
}

BOOST_AUTO_TEST_CASE(turns_away_what_arrives_beyond_its_memory) {
    reactor loop;
    stream_limits limits;
    limits.max_buffered_bytes = 1000;
    kept_server server(loop, limits);
    server.answers = false;
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ";
    raw_caller first(loop, server.it.port());
    first.send(head + "600\r\n\r\n" + std::string(600, 'x'));
    BOOST_TEST(loop.run_until([&] { return !server.asked.empty(); }, patience));
    raw_caller second(loop, server.it.port());
    second.send(head + "5000\r\n\r\n" + std::string(900, 'x'));
    BOOST_TEST(second.wait_for("HTTP/1.1 503 "));
    BOOST_TEST(second.wait_for_end());
    // Once the first is answered there is room again.
    server.it.respond(server.asked[0].exchange, {200, {}, "ok"});
    BOOST_TEST(first.wait_for("ok"));
    second.leave();
    raw_caller third(loop, server.it.port());
    third.send(head + "600\r\n\r\n" + std::string(600, 'x'));
    BOOST_TEST(
        loop.run_until([&] { return server.asked.size() == 2; }, patience));
}

BOOST_AUTO_TEST_CASE(notices_a_caller_that_leaves) {
    reactor loop;
    kept_server server(loop);
    server.answers = false;
    raw_caller caller(loop, server.it.port());
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(loop.run_until([&] { return !server.asked.empty(); }, patience));
    caller.leave();
    BOOST_TEST(loop.run_until([&] { return !server.gone.empty(); }, patience));
    BOOST_TEST(server.gone[0] == server.asked[0].exchange);
    // Its answer goes nowhere, and to no other caller.
    raw_caller other(loop, server.it.port());
    server.it.respond(server.asked[0].exchange, {200, {}, "late"});
    server.answers = true;
    other.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(other.wait_for("ok"));
    BOOST_TEST(other.got.find("late") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(closes_with_the_answer_once_it_stops) {
    reactor loop;
    kept_server server(loop);
    server.it.close_gradually();
    raw_caller caller(loop, server.it.port());
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(caller.wait_for_end());
    BOOST_TEST(caller.got.find("Connection: close") != std::string::npos);
    BOOST_TEST(caller.got.substr(caller.got.size() - 2) == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_client)

BOOST_AUTO_TEST_CASE(sends_only_what_it_was_given) {
    reactor loop;
    raw_target target(loop, {answer_to("1", "body")});
    stream_client client(loop, to_port(target.port));
    const auto result = ask(loop, client, call_with_id("1"));
    BOOST_TEST(result.response.body == "body");
    BOOST_TEST(target.read_bytes[0] == "GET /a HTTP/1.1\r\nId: 1\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(never_sends_again_by_itself) {
    reactor loop;
    raw_target target(loop, {answer_to("1", "a"), "reset"});
    stream_client client(loop, to_port(target.port));
    ask(loop, client, call_with_id("1"));
    const auto result = ask(loop, client, call_with_id("2"));
    BOOST_TEST(result.was_reused);
    BOOST_TEST((result.failure == stream_failure::cut_off));
    BOOST_TEST(target.read_bytes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(passes_over_the_late_answer_to_another_request) {
    reactor loop;
    raw_target target(loop, {answer_to("0", "late") + answer_to("1", "own")});
    stream_client client(loop, to_port(target.port));
    const auto result = ask(loop, client, call_with_id("1"));
    BOOST_TEST(result.response.body == "own");
    BOOST_TEST(client.counters().unmatched_responses == 1U);
}

BOOST_AUTO_TEST_CASE(takes_no_unnamed_answer_on_a_connection_in_use_again) {
    reactor loop;
    const std::string unnamed =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    raw_target target(loop, {answer_to("1", "a"), unnamed, unnamed});
    stream_client client(loop, to_port(target.port));
    ask(loop, client, call_with_id("1"));
    const auto reused = ask(loop, client, call_with_id("2"));
    BOOST_TEST(reused.was_reused);
    BOOST_TEST((reused.failure == stream_failure::malformed));
    // On a new connection there is no other request that it could answer.
    const auto fresh = ask(loop, client, call_with_id("3"));
    BOOST_TEST(!fresh.was_reused);
    BOOST_TEST(fresh.response.body == "late");
}

BOOST_AUTO_TEST_CASE(gives_up_the_longest_of_answers_without_end) {
    constexpr std::size_t piece = 50000;
    reactor loop;
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n";
    raw_target target(loop, {head + "\r\n" + std::string(piece, 'x'),
                             head + "X: " + std::string(piece / 2, 'x'),
                             answer_to("3", "whole")});
    auto options = to_port(target.port);
    options.max_buffered_bytes = piece + piece / 4;
    stream_client client(loop, options);
    std::vector<stream_result> ended;
    for (const auto* id : {"1", "2"}) {
        const auto before = target.read_bytes.size();
        client.start(call_with_id(id),
                     [&](stream_result r) { ended.push_back(std::move(r)); });
        BOOST_REQUIRE(loop.run_until(
            [&] { return target.read_bytes.size() > before; }, patience));
    }
    BOOST_TEST(loop.run_until([&] { return !ended.empty(); }, patience));
    BOOST_TEST((ended[0].failure == stream_failure::malformed));
    BOOST_TEST(client.counters().dropped_responses == 1U);
    BOOST_TEST(ask(loop, client, call_with_id("3")).response.body == "whole");
    // The other one may still end.
    BOOST_TEST(ended.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_no_connection_with_bytes_behind_the_answer) {
    reactor loop;
    raw_target target(loop, {answer_to("1", "a") + answer_to("1", "again"),
                             answer_to("2", "b")});
    stream_client client(loop, to_port(target.port));
    ask(loop, client, call_with_id("1"));
    BOOST_TEST(client.open_connections() == 0U);
    BOOST_TEST(ask(loop, client, call_with_id("2")).response.body == "b");
}

BOOST_AUTO_TEST_CASE(tells_a_whole_answer_without_a_length_from_a_cut_one) {
    reactor loop;
    const std::string open = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it";
    raw_target whole(loop, {open});
    stream_client to_whole(loop, to_port(whole.port));
    BOOST_TEST(ask(loop, to_whole, call_with_id("1")).response.body ==
               "all of it");
    raw_target cut(loop, {open + "|reset"});
    stream_client to_cut(loop, to_port(cut.port));
    BOOST_TEST((ask(loop, to_cut, call_with_id("1")).failure ==
                stream_failure::cut_off));
}

BOOST_AUTO_TEST_CASE(takes_an_answer_cut_short_for_none) {
    reactor loop;
    raw_target target(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nx|"
                             "reset",
                             "no HTTP at all, Content-Length\r\n\r\n"});
    stream_client client(loop, to_port(target.port));
    BOOST_TEST((ask(loop, client, call_with_id("1")).failure ==
                stream_failure::cut_off));
    BOOST_TEST((ask(loop, client, call_with_id("2")).failure ==
                stream_failure::malformed));
}

BOOST_AUTO_TEST_CASE(knows_when_nothing_was_sent) {
    reactor loop;
    std::uint16_t closed = 0;
    {
        raw_target target(loop, {});
        closed = target.port;
    }
    stream_client client(loop, to_port(closed));
    BOOST_TEST((ask(loop, client, call_with_id("1")).failure ==
                stream_failure::not_connected));
}

BOOST_AUTO_TEST_CASE(lets_a_callback_end_another_call) {
    reactor loop;
    raw_target target(loop, {"reset", "reset"});
    stream_client client(loop, to_port(target.port));
    bool is_over = false;
    stream_client::call_id second = 0;
    client.start(call_with_id("1"), [&](const stream_result&) {
        client.cancel(second);
        is_over = true;
    });
    second = client.start(call_with_id("2"),
                          [&](const stream_result&) { is_over = true; });
    BOOST_TEST(loop.run_until([&] { return is_over; }, patience));
    loop.run_until([] { return false; }, 300ms);
}

BOOST_AUTO_TEST_SUITE_END()
