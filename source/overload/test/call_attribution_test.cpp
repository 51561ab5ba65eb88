#include <boost/test/unit_test.hpp>

#include "test_time.hpp"

#include <redwingwind/overload/call_attribution.hpp>

#include <cmath>
#include <map>
#include <string>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace redwingwind::overload::test;

BOOST_AUTO_TEST_SUITE(calls_of_an_execution)

/// Two routes execute at one target, and only one of them makes calls. Their
/// load rises and falls together, which must not be taken for calls of the
/// silent one.
BOOST_AUTO_TEST_CASE(
    are_estimated_although_calls_do_not_carry_their_execution) {
    call_attribution attribution;
    const auto random = make_random(20261205);
    for (int t = 0; t < 20000; ++t) {
        const auto now = start + ms(t);
        const double load = 1 + 0.5 * std::sin(t / 1500.0);
        if (uniform(random) < 0.05 * load)
            attribution.on_execution_start(now, "silent");
        if (uniform(random) < 0.1 * load) {
            attribution.on_execution_start(now, "calling");
            for (int n = 0; n < 4; ++n)
                attribution.on_call(now, {"below"});
        }
    }
    BOOST_TEST(attribution.calls_per_execution("calling", {"below"}) > 2.5);
    BOOST_TEST(attribution.downstream_services("calling").size() == 1U);
    BOOST_TEST(attribution.downstream_services("silent").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(calls_of_an_execution_at_low_load)

/// After a period of normal load few calls are admitted, and most executions
/// fail at their first call. With so few events, the calls of one route must
/// not be attributed to another that makes none.
BOOST_AUTO_TEST_CASE(are_not_attributed_to_another_route) {
    constexpr int normal_load_ms = 20000;
    constexpr int total_ms = 60000;
    constexpr int execution_ms = 250;
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        call_attribution attribution;
        const auto random = make_random(seed);
        std::multimap<int, std::string> ends;
        std::multimap<int, int> calls;
        for (int t = 0; t < total_ms; ++t) {
            const auto now = start + ms(t);
            for (; !calls.empty() && calls.begin()->first <= t;
                 calls.erase(calls.begin()))
                attribution.on_call(now, {"below"});
            for (; !ends.empty() && ends.begin()->first <= t;
                 ends.erase(ends.begin()))
                attribution.on_execution_end(now, ends.begin()->second,
                                             ms(execution_ms));
            const bool is_normal_load = t < normal_load_ms;
            if (uniform(random) < (is_normal_load ? 0.01 : 0.003)) {
                attribution.on_execution_start(now, "silent");
                ends.emplace(t + execution_ms, "silent");
            }
            if (uniform(random) < (is_normal_load ? 0.06 : 0.008)) {
                attribution.on_execution_start(now, "calling");
                ends.emplace(t + execution_ms, "calling");
                for (int n = 0; n < (is_normal_load ? 4 : 1); ++n)
                    calls.emplace(t + 50 * (n + 1), n);
            }
            if (t % 1000 == 0 && t > total_ms / 2)
                wrong +=
                    attribution.downstream_services("silent").empty() ? 0 : 1;
        }
    }
    BOOST_TEST_MESSAGE("wrong in " << wrong << " of 150 checks");
    BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_SUITE_END()
