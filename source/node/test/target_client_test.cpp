#include "target_client.hpp"

#include "../../io/test/raw_server.hpp"

#include <redwingwind/io/http.hpp>

#include <boost/test/unit_test.hpp>

using namespace redwingwind;
using namespace redwingwind::node;
using namespace redwingwind::io::test;
using engine::target_end;
using engine::target_result;
using namespace std::chrono_literals;

namespace {

raw_reply named_reply(const raw_request& it, const std::string& body) {
    const auto id = io::find_header(it.request.headers, "Rww-Request-Id");
    return raw_reply{"HTTP/1.1 200 OK\r\nRww-Request-Id: " + id +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body};
}

struct client_of_a_target {
    void start(std::uint64_t execution, bool is_idempotent = true) {
        target_call call;
        call.method = "POST";
        call.path = "/work";
        call.id = "r" + std::to_string(execution);
        call.headers = {{"Rww-Request-Id", call.id}};
        call.time_left = 300ms;
        call.is_idempotent = is_idempotent;
        client.start(execution, std::move(call),
                     [this, execution](target_result result) {
                         results.emplace(execution, std::move(result));
                     });
    }
    target_result wait(std::uint64_t execution) {
        BOOST_REQUIRE(loop.run_until(
            [&] { return results.contains(execution); }, test_timeout));
        return results.at(execution);
    }

    io::reactor loop;
    target_client client{loop, 1000};
    std::map<std::uint64_t, target_result> results;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(calls_to_the_own_target, client_of_a_target)

BOOST_AUTO_TEST_CASE(before_it_announced_itself_are_not_connected) {
    start(1);
    BOOST_TEST((wait(1).end == target_end::not_connected));
}

BOOST_AUTO_TEST_CASE(end_where_they_went_when_it_moves) {
    raw_server old_target(loop, [](const raw_request& it) {
        return it.index == 0 ? named_reply(it, "old") : raw_reply{};
    });
    raw_server new_target(
        loop, [](const raw_request& it) { return named_reply(it, "new"); });
    client.set_address({"127.0.0.1", old_target.port()});
    start(1);
    BOOST_TEST(wait(1).body == "old");
    // The old one never responds to this one.
    start(2, false);
    client.set_address({"127.0.0.1", new_target.port()});
    start(3);
    BOOST_TEST(wait(3).body == "new");
    BOOST_TEST((wait(2).end == target_end::timed_out));
    start(4);
    BOOST_TEST(wait(4).body == "new");
}

BOOST_AUTO_TEST_CASE(that_must_run_once_are_not_sent_again) {
    std::size_t arrivals = 0;
    raw_server target(loop, [&](const raw_request& it) {
        ++arrivals;
        return it.index == 0 ? named_reply(it, "first")
                             : raw_reply{"", raw_reply::ending::closes};
    });
    client.set_address({"127.0.0.1", target.port()});
    start(1);
    wait(1);
    start(2, false);
    BOOST_TEST((wait(2).end == target_end::cut_off));
    BOOST_TEST(arrivals == 2U);
    start(3);
    wait(3);
    start(4);
    BOOST_TEST(wait(4).body == "first");
}

BOOST_AUTO_TEST_CASE(end_without_their_callback_when_cancelled) {
    raw_server target(loop, [](const raw_request&) { return raw_reply{}; });
    client.set_address({"127.0.0.1", target.port()});
    start(1);
    client.cancel(1);
    client.cancel(1);
    BOOST_TEST(!loop.run_until([&] { return !results.empty(); }, 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
