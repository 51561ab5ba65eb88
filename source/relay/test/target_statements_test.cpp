#include <redwingwind/relay/target_statements.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::relay;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::seconds(100)};
constexpr std::uint64_t wall_ms = 1'000'000;
constexpr duration lifetime = 6s;

target_announcement heartbeat(const std::string& instance,
                              std::uint64_t started_ms, std::uint64_t sequence,
                              bool is_draining = false) {
    target_announcement it;
    it.instance = instance;
    it.service = {"orders"};
    it.slots = 8;
    it.started_ms = started_ms;
    it.sequence = sequence;
    it.is_draining = is_draining;
    return it;
}

/// What a target said, and when it arrives.
struct statement {
    bool is_departure{};
    target_announcement heartbeat;
    time_point sent;
    time_point arrives;
};

/// Incarnations that follow each other at one address, each with its heartbeats
/// and, for some, a departure. Heartbeats are late by up to max_delay.
std::vector<statement> random_history(time_point& end) {
    std::vector<statement> all;
    auto now = start;
    const auto lives = *rc::gen::inRange(1, 5);
    std::uint64_t started_ms = 1000;
    for (int n = 0; n < lives; ++n) {
        const std::string instance = *rc::gen::element("i-1", "i-2");
        started_ms += *rc::gen::inRange<std::uint64_t>(1, 1000);
        const auto beats = *rc::gen::inRange<std::uint64_t>(1, 6);
        const bool drains = *rc::gen::arbitrary<bool>();
        for (std::uint64_t k = 1; k <= beats; ++k) {
            now += 1500ms;
            // A target goes on after its first heartbeat was acknowledged.
            const int late_ms = k == 1 ? 0 : *rc::gen::inRange(0, 29000);
            const auto delay =
                std::chrono::milliseconds(*rc::gen::element(0, late_ms));
            all.push_back(
                {false,
                 heartbeat(instance, started_ms, k, drains && k == beats), now,
                 now + delay});
        }
        // Otherwise it crashes.
        if (*rc::gen::arbitrary<bool>()) {
            now += 500ms;
            all.push_back({true, all.back().heartbeat, now, now});
        }
        now += 2s;
    }
    end = now;
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.arrives < b.arrives;
    });
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(statements_about_a_target)

BOOST_AUTO_TEST_SUITE(after_its_departure)

// Guards against a late heartbeat that brings a target back.
BOOST_AUTO_TEST_CASE(leave_it_departed) {
    target_statements it(lifetime);
    BOOST_TEST(it.announce(start, heartbeat("i-1", 1000, 1)));
    BOOST_TEST(it.depart(start + 1s, "i-1", wall_ms) == 1000U);
    BOOST_TEST(it.has_current_ended());
    BOOST_TEST(!it.announce(start + 3s, heartbeat("i-1", 1000, 2)));
    BOOST_TEST(!it.is_present(start + 3s));
}

// Guards against the same at a node that started after the heartbeats.
BOOST_AUTO_TEST_CASE(leave_one_departed_that_was_not_heard_before) {
    target_statements it(lifetime);
    BOOST_TEST(it.depart(start, "i-1", wall_ms) == wall_ms);
    BOOST_TEST(!it.has_current_ended());
    BOOST_TEST(!it.announce(start + 3s, heartbeat("i-1", wall_ms - 1, 2)));
    BOOST_TEST(it.announce(start + 3s, heartbeat("i-1", wall_ms + 1, 1)));
}

// Guards against a departure that shuts out the next life of an instance.
BOOST_AUTO_TEST_CASE(let_a_new_life_in_at_once) {
    target_statements it(lifetime);
    it.announce(start, heartbeat("i-1", 1000, 7));
    it.depart(start, "i-1", wall_ms);
    BOOST_TEST(it.announce(start, heartbeat("i-1", 2000, 1)));
    it.depart(start, "i-1", wall_ms);
    BOOST_TEST(it.announce(start, heartbeat("i-2", 3000, 1)));
    BOOST_TEST(it.is_present(start));
    BOOST_TEST(it.incarnations() == 3U);
}

// Guards against a departure of an earlier life that ends the one there.
BOOST_AUTO_TEST_CASE(do_not_end_another_instance) {
    target_statements it(lifetime);
    it.announce(start, heartbeat("i-1", 1000, 7));
    it.announce(start, heartbeat("i-2", 2000, 1));
    BOOST_TEST(it.depart(start, "i-1", wall_ms) == 1000U);
    BOOST_TEST(!it.has_current_ended());
    BOOST_TEST(it.is_present(start));
    BOOST_TEST(!it.announce(start + 7s, heartbeat("i-1", 1000, 8)));
}

// Guards against one that is used again after it said that it leaves.
BOOST_AUTO_TEST_CASE(leave_one_draining_that_was) {
    target_statements it(lifetime);
    it.announce(start, heartbeat("i-1", 1000, 1, true));
    BOOST_TEST(it.announce(start, heartbeat("i-1", 1000, 2)));
    BOOST_TEST(it.current().is_draining);
    BOOST_TEST(it.announce(start, heartbeat("i-1", 2000, 1)));
    BOOST_TEST(!it.current().is_draining);
}

// Guards against a departure that shuts out another instance, which may have
// started before the one that left.
BOOST_AUTO_TEST_CASE(let_another_instance_in_at_once) {
    target_statements it(lifetime);
    it.end(start, "i-1", 5000);
    BOOST_TEST(it.announce(start, heartbeat("i-2", 2000, 1)));
    BOOST_TEST(!it.announce(start, heartbeat("i-1", 5000, 9)));
    it.end(start, "i-1", 5000);
    BOOST_TEST(it.is_present(start));
}

// Guards against one that is shut out for good, as after a late departure of
// its earlier life.
BOOST_AUTO_TEST_CASE(count_again_when_they_go_on) {
    target_statements it(lifetime);
    it.announce(start, heartbeat("i-1", 1000, 1));
    it.depart(start, "i-1", wall_ms);
    const auto later = start + target_statements::max_delay;
    BOOST_TEST(!it.announce(later - 1s, heartbeat("i-1", 1000, 20)));
    BOOST_TEST(it.announce(later, heartbeat("i-1", 1000, 21)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_another_writer)

// Guards against a claim with a later start that shuts the true target out.
BOOST_AUTO_TEST_CASE(end_when_the_address_denies_them) {
    target_statements it(lifetime);
    it.announce(start, heartbeat("i-1", 1000, 1));
    BOOST_TEST(it.announce(start, heartbeat("i-9", 9000, 1)));
    BOOST_TEST(!it.announce(start, heartbeat("i-1", 1000, 2)));
    it.deny(start);
    BOOST_TEST(it.announce(start, heartbeat("i-1", 1000, 3)));
    BOOST_TEST(!it.announce(start, heartbeat("i-9", 9000, 2)));
    BOOST_TEST(it.current().instance == "i-1");
}

BOOST_AUTO_TEST_CASE(end_when_they_stop) {
    target_statements it(lifetime);
    it.announce(start, heartbeat("i-1", 9000, 1));
    BOOST_TEST(!it.announce(start + lifetime, heartbeat("i-1", 1000, 2)));
    BOOST_TEST(it.announce(start + lifetime + 1ms, heartbeat("i-1", 1000, 3)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_any_order_of_arrival)

// Guards against late heartbeats that undo a later statement.
RC_BOOST_PROP(undo_no_later_one, ()) {
    time_point end;
    const auto history = random_history(end);
    target_statements it(lifetime);
    std::set<std::pair<std::string, std::uint64_t>> departed;
    for (const auto& said : history) {
        const auto& beat = said.heartbeat;
        const std::pair life{beat.instance, beat.started_ms};
        const auto before = it.current();
        if (said.is_departure) {
            it.depart(said.arrives, beat.instance, beat.started_ms);
            departed.insert(life);
        } else if (it.announce(said.arrives, beat)) {
            RC_ASSERT(!departed.contains(life));
            const bool is_same = before.instance == beat.instance &&
                                 before.started_ms == beat.started_ms;
            if (is_same)
                RC_ASSERT(beat.sequence > before.sequence);
        }
        if (!it.is_present(said.arrives))
            continue;
        RC_ASSERT(!departed.contains(
            {it.current().instance, it.current().started_ms}));
    }
}

// Guards against late heartbeats at a node that was started after them and
// hears of the departures from others, several times.
RC_BOOST_PROP(undo_nothing_that_other_nodes_tell, ()) {
    time_point end;
    const auto history = random_history(end);
    std::vector<statement> said;
    for (const auto& it : history) {
        const auto times = it.is_departure ? *rc::gen::inRange(1, 4) : 1;
        said.insert(said.end(), static_cast<std::size_t>(times), it);
    }
    target_statements it(lifetime);
    std::set<std::pair<std::string, std::uint64_t>> departed;
    while (!said.empty()) {
        const auto n = *rc::gen::inRange<std::size_t>(0, said.size());
        const auto beat = said[n].heartbeat;
        if (said[n].is_departure) {
            it.end(end, beat.instance, beat.started_ms);
            departed.insert({beat.instance, beat.started_ms});
        } else {
            it.announce(end, beat);
        }
        said.erase(said.begin() + static_cast<std::ptrdiff_t>(n));
        const auto& current = it.current();
        if (it.is_present(end))
            RC_ASSERT(
                !departed.contains({current.instance, current.started_ms}));
    }
    // The address and the id may be used again at once.
    const std::string instance = *rc::gen::element("i-1", "i-2", "i-3");
    RC_ASSERT(it.announce(end, heartbeat(instance, 100'000, 1)));
    for (const auto& [name, started_ms] : departed)
        it.end(end, name, started_ms);
    RC_ASSERT(it.is_present(end));
}

// Guards against a target that late statements of earlier lives shut out.
RC_BOOST_PROP(shut_out_no_new_life, ()) {
    time_point end;
    const auto history = random_history(end);
    target_statements it(lifetime);
    const auto live = heartbeat("i-1", 100'000, 1);
    bool has_started = false;
    for (const auto& said : history) {
        if (said.arrives > end && !std::exchange(has_started, true))
            RC_ASSERT(it.announce(end, live));
        if (said.is_departure)
            it.depart(said.arrives, said.heartbeat.instance,
                      said.heartbeat.started_ms);
        else
            it.announce(said.arrives, said.heartbeat);
        if (has_started && said.arrives <= end + lifetime) {
            RC_ASSERT(it.is_present(said.arrives));
            RC_ASSERT(it.current() == live);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
