#define BOOST_TEST_MODULE placing_waiting_and_turning_away
#include <boost/test/unit_test.hpp>

#include "test_time.hpp"

#include <redwingwind/overload/placement.hpp>
#include <redwingwind/overload/service_retry_budget.hpp>
#include <redwingwind/overload/target_gate.hpp>

#include <cmath>
#include <deque>
#include <map>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace redwingwind::overload::test;

namespace {

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

} // namespace

BOOST_AUTO_TEST_SUITE(a_target_with_ten_slots)

BOOST_AUTO_TEST_CASE(starts_what_has_room_and_lets_the_next_wait) {
    auto gate = full_gate();
    BOOST_TEST(gate.load().running == 10U);
    const auto steps = gate.arrive(start, direct(11));
    BOOST_TEST(steps.start.empty());
    BOOST_TEST(steps.reject.empty());
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
        refused += gate.arrive(start, direct(id)).reject.size();
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused + gate.load().queued == 200U);
}

BOOST_AUTO_TEST_CASE(lets_nobody_wait_past_the_last_useful_start) {
    auto gate = full_gate();
    gate.arrive(start, direct(11));
    BOOST_TEST((gate.next_expiry() < start + s(1)));
    const auto steps = gate.expire(start + s(1));
    BOOST_REQUIRE(steps.reject.size() == 1U);
    BOOST_TEST(steps.reject.front().id == 11U);
    BOOST_TEST(gate.load().queued == 0U);
}

/// Long calls from outside take all slots all the time; short ones of running
/// work, whose answers are useful for 300 ms only, need 5 of 54. Each may wait
/// 150 ms. The long ones free 41 slots a second, so by chance none becomes free
/// in that time for 2 in 1,000.
BOOST_AUTO_TEST_CASE(lets_short_calls_of_running_work_wait_for_a_slot) {
    constexpr int direct_ms = 1300;
    constexpr int nested_ms = 80;
    constexpr int all_ms = 20000;
    constexpr int learning_ms = 4 * direct_ms;
    constexpr double nested_slots = 5;
    gate_options options;
    options.slots = 58;
    target_gate gate(options);
    const auto random = make_random(20261207);
    struct running_call {
        std::uint64_t id{};
        duration took{};
    };
    std::multimap<time_point, running_call> ends;
    std::map<std::uint64_t, bool> is_nested;
    std::map<bool, int> started;
    std::map<bool, int> refused;
    const auto take = [&](time_point now, const gate_actions& steps) {
        for (const auto& it : steps.reject)
            ++refused[is_nested[it.id]];
        for (const auto id : steps.start) {
            ++started[is_nested[id]];
            const double usual = is_nested[id] ? nested_ms : direct_ms;
            const ms took(static_cast<int>(usual * (0.5 + uniform(random))));
            ends.emplace(now + took, running_call{id, took});
        }
    };
    std::uint64_t next = 1;
    int refused_later = 0;
    for (int t = 0; t < all_ms; ++t) {
        const auto now = start + ms(t);
        const int refused_before = refused[true];
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto it = ends.begin()->second;
            ends.erase(ends.begin());
            take(now, gate.finish(now, it.id, it.took));
        }
        take(now, gate.expire(now));
        if (uniform(random) < 0.08) {
            is_nested[next] = false;
            take(now,
                 gate.arrive(now, {next++, 3, false, now + s(15), now + s(4)}));
        }
        if (uniform(random) < 0.06) {
            is_nested[next] = true;
            take(now, gate.arrive(now, {next++, 2, true, now + ms(700),
                                        now + ms(300)}));
        }
        if (t > learning_ms)
            refused_later += refused[true] - refused_before;
    }
    BOOST_TEST_MESSAGE("of running work: started "
                       << started[true] << ", turned away " << refused[true]
                       << ", of these after learning " << refused_later
                       << "; from outside: started " << started[false]);
    constexpr double by_chance = 0.002;
    constexpr double few_times = 5;
    BOOST_TEST(refused[true] < started[true] / 50);
    BOOST_TEST(refused_later < few_times * by_chance * started[true]);
    // The slots that they leave are in use from outside.
    const double for_others =
        (gate.limit() - nested_slots) * all_ms / direct_ms;
    BOOST_TEST(started[false] > 0.9 * for_others);
}

BOOST_AUTO_TEST_CASE(turns_all_away_when_it_leaves) {
    auto gate = full_gate();
    gate.arrive(start, direct(11));
    gate.arrive(start, nested(12));
    BOOST_TEST(gate.close(error_code::draining).reject.size() == 2U);
    BOOST_TEST(!gate.withdraw(11));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_budget_of_repeats)

/// Counts of a tenth of a second.
struct span_counts {
    double requests{};
    double repeats{};
};

double sum_of(const std::vector<span_counts>& of, std::size_t end,
              double span_counts::*what) {
    constexpr std::size_t spans_in_window = 100;
    double sum = 0;
    for (auto n = end; n > 0 && n + spans_in_window > end; --n)
        sum += of[n - 1].*what;
    return sum;
}

/// The bound that is promised: of the requests in the window, in the one
/// before it or in the one half a window before it.
double bound_of(const service_retry_budget_options& options,
                const std::vector<span_counts>& of, std::size_t end) {
    double most = 0;
    for (const std::size_t back : {0U, 50U, 100U})
        if (end > back)
            most =
                std::max(most, sum_of(of, end - back, &span_counts::requests));
    return options.ratio * most + options.slack;
}

BOOST_AUTO_TEST_CASE(is_kept_in_every_window_over_all_nodes) {
    constexpr std::size_t nodes = 12;
    constexpr std::size_t spans = 600;
    service_retry_budget_options options;
    options.ratio = 0.2;
    options.slack = 47;
    std::vector<service_retry_budget> all(nodes, service_retry_budget(options));
    const auto random = make_random(20261204);
    std::vector<span_counts> counts;
    // Quiet, a burst, and almost silence; a third of the nodes has twice the
    // others' load, in turn; and now and then a node starts anew.
    for (std::size_t span = 0; span < spans; ++span) {
        const auto now = start + static_cast<int>(span) * ms(100);
        const int load = span < 100 ? 3 : span < 300 ? 40 : 1;
        if (span % 37 == 0)
            all[span / 37 % nodes] = service_retry_budget(options);
        span_counts seen;
        for (std::size_t k = 0; k < nodes; ++k)
            for (int n = 0; n < load * (k % 3 == span / 120 % 3 ? 2 : 1); ++n) {
                const double share = n % 5 == 0 ? 0.2 : 0;
                all[k].on_request(now, share);
                seen.requests += 1;
                seen.repeats += share;
                if (uniform(random) < 0.9 && all[k].take(now, nodes))
                    seen.repeats += 1;
            }
        counts.push_back(seen);
        BOOST_REQUIRE_MESSAGE(
            sum_of(counts, counts.size(), &span_counts::repeats) <=
                bound_of(options, counts, counts.size()),
            "at " << span << ": "
                  << sum_of(counts, counts.size(), &span_counts::repeats)
                  << " > " << bound_of(options, counts, counts.size()));
    }
}

BOOST_AUTO_TEST_CASE(leaves_room_for_what_repeated_runs_will_ask) {
    service_retry_budget_options options;
    service_retry_budget budget(options);
    std::vector<span_counts> counts;
    for (std::size_t span = 0; span < 400; ++span) {
        const auto now = start + static_cast<int>(span) * ms(100);
        // From then on one request in eight is of a run that is a repeat.
        const double share = span < 100 ? 0 : 0.125;
        span_counts seen;
        for (int n = 0; n < 60; ++n) {
            budget.on_request(now, share);
            seen.requests += 1;
            seen.repeats += share;
            if (span >= 150 && budget.take(now, 1))
                seen.repeats += 1;
        }
        counts.push_back(seen);
        const double planned =
            bound_of(options, counts, counts.size()) * options.used_share;
        BOOST_REQUIRE(sum_of(counts, counts.size(), &span_counts::repeats) <=
                      planned);
    }
}

BOOST_AUTO_TEST_CASE(lasts_through_a_failure_of_many_seconds) {
    service_retry_budget budget({});
    for (int t = 0; t < 10000; ++t)
        budget.on_request(start + ms(t));
    const double at_first = budget.left(start + s(10), 1);
    int early = 0;
    int late = 0;
    for (int t = 10000; t < 18000; ++t) {
        budget.on_request(start + ms(t));
        const bool is_spent = budget.take(start + ms(t), 1);
        (t < 12000 ? early : late) += is_spent ? 1 : 0;
    }
    // A short failure may use most of it, and a long one finds some later.
    BOOST_TEST(early > at_first / 2);
    BOOST_TEST(late > at_first / 10);
}

BOOST_AUTO_TEST_CASE(does_not_count_what_was_spent_on_an_earlier_load) {
    service_retry_budget budget({});
    for (int t = 0; t < 10000; ++t) {
        budget.on_request(start + ms(t));
        if (t > 5000)
            budget.take(start + ms(t), 1);
    }
    // Half of the window's requests, and nothing spent on them yet.
    const double left = budget.left(start + s(15), 1);
    BOOST_TEST(left > 0.2 * 5000 * 0.7 * 0.5);
    BOOST_TEST(budget.left(start + s(40), 1) < 40);
}

BOOST_AUTO_TEST_CASE(leaves_a_reserve_to_those_whose_failure_costs_more) {
    service_retry_budget budget({});
    for (int t = 0; t < 1000; ++t)
        budget.on_request(start + ms(t));
    const auto now = start + s(1);
    const double at_first = budget.left(now, 1);
    int spent = 0;
    for (int t = 0; t < 100; ++t)
        spent += budget.take(now + t * ms(30), 1, 0.5) ? 1 : 0;
    BOOST_TEST(spent > 0);
    BOOST_TEST(budget.left(now + s(3), 1) >= at_first / 2);
    BOOST_TEST(budget.take(now + s(3), 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_placement)

BOOST_AUTO_TEST_CASE(prefers_the_own_domain_until_it_is_fuller) {
    placement at({}, {"a"});
    at.update({{"near"}, {"a"}, 10});
    at.update({{"far"}, {"b"}, 10});
    const auto random = make_random(1);
    BOOST_TEST(at.pick(start, {}, random)->value == "near");
    at.on_load_report({"near"}, {6, 0, 10});
    BOOST_TEST(at.pick(start, {}, random)->value == "far");
}

BOOST_AUTO_TEST_CASE(avoids_one_that_fails_and_one_that_is_unreachable) {
    placement at({}, {"a"});
    at.update({{"good"}, {"a"}, 10});
    at.update({{"bad"}, {"a"}, 10});
    const auto random = make_random(2);
    at.on_end({"bad"}, start, dispatch_result::unreachable);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(at.pick(start, {}, random)->value == "good");
    // With nobody else left it is tried all the same.
    BOOST_TEST(at.pick(start, {{"good"}}, random)->value == "bad");
    at.remove({"good"});
    at.remove({"bad"});
    BOOST_TEST(!at.pick(start, {}, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
