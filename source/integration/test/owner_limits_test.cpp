#include "platform_places.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

const test_owner hot{"hot", "key-of-hot", 10, 10};
const test_owner calm{"calm", "key-of-calm", 2000, 2000};

/// Three nodes with a target each, for two owners with limits.
struct limited_places {
    limited_places() : places(http, {"front", "front", "front"}) {
        places.set_owners({hot, calm});
        places.configure(1);
        BOOST_REQUIRE(places.wait_served());
        BOOST_REQUIRE(http.wait_until(
            [this] { return send(0, hot).response.status == 200; }, 15s));
    }

    io::http_result send(std::size_t n, const test_owner& owner) {
        auto call = places.make_call(n, "/again/front/x",
                                     "id-" + std::to_string(++sent));
        call.headers.push_back({"Api-Key", owner.credential});
        return http.call(call);
    }

    /// Sends calls of both owners for a time; those of each by their status.
    void send_for(duration time) {
        const auto end = steady_now() + time;
        while (steady_now() < end) {
            // Keeps the calls of calm below its rate: 600 a second at most.
            http.sleep(5ms);
            for (std::size_t n = 0; n < places.size(); ++n) {
                const auto result = send(n, hot);
                ++of_hot[result.response.status];
                if (result.response.status == 429)
                    has_retry_after =
                        has_retry_after &&
                        !io::find_header(result.response.headers, "retry-after")
                             .empty();
                ++of_calm[send(n, calm).response.status];
            }
        }
    }

    http_caller http;
    platform_deployment places;
    std::uint64_t sent{};
    std::map<int, int> of_hot;
    std::map<int, int> of_calm;
    bool has_retry_after{true};
};

/// Nodes of two services, and so many owners that each node, also the earlier
/// life of one that was restarted, grants the limits of some.
struct places_of_many_owners {
    static constexpr std::size_t owners = 24;
    /// Fewer than the slots of the targets of a service.
    static constexpr std::size_t clients = 12;

    places_of_many_owners() : places(http, {"front", "front", "back", "back"}) {
        std::vector<test_owner> all;
        for (std::size_t n = 0; n < owners; ++n)
            all.push_back({"owner-" + std::to_string(n), key_of(n), 100, 100});
        places.set_owners(std::move(all));
        places.configure(1);
        for (std::size_t n = 0; n < places.size(); ++n)
            places.at(n).target->run_by(
                [this](const seen_request&, const test_target::end_run& end) {
                    http.loop().after(400ms, [end] { end(200); });
                });
        BOOST_REQUIRE(places.wait_served());
    }

    static std::string key_of(std::size_t owner) {
        return "key-" + std::to_string(owner % owners);
    }

    /// Calls of all owners through a node, one after another from each client,
    /// for a time; the calls by their status.
    std::map<int, int> run_through(std::size_t node, duration time) {
        std::map<int, int> by_status;
        std::size_t open = 0;
        const auto end = steady_now() + time;
        const std::function<void(std::size_t)> next = [&](std::size_t n) {
            if (steady_now() >= end)
                return;
            auto call = places.make_call(node, "/back/x",
                                         "id-" + std::to_string(++sent));
            call.headers.push_back({"Api-Key", key_of(n)});
            ++open;
            client.start(call, [&, n](const io::http_result& result) {
                --open;
                ++by_status[result.response.status];
                next(n + clients);
            });
        };
        for (std::size_t n = 0; n < clients; ++n)
            next(n);
        BOOST_REQUIRE(http.wait_until(
            [&] { return steady_now() >= end && open == 0; }, time + 10s));
        return by_status;
    }

    http_caller http;
    io::http_client client{http.loop(), 64};
    platform_deployment places;
    std::uint64_t sent{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(owners_with_limits)

// Guards against nodes that each let the whole limit in, and against an owner
// whose calls are refused for those of another.
BOOST_FIXTURE_TEST_CASE(send_no_more_over_all_nodes, limited_places) {
    send_for(5s);
    constexpr double bound = (10 * 5 + 10) * 1.1 + 20;
    BOOST_TEST(of_hot[200] <= bound);
    BOOST_TEST(of_hot[200] > 30);
    BOOST_TEST(of_hot[429] > 0);
    BOOST_TEST(has_retry_after);
    BOOST_TEST(of_calm[200] > 0);
    BOOST_TEST(of_calm.size() == 1U);
    const auto metrics = places.metrics_of(1);
    BOOST_TEST(metrics.find("redwingwind_limited_owners 2") !=
               std::string::npos);
    BOOST_TEST(metrics.find("key-of") == std::string::npos);
}

// Guards against buckets that are full again in a new process.
BOOST_FIXTURE_TEST_CASE(send_no_more_when_all_nodes_restart, limited_places) {
    const auto start = steady_now();
    send_for(500ms);
    for (std::size_t n = 0; n < places.size(); ++n)
        places.start_node(n);
    BOOST_REQUIRE(places.wait_served());
    of_calm.clear();
    if (const auto left = start + 5s - steady_now(); left > duration::zero())
        send_for(left);
    constexpr double bound = (10 * 5 + 10) * 1.1 + 20;
    BOOST_TEST(of_hot[200] <= bound);
}

// Guards against frames for the life before a restart that end the links in
// use, and the calls on them.
BOOST_FIXTURE_TEST_CASE(lose_no_call_to_nodes_that_are_back_at_once,
                        places_of_many_owners) {
    // Nodes that were just started refuse the calls of limited owners.
    constexpr int tries = 10;
    int refusals = 1;
    for (int n = 0; n < tries && refusals > 0; ++n)
        refusals = run_through(0, 1s)[429];
    BOOST_REQUIRE(refusals == 0);
    const std::vector<std::size_t> restarted{1, 2};
    for (const auto n : restarted) {
        places.at(n).node->signal(SIGKILL);
        places.at(n).node->wait(5s);
    }
    for (const auto n : restarted)
        places.start_node(n);
    BOOST_REQUIRE(places.wait_served());
    const auto by_status = run_through(0, 5s);
    for (const auto& [status, calls] : by_status)
        BOOST_TEST_MESSAGE(status << ": " << calls);
    // 429 and 503 tell that a call did not run.
    int lost = 0;
    for (const auto& [status, calls] : by_status)
        lost += status == 200 || status == 429 || status == 503 ? 0 : calls;
    BOOST_TEST(lost == 0);
    BOOST_TEST(by_status.contains(200));
}

BOOST_AUTO_TEST_SUITE_END()
