#include <boost/test/unit_test.hpp>

#include "test_time.hpp"

#include <redwingwind/overload/root_admission.hpp>
#include <redwingwind/overload/target_gate.hpp>

#include <map>
#include <string>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace redwingwind::overload::test;

BOOST_AUTO_TEST_SUITE(a_service_deep_in_the_graph)

struct goodput {
    double whole{};
    double wasted{};
    double urgent{};
};

/// Orders and lookups, each of which needs four slots in turn of a service
/// that has room for a third of them; a run whose call is turned away fails.
goodput replay(bool is_thinned) {
    constexpr int ms_total = 8000;
    constexpr double runs_per_ms = 1.2;
    constexpr int service_ms = 15;
    constexpr int usual_run_ms = 4 * service_ms + 60;
    gate_options options;
    options.slots = 24;
    target_gate gate(options);
    root_admission roots;
    struct run {
        int calls_left{};
        bool is_urgent{};
    };
    std::map<std::uint64_t, run> runs;
    std::multimap<time_point, std::uint64_t> ends;
    std::multimap<time_point, std::uint64_t> asks;
    goodput result;
    const auto random = make_random(20261206);
    std::uint64_t next = 1;
    const auto take = [&](time_point now, const gate_actions& steps) {
        for (const auto& it : steps.reject) {
            result.wasted += 4 - runs[it.id].calls_left;
            runs.erase(it.id);
        }
        for (const auto id : steps.start)
            ends.emplace(now + ms(service_ms), id);
    };
    const auto ask = [&](time_point now, std::uint64_t id) {
        take(now,
             gate.arrive(now, {id, 2, true, now + ms(700), now + ms(300)}));
    };
    for (int t = 0; t < ms_total; ++t) {
        const auto now = start + ms(t);
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto id = ends.begin()->second;
            ends.erase(ends.begin());
            take(now, gate.finish(now, id, ms(service_ms)));
            auto& it = runs[id];
            if (--it.calls_left > 0) {
                // The run works on its own before it calls again.
                const auto pause = 1 + static_cast<int>(40 * uniform(random));
                asks.emplace(now + ms(pause), id);
                continue;
            }
            result.whole += 1;
            result.urgent += it.is_urgent ? 1 : 0;
            runs.erase(id);
        }
        while (!asks.empty() && asks.begin()->first <= now) {
            const auto id = asks.begin()->second;
            asks.erase(asks.begin());
            ask(now, id);
        }
        take(now, gate.expire(now));
        for (const auto* route : {"order", "lookup"})
            roots.on_response(now, route, {{{"below"}, gate.offered_load(now)}},
                              ms(usual_run_ms));
        if (uniform(random) >= runs_per_ms)
            continue;
        const bool is_urgent = uniform(random) < 0.25;
        const std::string route = is_urgent ? "order" : "lookup";
        const bool is_in =
            !is_thinned || roots.admits(now, route, is_urgent ? 0 : 2);
        if (!is_in)
            continue;
        const auto id = next++;
        runs[id] = {4, is_urgent};
        ask(now, id);
    }
    return result;
}

BOOST_AUTO_TEST_CASE(keeps_its_goodput_and_serves_the_urgent_first) {
    const auto plain = replay(false);
    const auto thinned = replay(true);
    BOOST_TEST_MESSAGE("whole " << plain.whole << " -> " << thinned.whole
                                << ", wasted calls " << plain.wasted << " -> "
                                << thinned.wasted << ", urgent " << plain.urgent
                                << " -> " << thinned.urgent);
    BOOST_TEST(thinned.whole > plain.whole);
    BOOST_TEST(thinned.wasted < plain.wasted / 2);
    BOOST_TEST(thinned.urgent > plain.urgent);
}

bool lets_all_in(root_admission& roots, time_point now);

BOOST_AUTO_TEST_CASE(is_taken_off_a_route_that_never_led_there) {
    root_admission roots;
    auto now = start;
    // Once it was taken for a caller of the full service.
    roots.on_response(now, "photo", {{{"below"}, 3.0}}, ms(200));
    int let_in = 0;
    for (int n = 0; n < 200; ++n) {
        now += ms(20);
        roots.on_response(now, "order", {{{"below"}, 3.0}}, ms(200));
        roots.admits(now, "order", 0);
        if (roots.admits(now, "photo", 1)) {
            ++let_in;
            roots.on_response(now, "photo", {}, ms(200));
        }
    }
    BOOST_TEST_MESSAGE("let in " << let_in << " of 200");
    BOOST_TEST(let_in > 100);
    BOOST_TEST(!roots.admits(now, "order", 0));
}

bool lets_all_in(root_admission& roots, time_point now) {
    constexpr int calls = 100;
    int in = 0;
    for (int n = 0; n < calls; ++n)
        in += roots.admits(now, "lookup", 2) ? 1 : 0;
    return in == calls;
}

BOOST_AUTO_TEST_CASE(lets_all_in_again_within_seconds_of_the_end) {
    root_admission roots;
    auto now = start;
    for (int n = 0; n < 100; ++n) {
        now += ms(20);
        roots.on_response(now, "lookup", {{{"below"}, 2.0}}, ms(200));
        roots.admits(now, "lookup", 2);
    }
    BOOST_TEST(!lets_all_in(roots, now));
    for (int n = 0; n < 250; ++n) {
        now += ms(20);
        roots.on_response(now, "lookup", {{{"below"}, 0.0}}, ms(200));
        roots.admits(now, "lookup", 2);
    }
    BOOST_TEST(lets_all_in(roots, now));
}

BOOST_AUTO_TEST_SUITE_END()
