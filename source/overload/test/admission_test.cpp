#define BOOST_TEST_MODULE overload
#include "test_time.hpp"

#include <redwingwind/overload/admission.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <set>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace std::chrono_literals;
using redwingwind::overload::test::at;

namespace {

admission_call make_call(std::uint64_t id, importance kind, time_point deadline,
                         const std::string& owner = "a") {
    return {id, rank_of(kind, std::to_string(id)), {owner}, deadline};
}

admission make_admission(std::uint32_t slots, double queue_per_slot = 0.5) {
    admission_options options;
    options.limit.announced_slots = slots;
    options.limit.warm_up = duration::zero();
    options.queue_per_slot = queue_per_slot;
    return {options, [](const owner_name&) { return 1.0; }, at(0)};
}

/// Applies the actions of an admission to its own record of the calls, to check
/// them independently.
struct call_tracker {
    std::map<std::uint64_t, importance> waiting;
    std::map<std::uint64_t, importance> running;

    void apply(const admission_actions& actions) {
        for (const auto& it : actions.reject)
            waiting.erase(it.id);
        for (const auto id : actions.stop)
            running.erase(id);
        for (const auto id : actions.start) {
            running[id] = waiting.at(id);
            waiting.erase(id);
        }
    }

    bool has_less_important() const {
        const auto is_not_critical = [](const auto& it) {
            return !is_critical(it.second);
        };
        return std::any_of(waiting.begin(), waiting.end(), is_not_critical) ||
               std::any_of(running.begin(), running.end(), is_not_critical);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission_of_calls)

BOOST_AUTO_TEST_SUITE(while_there_is_room)

BOOST_AUTO_TEST_CASE(a_call_starts_at_once) {
    auto a = make_admission(2);
    const auto actions =
        a.arrive(at(1), make_call(1, importance::browse, at(500)));
    BOOST_TEST(actions.start == std::vector<std::uint64_t>{1});
    BOOST_TEST(a.running() == 1U);
}

BOOST_AUTO_TEST_CASE(the_next_one_waits_and_starts_when_a_slot_is_free) {
    auto a = make_admission(1);
    a.arrive(at(1), make_call(1, importance::browse, at(500)));
    BOOST_TEST(a.arrive(at(2), make_call(2, importance::browse, at(500)))
                   .start.empty());
    const auto actions = a.finish(at(3), 1, execution_result::completed);
    BOOST_TEST(actions.start == std::vector<std::uint64_t>{2});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_queue_is_full)

BOOST_AUTO_TEST_CASE(an_order_displaces_a_waiting_browse) {
    auto a = make_admission(1);
    std::uint64_t id = 1;
    while (a.queued() < 16)
        a.arrive(at(1), make_call(id++, importance::browse, at(5000)));
    const auto actions =
        a.arrive(at(2), make_call(id, importance::order, at(5000)));
    BOOST_REQUIRE(actions.reject.size() == 1U);
    BOOST_TEST(actions.reject[0].id != id);
}

BOOST_AUTO_TEST_CASE(
    an_order_stops_a_running_browse_rather_than_being_rejected) {
    auto a = make_admission(1);
    a.arrive(at(1), make_call(1, importance::browse, at(5000)));
    std::uint64_t id = 2;
    while (a.queued() < 16)
        a.arrive(at(1), make_call(id++, importance::order, at(5000)));
    const auto actions =
        a.arrive(at(2), make_call(id, importance::order, at(5000)));
    BOOST_TEST(actions.reject.empty());
    BOOST_TEST(actions.stop == std::vector<std::uint64_t>{1});
}

BOOST_AUTO_TEST_CASE(a_call_of_the_owner_above_its_share_is_rejected_first) {
    auto a = make_admission(1);
    std::uint64_t id = 1;
    while (a.queued() < 16)
        a.arrive(at(1), make_call(id++, importance::browse, at(5000), "many"));
    const auto actions =
        a.arrive(at(2), make_call(id, importance::browse, at(5000), "few"));
    BOOST_REQUIRE(actions.reject.size() == 1U);
    BOOST_TEST(actions.reject[0].id != id);
    BOOST_TEST(int(actions.reject[0].why) == int(error_code::over_share));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(deadlines)

BOOST_AUTO_TEST_CASE(a_call_that_cannot_finish_in_time_is_rejected_at_once) {
    auto a = make_admission(4);
    a.arrive(at(0), make_call(1, importance::browse, at(5000)));
    a.finish(at(100), 1, execution_result::completed);
    const auto actions =
        a.arrive(at(101), make_call(2, importance::browse, at(110)));
    BOOST_REQUIRE(actions.reject.size() == 1U);
    BOOST_TEST(int(actions.reject[0].why) ==
               int(error_code::deadline_too_short));
}

BOOST_AUTO_TEST_CASE(a_waiting_call_is_rejected_after_its_deadline) {
    auto a = make_admission(1);
    a.arrive(at(0), make_call(1, importance::browse, at(5000)));
    a.arrive(at(0), make_call(2, importance::browse, at(50)));
    const auto actions = a.tick(at(60));
    BOOST_REQUIRE(actions.reject.size() == 1U);
    BOOST_TEST(actions.reject[0].id == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_any_arrivals)

// The requirement: no payment or order is rejected for load while a browse or
// lookup is executing or queued at the target.
RC_BOOST_PROP(no_order_is_rejected_for_load_while_a_browse_or_lookup_is_there,
              ()) {
    const auto slots = *rc::gen::inRange(1, 6);
    auto a = make_admission(static_cast<std::uint32_t>(slots),
                            *rc::gen::element(0.25, 0.5, 2.0));
    call_tracker tracker;
    const auto events =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    std::int64_t now = 0;
    std::uint64_t next = 1;
    for (const auto event : events) {
        now += event % 7;
        if (event < 60 || tracker.running.empty()) {
            const auto kind = static_cast<importance>(event % 4);
            const auto call = make_call(next++, kind, at(now + 4000));
            tracker.waiting[call.id] = kind;
            const auto actions = a.arrive(at(now), call);
            const auto kinds = tracker.waiting;
            tracker.apply(actions);
            for (const auto& it : actions.reject) {
                const bool is_for_load = it.why == error_code::overloaded ||
                                         it.why == error_code::over_share;
                if (is_for_load && is_critical(kinds.at(it.id)))
                    RC_ASSERT(!tracker.has_less_important());
            }
        } else if (event < 95) {
            const auto id = tracker.running.begin()->first;
            tracker.running.erase(id);
            tracker.apply(a.finish(at(now), id, execution_result::completed));
        } else {
            tracker.apply(a.tick(at(now)));
        }
        RC_ASSERT(a.running() == tracker.running.size());
        RC_ASSERT(a.queued() == tracker.waiting.size());
        RC_ASSERT(a.running() <= a.limit(at(now)) * 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
