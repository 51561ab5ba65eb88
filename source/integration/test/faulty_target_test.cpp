#include "../../io/test/raw_server.hpp"
#include "platform_places.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <set>

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

std::uint32_t seed_of_faults() {
    constexpr std::uint32_t fixed = 20261205;
    const char* given = std::getenv("RWW_TEST_SEED");
    return given == nullptr
               ? fixed
               : static_cast<std::uint32_t>(std::strtoul(given, nullptr, 10));
}

/// Targets that misbehave at random, and what they did with each request.
class random_faults {
  public:
    explicit random_faults(std::uint32_t seed) : random_(seed) {}

    raw_reply respond(const raw_request& arrival) {
        const auto id = id_of(arrival);
        auto& earlier = written_[{
            io::find_header(arrival.request.headers, "Expected-Instance"),
            arrival.connection}];
        std::string late;
        if (!earlier.empty() && chance(0.4))
            late = earlier[random_() % earlier.size()];
        if (chance(0.3)) {
            earlier.push_back(refusal_of(id));
            return {late + earlier.back() +
                    (chance(0.2) ? earlier.back() : std::string())};
        }
        ++runs[id];
        const bool fails = chance(0.05);
        const auto whole = fails ? failure_of(id) : response_of(id);
        if (chance(0.08))
            return {late + whole.substr(0, random_() % whole.size()),
                    chance(0.5) ? raw_reply::ending::closes
                                : raw_reply::ending::resets};
        if (chance(0.02))
            return {late};
        failed.insert(fails ? id : "");
        earlier.push_back(whole);
        return {late + whole + (chance(0.1) ? whole : std::string())};
    }

    std::map<std::string, int> runs;
    /// Requests that got a whole response of a failure.
    std::set<std::string> failed;

  private:
    bool chance(double share) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    static std::string failure_of(const std::string& id) {
        return "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + id +
               "\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n";
    }

    std::mt19937 random_;
    std::map<std::pair<std::string, std::size_t>, std::vector<std::string>>
        written_;
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

// Guards against a caller that gets the number as its status, or nothing until
// its deadline.
BOOST_AUTO_TEST_CASE(that_sends_no_status_is_answered_for_at_once) {
    faulty_targets it([&](const raw_request& arrival) {
        const auto id = id_of(arrival);
        const auto* status = id.starts_with("low") ? "000" : "600";
        return raw_reply{"HTTP/1.1 " + std::string(status) +
                         response_of(id).substr(sizeof("HTTP/1.1 200") - 1)};
    });
    for (const std::string id : {"low", "high"})
        for (const std::string path : {"/back/", "/again/back/"}) {
            const auto started = steady_now();
            const auto answer = it.places.send(0, path, id + path).response;
            BOOST_TEST(answer.status == 502, id << path);
            BOOST_TEST((steady_now() - started < 1s));
        }
}

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

// Late and doubled responses, refusals, parts of responses, silence.
BOOST_AUTO_TEST_CASE(that_misbehaves_at_random_breaks_no_promise) {
    random_faults faults(seed_of_faults());
    faulty_targets it([&](const raw_request& a) { return faults.respond(a); });
    struct pending {
        std::string id;
        bool runs_once{};
        std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
        std::shared_ptr<io::http_result> result;
    };
    std::vector<pending> all;
    for (int batch = 0; batch < 40; ++batch) {
        for (int n = 0; n < 10; ++n) {
            pending call;
            call.id = std::to_string(batch) + "-" + std::to_string(n);
            call.runs_once = n % 3 != 0;
            auto request = it.places.make_call(
                0, call.runs_once ? "/back/" : "/again/back/", call.id);
            request.headers.back().value = "800";
            call.result = it.http.start(request, call.is_done);
            all.push_back(call);
        }
        it.http.sleep(60ms);
    }
    BOOST_REQUIRE(it.http.wait_until(
        [&] {
            return std::all_of(all.begin(), all.end(),
                               [](const auto& call) { return *call.is_done; });
        },
        20s));
    std::size_t served = 0;
    for (const auto& call : all) {
        const auto& answer = call.result->response;
        const auto runs = faults.runs[call.id];
        const auto shown = call.id + ": " + std::to_string(answer.status) +
                           ", runs " + std::to_string(runs);
        if (call.runs_once)
            BOOST_TEST(runs <= 1, shown);
        if (call.runs_once && answer.status == 503)
            BOOST_TEST(runs == 0, shown);
        if (answer.status == 500)
            BOOST_TEST(faults.failed.contains(call.id), shown);
        if (answer.status != 200)
            continue;
        ++served;
        BOOST_TEST(answer.body == "done " + call.id);
        BOOST_TEST(io::find_header(answer.headers, "Response-Seal") == "s");
        BOOST_TEST(runs >= 1, shown);
    }
    BOOST_TEST(served > all.size() / 4);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
