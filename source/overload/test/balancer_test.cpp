#include "test_time.hpp"

#include <redwingwind/overload/balancer.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace redwingwind;
using namespace redwingwind::overload;
using namespace std::chrono_literals;
using redwingwind::overload::test::at;

namespace {

std::vector<candidate> candidates(int in_each, int domains) {
    std::vector<candidate> all;
    for (int d = 0; d < domains; ++d)
        for (int n = 0; n < in_each; ++n)
            all.push_back({{"n" + std::to_string(d) + "-" + std::to_string(n)},
                           {"d" + std::to_string(d)},
                           10});
    return all;
}

struct balancer_fixture {
    explicit balancer_fixture(int in_each = 3, int domains = 3)
        : balance({}, {"self"}, {"d0"}) {
        balance.update(candidates(in_each, domains), at(0));
    }

    std::map<std::string, int> pick_many(std::int64_t ms, int count) {
        std::map<std::string, int> counts;
        for (int n = 0; n < count; ++n)
            if (const auto node = balance.pick(at(ms), {}, random))
                ++counts[node->value];
        return counts;
    }

    balancer balance;
    random_hook random = make_random(11);
};

} // namespace

BOOST_AUTO_TEST_SUITE(choice_of_targets)

BOOST_AUTO_TEST_CASE(stays_in_the_own_failure_domain_while_that_has_room) {
    balancer_fixture fixture;
    for (const auto& [node, n] : fixture.pick_many(5000, 100))
        BOOST_TEST(node.substr(0, 3) == "n0-");
}

BOOST_AUTO_TEST_CASE(uses_other_domains_when_the_own_one_is_busy) {
    balancer_fixture fixture;
    for (int n = 0; n < 3; ++n)
        for (int calls = 0; calls < 20; ++calls)
            fixture.balance.on_sent({"n0-" + std::to_string(n)});
    const auto counts = fixture.pick_many(5000, 200);
    BOOST_TEST(counts.size() > 3U);
}

BOOST_AUTO_TEST_CASE(prefers_the_less_loaded_target) {
    balancer_fixture fixture;
    fixture.balance.on_reply({"n0-0"}, {8, 0, 10});
    auto counts = fixture.pick_many(5000, 300);
    BOOST_TEST(counts["n0-0"] < counts["n0-1"] / 2);
}

BOOST_AUTO_TEST_CASE(never_picks_a_draining_target) {
    balancer_fixture fixture;
    fixture.balance.mark_draining({"n0-0"});
    BOOST_TEST(fixture.pick_many(5000, 300).count("n0-0") == 0U);
}

BOOST_AUTO_TEST_CASE(sends_few_calls_to_a_new_target_at_first) {
    balancer_fixture fixture;
    auto all = candidates(3, 3);
    all.push_back({{"n0-new"}, {"d0"}, 10});
    fixture.balance.update(all, at(5000));
    auto counts = fixture.pick_many(5050, 400);
    BOOST_TEST(counts["n0-new"] < counts["n0-0"]);
}

// Guards against a fault seen with real processes: the first call to a service
// went to another failure domain because all targets of the own one were in
// their slow start.
BOOST_AUTO_TEST_CASE(skips_the_slow_start_of_the_initial_targets) {
    balancer_fixture fixture;
    for (const auto& [node, n] : fixture.pick_many(1, 100))
        BOOST_TEST(node.substr(0, 3) == "n0-");
}

BOOST_AUTO_TEST_SUITE(after_failures)

BOOST_AUTO_TEST_CASE(ejects_a_failing_target_for_a_while) {
    balancer_fixture fixture;
    for (int n = 0; n < 3; ++n)
        fixture.balance.on_failure({"n0-0"}, at(5000));
    BOOST_TEST(fixture.pick_many(5500, 300).count("n0-0") == 0U);
    BOOST_TEST(fixture.pick_many(7000, 300).count("n0-0") == 1U);
}

BOOST_AUTO_TEST_CASE(never_ejects_more_than_half_of_the_targets) {
    balancer_fixture fixture(2, 1);
    for (int n = 0; n < 3; ++n) {
        fixture.balance.on_failure({"n0-0"}, at(5000));
        fixture.balance.on_failure({"n0-1"}, at(5000));
    }
    BOOST_TEST(fixture.pick_many(5500, 100).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(calls_only_a_subset_that_spans_domains) {
    balancer_fixture fixture(40, 3);
    BOOST_TEST(fixture.balance.size() == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
