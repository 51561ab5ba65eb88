#include <boost/test/unit_test.hpp>

#include "test_time.hpp"

#include <redwingwind/overload/call_attribution.hpp>

#include <cmath>
#include <map>
#include <string>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace redwingwind::overload::test;

BOOST_AUTO_TEST_SUITE(what_runs_call)

/// Two routes run at one target; only one of them makes calls, and the load
/// of both rises and falls together.
BOOST_AUTO_TEST_CASE(is_learned_although_no_call_tells) {
    call_attribution learned;
    const auto random = make_random(20261205);
    for (int t = 0; t < 20000; ++t) {
        const auto now = start + ms(t);
        const double load = 1 + 0.5 * std::sin(t / 1500.0);
        if (uniform(random) < 0.05 * load)
            learned.on_execution_start(now, "silent");
        if (uniform(random) < 0.1 * load) {
            learned.on_execution_start(now, "calling");
            for (int n = 0; n < 4; ++n)
                learned.on_call(now, {"below"});
        }
    }
    BOOST_TEST(learned.calls_per_execution("calling", {"below"}) > 2.5);
    BOOST_TEST(learned.downstream_services("calling").size() == 1U);
    BOOST_TEST(learned.downstream_services("silent").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(what_runs_call_when_few_run)

/// After a usual load only few calls are let in, and most runs fail at their
/// first call: a route whose runs make none must not be taken for one that
/// calls.
BOOST_AUTO_TEST_CASE(is_not_taken_for_what_others_call) {
    constexpr int usual_ms = 20000;
    constexpr int all_ms = 60000;
    constexpr int run_ms = 250;
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        call_attribution learned;
        const auto random = make_random(seed);
        std::multimap<int, std::string> ends;
        std::multimap<int, int> calls;
        for (int t = 0; t < all_ms; ++t) {
            const auto now = start + ms(t);
            for (; !calls.empty() && calls.begin()->first <= t;
                 calls.erase(calls.begin()))
                learned.on_call(now, {"below"});
            for (; !ends.empty() && ends.begin()->first <= t;
                 ends.erase(ends.begin()))
                learned.on_execution_end(now, ends.begin()->second, ms(run_ms));
            const bool is_usual = t < usual_ms;
            if (uniform(random) < (is_usual ? 0.01 : 0.003)) {
                learned.on_execution_start(now, "silent");
                ends.emplace(t + run_ms, "silent");
            }
            if (uniform(random) < (is_usual ? 0.06 : 0.008)) {
                learned.on_execution_start(now, "calling");
                ends.emplace(t + run_ms, "calling");
                for (int n = 0; n < (is_usual ? 4 : 1); ++n)
                    calls.emplace(t + 50 * (n + 1), n);
            }
            if (t % 1000 == 0 && t > all_ms / 2)
                wrong += learned.downstream_services("silent").empty() ? 0 : 1;
        }
    }
    BOOST_TEST_MESSAGE("wrong in " << wrong << " of 150 looks");
    BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_SUITE_END()
