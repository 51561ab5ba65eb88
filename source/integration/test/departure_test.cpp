#include "platform_places.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace redwingwind;
using namespace redwingwind::integration;
using namespace std::chrono_literals;

namespace {

/// A node of service "front", and two of service "back", of which the target
/// beside the first leaves.
struct leaving_target {
    static constexpr std::size_t leaving = 1;

    static constexpr std::size_t other = 2;
    static constexpr int late_heartbeats = 2;
    /// A target is absent after four intervals without a heartbeat.
    static constexpr node_limits limits{.heartbeat_s = 2};

    leaving_target() : places(http, {"front", "back", "back"}, 4, limits) {
        for (std::size_t n = 0; n < places.size(); ++n)
            places.at(n).started_ms = wall_microseconds() / 1000;
        places.configure(1);
        BOOST_REQUIRE(places.wait_served());
    }

    /// Sends orders for a second; those that the leaving target ran.
    std::size_t orders_run() {
        const auto before = places.at(leaving).target->runs();
        for (int n = 0; n < 20; ++n) {
            const auto id = "r" + std::to_string(sent_++);
            const auto at = n % 2 == 0 ? std::size_t{0} : leaving;
            BOOST_TEST(places.send(at, "/back/", id).response.status == 200);
            http.sleep(50ms);
        }
        return places.at(leaving).target->runs() - before;
    }

    void restart_node() { restart_nodes({leaving}); }

    /// Kills them at the same moment.
    void restart_nodes(const std::vector<std::size_t>& nodes) {
        for (const auto n : nodes)
            places.at(n).node->signal(SIGKILL);
        for (const auto n : nodes)
            places.at(n).node->wait(5s);
        for (const auto n : nodes)
            places.start_node(n);
        BOOST_REQUIRE(places.wait_ready());
    }

    /// Delivers heartbeats that were sent before the departure. The first is
    /// repeated until the node listens.
    void deliver_late_heartbeats() {
        for (int n = 0; n < late_heartbeats; ++n) {
            BOOST_REQUIRE(http.wait_until(
                [&] { return places.beat(leaving).status == 200; }, 10s));
            BOOST_TEST(places.beat(other).status == 200);
            http.sleep(1500ms);
        }
    }

    http_caller http;
    platform_deployment places;

  private:
    int sent_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(on_the_platform)

BOOST_FIXTURE_TEST_SUITE(a_target_that_left, leaving_target)

// Guards against a heartbeat of before the departure that brings it back.
BOOST_AUTO_TEST_CASE(is_not_used_again_for_a_late_heartbeat) {
    BOOST_TEST(orders_run() > 0U);
    BOOST_TEST(places.leave(leaving).status == 200);
    BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(orders_run() == 0U);
}

BOOST_AUTO_TEST_CASE(is_not_used_again_while_the_store_is_away) {
    places.store_faults(R"({"refuse":true})");
    BOOST_TEST(places.leave(leaving).status == 200);
    BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(orders_run() == 0U);
}

// Guards against a restart that forgets the departure.
BOOST_AUTO_TEST_CASE(is_not_used_again_after_a_restart_of_its_node) {
    BOOST_TEST(places.leave(leaving).status == 200);
    restart_node();
    BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(orders_run() == 0U);
}

BOOST_AUTO_TEST_CASE(is_not_used_again_after_a_restart_without_the_store) {
    BOOST_TEST(places.leave(leaving).status == 200);
    places.at(leaving).node->signal(SIGKILL);
    places.at(leaving).node->wait(5s);
    places.store_faults(R"({"refuse":true})");
    places.start_node(leaving);
    http.sleep(500ms);
    // Longer than a node waits for others.
    deliver_late_heartbeats();
    places.store_faults(R"({"refuse":false})");
    BOOST_REQUIRE(places.wait_ready());
    http.sleep(500ms);
    BOOST_TEST(orders_run() == 0U);
}

BOOST_AUTO_TEST_CASE(that_said_draining_is_not_used_again_after_a_restart) {
    BOOST_TEST(places.beat(leaving, "draining").status == 200);
    restart_node();
    places.at(leaving).sequence -= 2;
    BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(orders_run() == 0U);
}

// Guards against late heartbeats that confirm each other.
BOOST_AUTO_TEST_CASE(is_not_used_again_for_late_heartbeats_after_a_restart) {
    BOOST_TEST(places.leave(leaving).status == 200);
    restart_node();
    deliver_late_heartbeats();
    BOOST_TEST(orders_run() == 0U);
}

BOOST_AUTO_TEST_CASE(is_not_used_again_after_the_loss_of_several_nodes) {
    for (int n = 0; n < late_heartbeats; ++n)
        BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(places.beat(leaving, "draining").status == 200);
    restart_nodes({leaving, other});
    places.at(leaving).sequence -= late_heartbeats + 1;
    deliver_late_heartbeats();
    BOOST_TEST(orders_run() == 0U);
}

// Guards against a doubt about a target that started after the departure and
// before the node.
BOOST_AUTO_TEST_CASE(makes_room_for_a_life_that_starts_before_the_node) {
    BOOST_TEST(places.leave(leaving).status == 200);
    places.at(leaving).started_ms = wall_microseconds() / 1000;
    places.at(leaving).sequence = 0;
    restart_node();
    BOOST_TEST(places.beat(leaving).status == 200);
    http.sleep(500ms);
    BOOST_TEST(orders_run() > 0U);
}

// Guards against a doubt that shuts out a target that started since.
BOOST_AUTO_TEST_CASE(makes_room_for_a_new_life_after_a_restart) {
    BOOST_TEST(places.leave(leaving).status == 200);
    restart_node();
    places.at(leaving).started_ms = wall_microseconds() / 1000;
    places.at(leaving).sequence = 0;
    BOOST_TEST(places.beat(leaving).status == 200);
    http.sleep(500ms);
    BOOST_TEST(orders_run() > 0U);
}

// Guards against a departure that shuts out what follows at its address.
BOOST_AUTO_TEST_CASE(makes_room_for_a_new_life_at_once) {
    BOOST_TEST(places.leave(leaving).status == 200);
    ++places.at(leaving).started_ms;
    places.at(leaving).sequence = 0;
    BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(orders_run() > 0U);
    BOOST_TEST(places.leave(leaving).status == 200);
    places.at(leaving).instance = "i-next";
    ++places.at(leaving).started_ms;
    places.at(leaving).sequence = 0;
    BOOST_TEST(places.beat(leaving).status == 200);
    BOOST_TEST(orders_run() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
