#define BOOST_TEST_MODULE placing_waiting_and_turning_away
#include <boost/test/unit_test.hpp>

#include <redwingwind/overload/call_attribution.hpp>
#include <redwingwind/overload/placement.hpp>
#include <redwingwind/overload/repeat_budget.hpp>
#include <redwingwind/overload/strain.hpp>
#include <redwingwind/overload/target_gate.hpp>

#include <cmath>
#include <deque>
#include <map>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::overload;
using ms = std::chrono::milliseconds;
using s = std::chrono::seconds;

namespace {

const time_point start{s(100)};

gate_call direct(std::uint64_t id, std::uint8_t priority = 2) {
    return {id, priority, false, start + s(5), start + s(1)};
}

gate_call nested(std::uint64_t id) {
    return {id, 2, true, start + s(5), start + s(1)};
}

gate_options ten_slots() {
    gate_options options;
    options.slots = 10;
    options.usable_share = 1;
    return options;
}

/// A gate whose slots are all taken.
target_gate full_gate() {
    target_gate gate(ten_slots());
    for (std::uint64_t id = 1; id <= 10; ++id)
        gate.arrive(start, direct(id));
    return gate;
}

double uniform(const random_hook& random) {
    return static_cast<double>(random() >> 11U) / 9007199254740992.0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_target_with_ten_slots)

BOOST_AUTO_TEST_CASE(starts_what_has_room_and_lets_the_next_wait) {
    auto gate = full_gate();
    BOOST_TEST(gate.load().running == 10U);
    const auto steps = gate.arrive(start, direct(11));
    BOOST_TEST(steps.start.empty());
    BOOST_TEST(steps.refuse.empty());
    BOOST_TEST(gate.load().queued == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_below_the_share_at_which_targets_grow_slow) {
    gate_options options;
    options.slots = 48;
    BOOST_TEST(target_gate(options).limit() == 45U);
}

BOOST_AUTO_TEST_CASE(serves_calls_of_running_work_first) {
    auto gate = full_gate();
    gate.arrive(start, direct(11));
    gate.arrive(start, nested(12));
    const auto steps = gate.finish(start, 1, ms(50));
    BOOST_TEST(steps.start == std::vector<std::uint64_t>{12},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(leaves_outside_callers_their_share_meanwhile) {
    target_gate gate(ten_slots());
    for (std::uint64_t id = 1; id <= 10; ++id)
        gate.arrive(start, nested(id));
    gate.arrive(start, nested(11));
    gate.arrive(start, direct(12));
    const auto first = gate.finish(start, 1, ms(50));
    BOOST_TEST(first.start == std::vector<std::uint64_t>{12},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(serves_the_urgent_before_those_who_came_earlier) {
    auto gate = full_gate();
    gate.arrive(start, direct(11, 2));
    gate.arrive(start, direct(12, 0));
    const auto steps = gate.finish(start, 1, ms(50));
    BOOST_TEST(steps.start == std::vector<std::uint64_t>{12},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(turns_away_at_once_what_would_wait_too_long) {
    auto gate = full_gate();
    for (std::uint64_t id = 1; id <= 10; ++id) {
        gate.finish(start, id, s(2));
        gate.arrive(start, direct(100 + id));
    }
    std::size_t refused = 0;
    for (std::uint64_t id = 200; id < 400; ++id)
        refused += gate.arrive(start, direct(id)).refuse.size();
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused + gate.load().queued == 200U);
}

BOOST_AUTO_TEST_CASE(lets_nobody_wait_past_the_last_useful_start) {
    auto gate = full_gate();
    gate.arrive(start, direct(11));
    BOOST_TEST((gate.next_expiry() < start + s(1)));
    const auto steps = gate.expire(start + s(1));
    BOOST_REQUIRE(steps.refuse.size() == 1U);
    BOOST_TEST(steps.refuse.front().id == 11U);
    BOOST_TEST(gate.load().queued == 0U);
}

BOOST_AUTO_TEST_CASE(turns_all_away_when_it_leaves) {
    auto gate = full_gate();
    gate.arrive(start, direct(11));
    gate.arrive(start, nested(12));
    BOOST_TEST(gate.close(error_code::draining).refuse.size() == 2U);
    BOOST_TEST(!gate.withdraw(11));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_budget_of_repeats)

BOOST_AUTO_TEST_CASE(is_kept_in_every_window_over_all_nodes) {
    constexpr std::size_t nodes = 12;
    constexpr int spans = 400;
    repeat_options options;
    options.ratio = 0.2;
    options.slack = 47;
    std::vector<repeat_budget> all(nodes, repeat_budget(options));
    const auto random = make_random(20261204);
    std::deque<std::pair<int, int>> counts;
    double requests = 0;
    double repeats = 0;
    // A tenth of a second each: quiet, a burst, and almost silence.
    for (int span = 0; span < spans; ++span) {
        const auto now = start + span * ms(100);
        const int load = span < 100 ? 3 : span < 200 ? 40 : 1;
        std::pair<int, int> seen{0, 0};
        for (auto& budget : all)
            for (int n = 0; n < load; ++n) {
                budget.on_request(now);
                ++seen.first;
                if (uniform(random) < 0.9 && budget.take(now, nodes))
                    ++seen.second;
            }
        counts.push_back(seen);
        requests += seen.first;
        repeats += seen.second;
        if (counts.size() > 100) {
            requests -= counts.front().first;
            repeats -= counts.front().second;
            counts.pop_front();
        }
        BOOST_REQUIRE(repeats <= options.ratio * requests + options.slack);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_placement)

BOOST_AUTO_TEST_CASE(prefers_the_own_domain_until_it_is_fuller) {
    placement at({}, {"a"});
    at.update({{"near"}, {"a"}, 10});
    at.update({{"far"}, {"b"}, 10});
    const auto random = make_random(1);
    BOOST_TEST(at.pick(start, {}, random)->value == "near");
    at.on_load({"near"}, {6, 0, 10});
    BOOST_TEST(at.pick(start, {}, random)->value == "far");
}

BOOST_AUTO_TEST_CASE(avoids_one_that_fails_and_one_that_is_unreachable) {
    placement at({}, {"a"});
    at.update({{"good"}, {"a"}, 10});
    at.update({{"bad"}, {"a"}, 10});
    const auto random = make_random(2);
    at.on_end({"bad"}, start, placed_end::unreachable);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(at.pick(start, {}, random)->value == "good");
    // With nobody else left it is tried all the same.
    BOOST_TEST(at.pick(start, {{"good"}}, random)->value == "bad");
    at.remove({"good"});
    at.remove({"bad"});
    BOOST_TEST(!at.pick(start, {}, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

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
            learned.on_run(now, "silent");
        if (uniform(random) < 0.1 * load) {
            learned.on_run(now, "calling");
            for (int n = 0; n < 4; ++n)
                learned.on_call(now, {"below"});
        }
    }
    BOOST_TEST(learned.calls_per_run("calling", {"below"}) > 2.5);
    BOOST_TEST(learned.called_by("calling").size() == 1U);
    BOOST_TEST(learned.called_by("silent").empty());
}

BOOST_AUTO_TEST_SUITE_END()

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
    gate_options options;
    options.slots = 24;
    target_gate gate(options);
    strain_meter strain;
    root_admission roots;
    struct run {
        int calls_left{};
        bool is_urgent{};
        time_point asked;
    };
    std::map<std::uint64_t, run> runs;
    std::multimap<time_point, std::uint64_t> ends;
    std::multimap<time_point, std::uint64_t> asks;
    goodput result;
    const auto random = make_random(20261206);
    std::uint64_t next = 1;
    const auto take = [&](time_point now, const gate_steps& steps) {
        for (const auto& it : steps.refuse) {
            strain.on_refused(now);
            result.wasted += 4 - runs[it.id].calls_left;
            runs.erase(it.id);
        }
        for (const auto id : steps.start) {
            strain.on_started(now, now - runs[id].asked);
            ends.emplace(now + ms(service_ms), id);
        }
    };
    const auto ask = [&](time_point now, std::uint64_t id) {
        runs[id].asked = now;
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
        roots.on_answer(now, "order", {{{"below"}, strain.value(now)}});
        roots.on_answer(now, "lookup", {{{"below"}, strain.value(now)}});
        if (uniform(random) >= runs_per_ms)
            continue;
        const bool is_urgent = uniform(random) < 0.25;
        const std::string route = is_urgent ? "order" : "lookup";
        const bool is_in =
            !is_thinned ||
            roots.admits(now, route, is_urgent ? 0 : 2, uniform(random));
        if (!is_in)
            continue;
        const auto id = next++;
        runs[id] = {4, is_urgent, now};
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

BOOST_AUTO_TEST_CASE(lets_all_in_again_within_seconds_of_the_end) {
    root_admission roots;
    auto now = start;
    for (int n = 0; n < 100; ++n) {
        now += ms(20);
        roots.on_answer(now, "lookup", {{{"below"}, 1.0}});
        roots.admits(now, "lookup", 2, 0.0);
    }
    BOOST_TEST(!roots.admits(now, "lookup", 2, 0.99));
    for (int n = 0; n < 250; ++n) {
        now += ms(20);
        roots.on_answer(now, "lookup", {{{"below"}, 0.0}});
        roots.admits(now, "lookup", 2, 0.0);
    }
    BOOST_TEST(roots.admits(now, "lookup", 2, 0.99));
}

BOOST_AUTO_TEST_SUITE_END()
