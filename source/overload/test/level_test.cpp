#include "test_time.hpp"

#include <redwingwind/overload/concurrency_limit.hpp>
#include <redwingwind/overload/level_control.hpp>
#include <redwingwind/overload/level_table.hpp>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace std::chrono_literals;
using redwingwind::overload::test::at;

namespace {

const service_name deep{"deep"};

} // namespace

BOOST_AUTO_TEST_SUITE(admission_level)

BOOST_AUTO_TEST_SUITE(at_the_target)

BOOST_AUTO_TEST_CASE(rises_under_overload_and_falls_to_0_within_a_second) {
    level_control level(2.0);
    std::mt19937 random(7); // NOLINT(bugprone-random-generator-seed)
    std::int64_t ms = 0;
    for (; ms < 2000; ++ms) {
        const rank r{static_cast<std::uint16_t>(random() % rank_count)};
        level.on_arrival(r);
        if (ms % 4 == 0)
            level.on_start();
        else
            level.on_rejected();
        level.on_occupancy(at(ms), 1.0, false);
    }
    // The target has capacity for a quarter of the arrivals, so the level is
    // expected near three quarters of the ranks.
    BOOST_TEST(level.level().value > rank_count / 2);
    BOOST_TEST(level.level().value < rank_count * 9 / 10);
    for (const auto end = ms + 1000; ms < end; ms += 10)
        level.on_occupancy(at(ms), 0.5, true);
    BOOST_TEST(level.level().value == 0);
}

BOOST_AUTO_TEST_CASE(stays_0_while_the_queue_becomes_empty_now_and_then) {
    level_control level(2.0);
    for (std::int64_t ms = 0; ms < 2000; ++ms) {
        level.on_arrival(rank{static_cast<std::uint16_t>(ms % rank_count)});
        level.on_start();
        if (ms % 100 == 0)
            level.on_rejected();
        level.on_occupancy(at(ms), 1.0, ms % 50 == 0);
    }
    BOOST_TEST(level.level().value == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_callers)

BOOST_AUTO_TEST_CASE(of_one_route_follows_the_replies_to_another) {
    level_table table;
    table.learn("front/browse", {{deep, 300}}, at(0));
    for (std::int64_t ms = 0; ms < 2000; ms += 20)
        table.learn("front/order", {{deep, 300}}, at(ms));
    BOOST_TEST(table.level("front/browse", at(2000)).value > 250);
}

BOOST_AUTO_TEST_CASE(decays_when_no_reply_confirms_it) {
    level_table table;
    for (int n = 0; n < 30; ++n)
        table.learn("front/browse", {{deep, 400}}, at(n));
    BOOST_TEST(table.level("front/browse", at(300)).value > 350);
    BOOST_TEST(table.level("front/browse", at(2000)).value == 0);
}

BOOST_AUTO_TEST_CASE(does_not_affect_routes_that_do_not_pass_the_service) {
    level_table table;
    for (int n = 0; n < 30; ++n)
        table.learn("front/browse", {{deep, 400}}, at(n));
    BOOST_TEST(table.level("front/other", at(30)).value == 0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(concurrency)

namespace {

/// Simulates a saturated target that executes real_slots calls in parallel and
/// queues the others internally.
void saturate(concurrency_limit& limit, std::uint32_t real_slots,
              double service_ms, std::int64_t from_ms, std::int64_t to_ms) {
    for (std::int64_t ms = from_ms; ms < to_ms; ++ms) {
        const auto n = limit.value(at(ms));
        const double waits = std::max(1.0, double(n) / real_slots);
        const auto latency =
            duration(static_cast<duration::rep>(service_ms * waits * 1000));
        limit.on_complete(at(ms), latency, n);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(is_lowered_when_calls_wait_inside_the_target) {
    concurrency_limit limit({100, 1, duration::zero(), true}, at(0));
    saturate(limit, 40, 10, 0, 200000);
    BOOST_TEST(limit.value(at(200001)) < 60U);
    BOOST_TEST(limit.value(at(200001)) > 30U);
}

BOOST_AUTO_TEST_CASE(is_kept_when_the_target_only_gets_slower) {
    concurrency_limit limit({40, 1, duration::zero(), true}, at(0));
    saturate(limit, 40, 10, 0, 20000);
    saturate(limit, 40, 50, 20000, 60000);
    BOOST_TEST(limit.value(at(60300)) >= 36U);
}

BOOST_AUTO_TEST_CASE(grows_from_a_cold_start) {
    concurrency_limit limit({40, 1, 1s, true}, at(0));
    BOOST_TEST(limit.value(at(201)) < 25U);
    BOOST_TEST(limit.value(at(1500)) == 40U);
}

BOOST_AUTO_TEST_SUITE_END()
