#include "../../io/test/raw_server.hpp"
#include "platform_places.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;
using io::test::raw_reply;
using io::test::raw_request;
using io::test::raw_server;

namespace {

std::string id_of(const raw_request& it) {
    return io::find_header(it.request.headers, "Request-Id");
}

std::string refusal_of(const std::string& id) {
    return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
           "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string response_of(const std::string& id) {
    const auto body = "done " + id;
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A node of service "front", and two of service "back" whose targets are
/// played byte by byte.
struct faulty_targets {
    using handler = raw_server::handler;

    explicit faulty_targets(const handler& respond)
        : places(http, {"front", "back", "back"}) {
        for (const std::size_t n : {1U, 2U}) {
            auto& place = places.at(n);
            targets.push_back(
                std::make_unique<raw_server>(http.loop(), respond));
            place.target_port = targets.back()->port();
            place.node->signal(SIGKILL);
            place.node->wait(5s);
            places.start_node(n);
        }
        places.configure(1);
        BOOST_REQUIRE(places.wait_served());
    }

    http_caller http;
    platform_deployment places;
    std::vector<std::unique_ptr<raw_server>> targets;
};

/// A node on the product's own interface; the target beside it is played byte
/// by byte.
struct own_interface {
    explicit own_interface(const raw_server::handler& respond)
        : places(http, {{""}, "", {}, {}}), target(http.loop(), respond) {
        const nlohmann::json said{
            {"service", "front"},
            {"slots", 8},
            {"address", "127.0.0.1:" + std::to_string(target.port())}};
        BOOST_REQUIRE(http.wait_until(
            [&] {
                return http.post(places.at(0).local_url() + "/announce",
                                 said.dump())
                           .response.status == 200;
            },
            10s));
    }

    io::http_result send(const std::string& id) {
        return http.call(places.make_call(0, "/front/work", id));
    }

    http_caller http;
    deployment places;
    raw_server target;
};

std::string own_response(const std::string& id, bool is_named) {
    return "HTTP/1.1 200 OK\r\n" +
           (is_named ? "Rww-Request-Id: " + id + "\r\n" : std::string()) +
           "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

} // namespace

BOOST_AUTO_TEST_SUITE(on_the_own_interface)
BOOST_AUTO_TEST_SUITE(a_faulty_target)

// Before each response the one before it on the connection comes once more.
BOOST_AUTO_TEST_CASE(that_repeats_its_responses_mixes_no_calls) {
    for (const bool is_named : {true, false}) {
        std::map<std::size_t, std::string> late;
        own_interface it([&](const raw_request& arrival) {
            const auto own = own_response(
                io::find_header(arrival.request.headers, "Rww-Request-Id"),
                is_named);
            return raw_reply{std::exchange(late[arrival.connection], own) +
                             own};
        });
        for (const std::string id : {"r1", "r2", "r3"}) {
            const auto result = it.send(id);
            BOOST_TEST(outcome_of(result) == "done");
            BOOST_TEST(result.response.body == id);
        }
    }
}

BOOST_AUTO_TEST_CASE(that_stops_within_its_header_has_no_success) {
    own_interface it([&](const raw_request&) {
        return raw_reply{"HTTP/1.1 200 OK\r\nContent-Len",
                         raw_reply::ending::closes};
    });
    BOOST_TEST(outcome_of(it.send("r1")) == "unknown");
}

BOOST_AUTO_TEST_CASE(that_closed_a_kept_connection_fails_no_browsing) {
    own_interface it([&](const raw_request& arrival) {
        if (arrival.index > 0)
            return raw_reply{"", raw_reply::ending::closes};
        return raw_reply{own_response(
            io::find_header(arrival.request.headers, "Rww-Request-Id"), true)};
    });
    for (const std::string id : {"r1", "r2", "r3"})
        BOOST_TEST(outcome_of(it.send(id)) == "done");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_the_platform)
BOOST_AUTO_TEST_SUITE(a_faulty_target)

// Each request is refused twice and served then. A target writes each refusal
// once more, where the next response on that connection is due.
BOOST_AUTO_TEST_CASE(that_repeats_its_refusals_has_no_order_run_twice) {
    std::map<std::string, int> arrivals;
    std::map<std::string, int> runs;
    std::map<std::pair<std::string, std::size_t>, std::string> late;
    faulty_targets it([&](const raw_request& arrival) {
        const auto id = id_of(arrival);
        auto& copy =
            late[{io::find_header(arrival.request.headers, "Expected-Instance"),
                  arrival.connection}];
        const bool is_refused = ++arrivals[id] <= 2;
        runs[id] += is_refused ? 0 : 1;
        const auto own = is_refused ? refusal_of(id) : response_of(id);
        return raw_reply{std::exchange(copy, is_refused ? own : "") + own};
    });
    int served = 0;
    for (int n = 0; n < 10; ++n) {
        const auto id = "r" + std::to_string(n);
        const auto answer = it.places.send(0, "/back/", id).response;
        // Beyond the retry budget a request is refused, and has not run.
        if (answer.status == 503) {
            BOOST_TEST(runs[id] == 0);
            continue;
        }
        ++served;
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "done " + id);
        BOOST_TEST(runs[id] == 1);
    }
    BOOST_TEST(served >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
