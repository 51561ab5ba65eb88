#include <boost/test/unit_test.hpp>

#include "test_time.hpp"

#include <redwingwind/overload/root_admission.hpp>
#include <redwingwind/overload/target_gate.hpp>

#include <map>
#include <string>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace redwingwind::overload::test;

BOOST_AUTO_TEST_SUITE(an_overloaded_service_deep_in_the_graph)

struct goodput {
    double completed{};
    double wasted{};
    double urgent{};
};

/// Simulates orders and lookups whose executions each make four sequential
/// calls to a service that has capacity for a third of them. An execution fails
/// if one of its calls is rejected, and the calls it made before are wasted.
goodput simulate(bool is_admission_used) {
    constexpr int total_ms = 8000;
    constexpr double executions_per_ms = 1.2;
    constexpr int service_ms = 15;
    constexpr int execution_ms = 4 * service_ms + 60;
    gate_options options;
    options.slots = 24;
    target_gate gate(options);
    root_admission roots;
    struct execution {
        int calls_left{};
        bool is_urgent{};
    };
    std::map<std::uint64_t, execution> executions;
    std::multimap<time_point, std::uint64_t> ends;
    std::multimap<time_point, std::uint64_t> pending_calls;
    goodput result;
    const auto random = make_random(20261206);
    std::uint64_t next = 1;
    const auto apply = [&](time_point now, const gate_actions& actions) {
        for (const auto& it : actions.reject) {
            result.wasted += 4 - executions[it.id].calls_left;
            executions.erase(it.id);
        }
        for (const auto id : actions.start)
            ends.emplace(now + ms(service_ms), id);
    };
    const auto call = [&](time_point now, std::uint64_t id) {
        apply(now,
              gate.arrive(now, {id, 2, true, now + ms(700), now + ms(300)}));
    };
    for (int t = 0; t < total_ms; ++t) {
        const auto now = start + ms(t);
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto id = ends.begin()->second;
            ends.erase(ends.begin());
            apply(now, gate.finish(now, id, ms(service_ms)));
            auto& it = executions[id];
            if (--it.calls_left > 0) {
                // The execution computes locally before its next call.
                const auto pause = 1 + static_cast<int>(40 * uniform(random));
                pending_calls.emplace(now + ms(pause), id);
                continue;
            }
            result.completed += 1;
            result.urgent += it.is_urgent ? 1 : 0;
            executions.erase(id);
        }
        while (!pending_calls.empty() && pending_calls.begin()->first <= now) {
            const auto id = pending_calls.begin()->second;
            pending_calls.erase(pending_calls.begin());
            call(now, id);
        }
        apply(now, gate.expire(now));
        for (const auto* route : {"order", "lookup"})
            roots.on_response(now, route, {{{"below"}, gate.offered_load(now)}},
                              ms(execution_ms));
        if (uniform(random) >= executions_per_ms)
            continue;
        const bool is_urgent = uniform(random) < 0.25;
        const std::string route = is_urgent ? "order" : "lookup";
        const bool is_admitted =
            !is_admission_used || roots.admits(now, route, is_urgent ? 0 : 2);
        if (!is_admitted)
            continue;
        const auto id = next++;
        executions[id] = {4, is_urgent};
        call(now, id);
    }
    return result;
}

BOOST_AUTO_TEST_CASE(keeps_its_goodput_and_serves_urgent_calls_first) {
    const auto without_admission = simulate(false);
    const auto with_admission = simulate(true);
    BOOST_TEST_MESSAGE("completed " << without_admission.completed << " -> "
                                    << with_admission.completed
                                    << ", wasted calls "
                                    << without_admission.wasted << " -> "
                                    << with_admission.wasted << ", urgent "
                                    << without_admission.urgent << " -> "
                                    << with_admission.urgent);
    BOOST_TEST(with_admission.completed > without_admission.completed);
    BOOST_TEST(with_admission.wasted < without_admission.wasted / 2);
    BOOST_TEST(with_admission.urgent > without_admission.urgent);
}

bool admits_all(root_admission& roots, time_point now);

BOOST_AUTO_TEST_CASE(is_removed_from_a_route_that_does_not_call_it) {
    root_admission roots;
    auto now = start;
    // A single wrong report that the route calls the overloaded service.
    roots.on_response(now, "photo", {{{"below"}, 3.0}}, ms(200));
    int admitted = 0;
    for (int n = 0; n < 200; ++n) {
        now += ms(20);
        roots.on_response(now, "order", {{{"below"}, 3.0}}, ms(200));
        roots.admits(now, "order", 0);
        if (roots.admits(now, "photo", 1)) {
            ++admitted;
            roots.on_response(now, "photo", {}, ms(200));
        }
    }
    BOOST_TEST_MESSAGE("admitted " << admitted << " of 200");
    BOOST_TEST(admitted > 100);
    BOOST_TEST(!roots.admits(now, "order", 0));
}

bool admits_all(root_admission& roots, time_point now) {
    constexpr int calls = 100;
    int admitted = 0;
    for (int n = 0; n < calls; ++n)
        admitted += roots.admits(now, "lookup", 2) ? 1 : 0;
    return admitted == calls;
}

BOOST_AUTO_TEST_CASE(gets_all_calls_again_within_seconds_after_the_overload) {
    root_admission roots;
    auto now = start;
    for (int n = 0; n < 100; ++n) {
        now += ms(20);
        roots.on_response(now, "lookup", {{{"below"}, 2.0}}, ms(200));
        roots.admits(now, "lookup", 2);
    }
    BOOST_TEST(!admits_all(roots, now));
    for (int n = 0; n < 250; ++n) {
        now += ms(20);
        roots.on_response(now, "lookup", {{{"below"}, 0.0}}, ms(200));
        roots.admits(now, "lookup", 2);
    }
    BOOST_TEST(admits_all(roots, now));
}

BOOST_AUTO_TEST_SUITE_END()
