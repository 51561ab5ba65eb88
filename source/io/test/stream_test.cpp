#define BOOST_TEST_MODULE http1_streams
#include "raw_peers.hpp"
#include "raw_server.hpp"

#include <redwingwind/io/http.hpp>

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <cerrno>
#include <csignal>
#include <map>
#include <utility>

using namespace redwingwind;
using namespace redwingwind::io;
using namespace redwingwind::io::test;
using namespace std::chrono_literals;

namespace {

/// Sends a request with each framing, and behind it what could be another one.
void check_rejected(const std::vector<std::string>& framings) {
    for (const auto& framing : framings) {
        reactor loop;
        recording_server server(loop);
        raw_client client(loop, server.it.port());
        client.send("POST /a HTTP/1.1\r\nHost: h\r\n" + framing +
                    "\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_TEST(client.wait_for("HTTP/1.1 400 "), framing);
        BOOST_TEST(client.wait_for_end());
        BOOST_TEST(server.requests.empty());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_event_loop)

BOOST_AUTO_TEST_CASE(reports_a_write_to_a_closed_connection_as_an_error) {
    std::signal(SIGPIPE, SIG_DFL);
    const reactor loop;
    int ends[2] = {-1, -1};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    close(ends[1]);
    BOOST_TEST(write(ends[0], "x", 1) == -1);
    BOOST_TEST(errno == EPIPE);
    close(ends[0]);
}

BOOST_AUTO_TEST_CASE(polls_descriptors_while_timers_are_always_due) {
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
    BOOST_TEST(loop.run_until([&] { return is_read; }, test_timeout));
    watch.reset();
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_CASE(runs_timers_by_the_given_clock) {
    time_point now{1h};
    reactor loop([&] { return now; });
    bool is_due = false;
    loop.after(10s, [&] { is_due = true; });
    loop.run_until([&] { return is_due; }, 20ms);
    BOOST_TEST(!is_due);
    now += 11s;
    BOOST_TEST(loop.run_until([&] { return is_due; }, test_timeout));
}

BOOST_AUTO_TEST_CASE(reports_a_pause_once_and_reads_before_it_runs_timers) {
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
    BOOST_TEST(loop.run_until([&] { return seen.size() >= 4; }, test_timeout));
    const std::vector<std::string> expected{"pause 5000", "read 5000", "first",
                                            "second"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
    BOOST_TEST((loop.current_pause() == duration::zero()));
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server)

BOOST_AUTO_TEST_CASE(passes_on_the_target_and_the_headers_unchanged) {
    reactor loop;
    recording_server server(loop);
    raw_client client(loop, server.it.port());
    client.send("GET /a%2Fb%20c?x=%26y HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n");
    BOOST_TEST(client.wait_for("ok"));
    BOOST_REQUIRE(server.requests.size() == 1U);
    const auto& request = server.requests[0].request;
    BOOST_TEST(request.target == "/a%2Fb%20c?x=%26y");
    BOOST_TEST(request.headers.size() == 2U);
}

BOOST_AUTO_TEST_CASE(accepts_bodies_with_a_length_and_chunked_bodies) {
    reactor loop;
    recording_server server(loop);
    raw_client client(loop, server.it.port());
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    BOOST_TEST(loop.run_until([&] { return server.requests.size() == 2; },
                              test_timeout));
    BOOST_TEST(server.requests[0].request.body == "abc");
    BOOST_TEST(server.requests[1].request.body == "def");
}

// Where two lengths contradict each other, the bytes behind the body could be
// run as a second request (request smuggling).
BOOST_AUTO_TEST_CASE(rejects_requests_with_contradictory_or_invalid_lengths) {
    const std::vector<std::string> framings{
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 5",
        "Content-Length: -1"};
    check_rejected(framings);
}

// Guards against a body that is run as the next request.
BOOST_AUTO_TEST_CASE(rejects_requests_with_another_coding_than_chunked) {
    const std::string name = "Transfer-Encoding: ";
    check_rejected({name + "gzip", name + "identity", name + "\"chunked\"",
                    name, name + "chunked, gzip", name + "gzip, chunked",
                    name + "chunked\r\n" + name + "chunked",
                    name + "gzip\r\n" + name + "chunked"});
}

BOOST_AUTO_TEST_CASE(rejects_headers_and_bodies_that_are_too_large) {
    reactor loop;
    stream_limits limits;
    limits.message = {256, 10};
    recording_server server(loop, limits);
    raw_client with_header(loop, server.it.port());
    with_header.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " +
                     std::string(400, 'x') + "\r\n\r\n");
    BOOST_TEST(with_header.wait_for("HTTP/1.1 431 "));
    raw_client with_body(loop, server.it.port());
    with_body.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(with_body.wait_for("HTTP/1.1 413 "));
    for (const std::string framing : {"4;x=", "0\r\nX: "}) {
        raw_client with_chunk(loop, server.it.port());
        with_chunk.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n" +
                        framing + std::string(400, 'x'));
        BOOST_TEST(with_chunk.wait_for("HTTP/1.1 431 "));
    }
    BOOST_TEST(server.requests.empty());
}

BOOST_AUTO_TEST_CASE(rejects_requests_beyond_its_buffer_limit) {
    reactor loop;
    stream_limits limits;
    limits.max_buffered_bytes = 1000;
    recording_server server(loop, limits);
    server.responds = false;
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ";
    raw_client first(loop, server.it.port());
    first.send(head + "600\r\n\r\n" + std::string(600, 'x'));
    BOOST_TEST(
        loop.run_until([&] { return !server.requests.empty(); }, test_timeout));
    raw_client second(loop, server.it.port());
    second.send(head + "5000\r\n\r\n" + std::string(900, 'x'));
    BOOST_TEST(second.wait_for("HTTP/1.1 503 "));
    BOOST_TEST(second.wait_for_end());
    // The response to the first request frees its buffer.
    server.it.respond(server.requests[0].exchange, {200, {}, "ok"});
    BOOST_TEST(first.wait_for("ok"));
    second.disconnect();
    raw_client third(loop, server.it.port());
    third.send(head + "600\r\n\r\n" + std::string(600, 'x'));
    BOOST_TEST(loop.run_until([&] { return server.requests.size() == 2; },
                              test_timeout));
}

BOOST_AUTO_TEST_CASE(detects_a_client_that_disconnects) {
    reactor loop;
    recording_server server(loop);
    server.responds = false;
    raw_client client(loop, server.it.port());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(
        loop.run_until([&] { return !server.requests.empty(); }, test_timeout));
    client.disconnect();
    BOOST_TEST(loop.run_until(
        [&] { return !server.disconnected_exchanges.empty(); }, test_timeout));
    BOOST_TEST(server.disconnected_exchanges[0] == server.requests[0].exchange);
    // The late response is discarded and reaches no other client.
    raw_client other(loop, server.it.port());
    server.it.respond(server.requests[0].exchange, {200, {}, "late"});
    server.responds = true;
    other.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(other.wait_for("ok"));
    BOOST_TEST(other.received.find("late") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(closes_the_connection_after_the_response_while_it_stops) {
    reactor loop;
    recording_server server(loop);
    server.it.close_gradually();
    raw_client client(loop, server.it.port());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(client.wait_for_end());
    BOOST_TEST(client.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(client.received.substr(client.received.size() - 2) == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_client)

BOOST_AUTO_TEST_CASE(sends_only_the_given_headers) {
    reactor loop;
    scripted_server target(loop, {response_to("1", "body")});
    stream_client client(loop, options_for_port(target.port));
    const auto result = run_call(loop, client, call_with_id("1"));
    BOOST_TEST(result.response.body == "body");
    BOOST_TEST(target.read_bytes[0] == "GET /a HTTP/1.1\r\nId: 1\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(never_resends_a_request) {
    reactor loop;
    scripted_server target(loop, {response_to("1", "a"), "reset"});
    stream_client client(loop, options_for_port(target.port));
    run_call(loop, client, call_with_id("1"));
    const auto result = run_call(loop, client, call_with_id("2"));
    BOOST_TEST(result.was_reused);
    BOOST_TEST((result.failure == stream_failure::cut_off));
    BOOST_TEST(target.read_bytes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(skips_a_late_response_to_another_request) {
    reactor loop;
    scripted_server target(
        loop, {response_to("0", "late") + response_to("1", "own")});
    stream_client client(loop, options_for_port(target.port));
    const auto result = run_call(loop, client, call_with_id("1"));
    BOOST_TEST(result.response.body == "own");
    BOOST_TEST(client.counters().unmatched_responses == 1U);
    BOOST_TEST(result.skipped_responses == 1U);
    BOOST_TEST(result.connection == 1U);
}

// The late copy has the echo value of the request that waits.
BOOST_AUTO_TEST_CASE(
    gives_a_resent_request_no_copy_of_the_response_to_the_first_sending) {
    reactor loop;
    std::map<std::size_t, std::string> copies;
    int arrivals = 0;
    raw_server target(loop, [&](const raw_request& it) {
        const auto own =
            response_to("1", ++arrivals == 1 ? "refused" : "served");
        return raw_reply{std::exchange(copies[it.connection], own) + own};
    });
    stream_client client(loop, options_for_port(target.port()));
    BOOST_TEST(run_call(loop, client, call_with_id("1")).response.body ==
               "refused");
    BOOST_TEST(run_call(loop, client, call_with_id("1")).response.body ==
               "served");
}

// A target may hold few connections; each one beyond is reset.
BOOST_AUTO_TEST_CASE(
    opens_no_connection_for_a_resent_request_that_may_share_one) {
    reactor loop;
    raw_server target(loop, [](const raw_request& it) {
        const auto id = find_header(it.request.headers, "Id");
        return raw_reply{response_to(id, std::to_string(it.connection))};
    });
    stream_client client(loop, options_for_port(target.port()));
    const auto send = [&](const std::string& id, bool may_share) {
        auto call = call_with_id(id);
        call.may_share_connection = may_share;
        return run_call(loop, client, std::move(call)).response.body;
    };
    BOOST_TEST(send("1", true) == "0");
    BOOST_TEST(send("1", true) == "1");
    BOOST_TEST(send("2", true) == "1");
    BOOST_TEST(send("2", true) == "0");
    BOOST_TEST(target.connections() == 2U);
    BOOST_TEST(send("2", false) == "2");
}

// Each response carries the number of the sending that it belongs to; copies
// of any earlier response of a connection may precede the next one on it.
BOOST_AUTO_TEST_CASE(gives_each_sending_its_own_response_whatever_comes_late) {
    const bool holds = rc::check([] {
        reactor loop;
        std::map<std::size_t, std::vector<std::string>> written;
        int arrivals = 0;
        raw_server target(loop, [&](const raw_request& it) {
            auto& earlier = written[it.connection];
            std::string bytes;
            if (!earlier.empty() && *rc::gen::arbitrary<bool>())
                bytes = *rc::gen::elementOf(earlier);
            earlier.push_back(response_to(find_header(it.request.headers, "Id"),
                                          std::to_string(++arrivals)));
            return raw_reply{bytes + earlier.back()};
        });
        stream_client client(loop, options_for_port(target.port()));
        const auto ids =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const auto id : ids) {
            const auto sent = arrivals;
            auto call = call_with_id(std::to_string(id));
            call.may_share_connection = *rc::gen::arbitrary<bool>();
            const auto result = run_call(loop, client, std::move(call));
            RC_ASSERT(result.response.body == std::to_string(sent + 1));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(gives_a_request_without_echo_value_no_late_response) {
    reactor loop;
    const std::string unnamed =
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\n";
    raw_server target(loop, [&](const raw_request& it) {
        if (find_header(it.request.headers, "Id") == "1")
            return raw_reply{response_to("1", "a")};
        return raw_reply{(it.index == 0 ? "" : unnamed + "late") + unnamed +
                         "own "};
    });
    stream_client client(loop, options_for_port(target.port()));
    run_call(loop, client, call_with_id("1"));
    for (int n = 0; n < 2; ++n)
        BOOST_TEST(run_call(loop, client, call_with_id("")).response.body ==
                   "own ");
}

BOOST_AUTO_TEST_CASE(
    rejects_a_response_without_echo_header_on_a_reused_connection) {
    reactor loop;
    const std::string unnamed =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    scripted_server target(loop, {response_to("1", "a"), unnamed, unnamed});
    stream_client client(loop, options_for_port(target.port));
    run_call(loop, client, call_with_id("1"));
    const auto reused = run_call(loop, client, call_with_id("2"));
    BOOST_TEST(reused.was_reused);
    BOOST_TEST((reused.failure == stream_failure::malformed));
    // On a new connection there is no earlier request that it could belong to.
    const auto fresh = run_call(loop, client, call_with_id("3"));
    BOOST_TEST(!fresh.was_reused);
    BOOST_TEST(fresh.response.body == "late");
}

BOOST_AUTO_TEST_CASE(drops_the_largest_response_beyond_its_buffer_limit) {
    constexpr std::size_t piece_bytes = 50000;
    reactor loop;
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n";
    scripted_server target(loop,
                           {head + "\r\n" + std::string(piece_bytes, 'x'),
                            head + "X: " + std::string(piece_bytes / 2, 'x'),
                            response_to("3", "whole")});
    auto options = options_for_port(target.port);
    options.max_buffered_bytes = piece_bytes + piece_bytes / 4;
    stream_client client(loop, options);
    std::vector<stream_result> ended;
    for (const auto* id : {"1", "2"}) {
        const auto before = target.read_bytes.size();
        client.start(call_with_id(id),
                     [&](stream_result r) { ended.push_back(std::move(r)); });
        BOOST_REQUIRE(loop.run_until(
            [&] { return target.read_bytes.size() > before; }, test_timeout));
    }
    BOOST_TEST(loop.run_until([&] { return !ended.empty(); }, test_timeout));
    BOOST_TEST((ended[0].failure == stream_failure::malformed));
    BOOST_TEST(client.counters().dropped_responses == 1U);
    BOOST_TEST(run_call(loop, client, call_with_id("3")).response.body ==
               "whole");
    // The smaller response is still pending.
    BOOST_TEST(ended.size() == 1U);
}

BOOST_AUTO_TEST_CASE(closes_a_connection_with_bytes_after_the_response) {
    reactor loop;
    scripted_server target(loop,
                           {response_to("1", "a") + response_to("1", "again"),
                            response_to("2", "b")});
    stream_client client(loop, options_for_port(target.port));
    run_call(loop, client, call_with_id("1"));
    BOOST_TEST(client.open_connections() == 0U);
    BOOST_TEST(run_call(loop, client, call_with_id("2")).response.body == "b");
}

BOOST_AUTO_TEST_CASE(
    distinguishes_a_complete_response_without_length_from_a_truncated_one) {
    reactor loop;
    const std::string open = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it";
    scripted_server whole(loop, {open});
    stream_client to_whole(loop, options_for_port(whole.port));
    BOOST_TEST(run_call(loop, to_whole, call_with_id("1")).response.body ==
               "all of it");
    scripted_server cut(loop, {open + "|reset"});
    stream_client to_cut(loop, options_for_port(cut.port));
    BOOST_TEST((run_call(loop, to_cut, call_with_id("1")).failure ==
                stream_failure::cut_off));
}

// Every part of a response, in an orderly close and in a reset.
BOOST_AUTO_TEST_CASE(takes_no_part_of_a_response_for_the_whole) {
    const std::string with_length =
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody";
    const std::string in_chunks =
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n";
    const std::string without_length = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";
    for (const auto& whole : {with_length, in_chunks, without_length})
        for_each_part(whole, [](reactor& loop, std::uint16_t port,
                                const std::string& part) {
            stream_client client(loop, options_for_port(port));
            const auto result = run_call(loop, client, call_with_id("1"));
            BOOST_TEST((result.failure == stream_failure::cut_off), part);
        });
}

// Guards against a coded body that is passed on as a plain one.
BOOST_AUTO_TEST_CASE(takes_no_response_with_another_coding_than_chunked) {
    for (const std::string coding : {"gzip", "gzip, chunked", "identity", ""}) {
        reactor loop;
        const raw_server target(loop, [&](const raw_request&) {
            return raw_reply{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: " +
                                 coding + "\r\n\r\n0\r\n\r\n",
                             raw_reply::ending::closes};
        });
        stream_client client(loop, options_for_port(target.port()));
        const auto result = run_call(loop, client, call_with_id("1"));
        BOOST_TEST((result.failure == stream_failure::malformed), coding);
    }
}

// Guards against half of a body that counts as the whole: a write takes the
// error of the reset, and the next read sees an orderly end.
BOOST_AUTO_TEST_CASE(takes_no_reset_during_its_request_for_the_end_of_a_body) {
    for (int n = 0; n < 10; ++n) {
        reactor loop;
        const scripted_server target(
            loop, {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf|reset"});
        stream_client client(loop, options_for_port(target.port));
        auto call = call_with_id("1");
        call.request.method = "POST";
        call.request.body = std::string(std::size_t{20} << 20U, 'b');
        const auto result = run_call(loop, client, std::move(call));
        BOOST_TEST((result.failure == stream_failure::cut_off));
    }
}

// Guards against a number that callers get as the status of their response.
BOOST_AUTO_TEST_CASE(takes_no_status_that_a_response_cannot_have) {
    for (const std::string status :
         {"000", "001", "099", "101", "600", "999"}) {
        reactor loop;
        const raw_server target(loop, [&](const raw_request&) {
            return raw_reply{"HTTP/1.1 " + status +
                             " x\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"};
        });
        stream_client client(loop, options_for_port(target.port()));
        const auto result = run_call(loop, client, call_with_id("1"));
        BOOST_TEST((result.failure == stream_failure::malformed), status);
        BOOST_TEST(client.open_connections() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(reads_on_behind_an_interim_response) {
    for (const std::string status : {"100", "102", "103", "199"}) {
        reactor loop;
        const raw_server target(loop, [&](const raw_request&) {
            return raw_reply{"HTTP/1.1 " + status + " x\r\nLink: a\r\n\r\n" +
                             response_to("1", "body")};
        });
        stream_client client(loop, options_for_port(target.port()));
        const auto result = run_call(loop, client, call_with_id("1"));
        BOOST_TEST((result.failure == stream_failure::none), status);
        BOOST_TEST(result.response.body == "body");
        BOOST_TEST(find_header(result.response.headers, "Link").empty());
    }
}

// Guards against bytes without end that are kept, or read until the deadline.
BOOST_AUTO_TEST_CASE(gives_up_a_response_that_does_not_come_to_its_end) {
    constexpr std::size_t long_part = 200'000;
    const std::string x(long_part, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: 1\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
    std::string interim;
    std::string of_others;
    for (int n = 0; n < 100; ++n) {
        interim += "HTTP/1.1 102 x\r\n\r\n";
        of_others += response_to("2", "body");
    }
    const std::vector<std::pair<std::string, std::string>> all{
        {"HTTP/1.1 200 ", x},  {"HTTP/1.1 200 OK\r\nX: ", x},
        {chunked + "4;x=", x}, {chunked + "0\r\nX: ", x},
        {{}, interim},         {{}, of_others}};
    for (const auto& [head, rest] : all) {
        const auto bytes = head + rest;
        reactor loop;
        const raw_server target(
            loop, [&](const raw_request&) { return raw_reply{bytes}; });
        stream_client client(loop, options_for_port(target.port()));
        const auto result = run_call(loop, client, call_with_id("1"));
        BOOST_TEST((result.failure == stream_failure::malformed),
                   bytes.substr(0, 80));
        BOOST_TEST(client.open_connections() == 0U);
    }
}

// A target could otherwise report behind a body that it did not run the call.
BOOST_AUTO_TEST_CASE(takes_no_field_behind_a_chunked_body_for_a_header) {
    reactor loop;
    raw_server target(loop, [&](const raw_request&) {
        return raw_reply{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "Id: 1\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"};
    });
    stream_client client(loop, options_for_port(target.port()));
    const auto result = run_call(loop, client, call_with_id("1"));
    BOOST_TEST(result.response.body == "body");
    BOOST_TEST(find_header(result.response.headers, "A").empty());
    recording_server server(loop);
    raw_client caller(loop, server.it.port());
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n");
    BOOST_TEST(caller.wait_for("ok"));
    BOOST_TEST(find_header(server.requests.at(0).request.headers, "A").empty());
}

BOOST_AUTO_TEST_CASE(reports_truncated_and_invalid_responses) {
    reactor loop;
    scripted_server target(loop,
                           {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nx|"
                            "reset",
                            "no HTTP at all, Content-Length\r\n\r\n"});
    stream_client client(loop, options_for_port(target.port));
    BOOST_TEST((run_call(loop, client, call_with_id("1")).failure ==
                stream_failure::cut_off));
    BOOST_TEST((run_call(loop, client, call_with_id("2")).failure ==
                stream_failure::malformed));
}

BOOST_AUTO_TEST_CASE(reports_a_refused_connection_as_not_connected) {
    reactor loop;
    std::uint16_t closed = 0;
    {
        scripted_server target(loop, {});
        closed = target.port;
    }
    stream_client client(loop, options_for_port(closed));
    BOOST_TEST((run_call(loop, client, call_with_id("1")).failure ==
                stream_failure::not_connected));
}

// The callback of the first failed call cancels the second one, which may have
// failed as well.
BOOST_AUTO_TEST_CASE(lets_a_callback_cancel_another_call) {
    reactor loop;
    scripted_server target(loop, {"reset", "reset"});
    stream_client client(loop, options_for_port(target.port));
    bool is_over = false;
    stream_client::call_id second = 0;
    client.start(call_with_id("1"), [&](const stream_result&) {
        client.cancel(second);
        is_over = true;
    });
    second = client.start(call_with_id("2"),
                          [&](const stream_result&) { is_over = true; });
    BOOST_TEST(loop.run_until([&] { return is_over; }, test_timeout));
    loop.run_until([] { return false; }, 300ms);
}

BOOST_AUTO_TEST_SUITE_END()
