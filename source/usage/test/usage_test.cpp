#define BOOST_TEST_MODULE usage
#include <redwingwind/usage/bill.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace redwingwind;
using namespace redwingwind::usage;

namespace {

usage_row row(const std::string& node, const std::string& owner,
              bool is_executing, std::uint64_t calls, std::uint64_t slot_us) {
    usage_row it;
    it.node = {{node}, {1}};
    it.owner = {owner};
    it.service = {"shop"};
    it.is_executing_side = is_executing;
    it.calls = calls;
    it.slot_time_us = slot_us;
    return it;
}

/// Successive reports of three nodes with increasing counters.
std::vector<usage_row> growing_reports(std::uint32_t seed) {
    std::mt19937 random(seed);
    std::vector<usage_row> all;
    for (const auto* node : {"n1", "n2", "n3"}) {
        std::uint64_t calls = 0;
        for (int n = 0; n < 8; ++n) {
            calls += random() % 5;
            all.push_back(
                row(node, n % 2 == 0 ? "a" : "b", true, calls, calls * 10));
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(roll_ups)

RC_BOOST_PROP(do_not_depend_on_order_or_duplicates, ()) {
    const auto reports = growing_reports(*rc::gen::arbitrary<std::uint32_t>());
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    roll_up in_order;
    for (const auto& it : reports)
        in_order.merge(it);
    auto shuffled = reports;
    shuffled.insert(shuffled.end(), reports.begin(), reports.end());
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    roll_up one_holder;
    roll_up other_holder;
    for (const auto& it : shuffled)
        (random() % 2 == 0 ? one_holder : other_holder).merge(it);
    one_holder.merge(other_holder);
    RC_ASSERT(one_holder == in_order);
}

BOOST_AUTO_TEST_CASE(are_chained_by_hashes_that_reveal_alterations) {
    roll_up more;
    more.merge(row("n1", "a", true, 5, 500));
    auto document = extend({}, more, 1);
    more.merge(row("n1", "a", true, 9, 900));
    document = extend(document, more, 2);
    const auto again = parse_usage(to_text(document));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(verify(*again).ok());
    auto altered = *again;
    altered.content.merge(row("n1", "a", true, 90, 9000));
    BOOST_TEST(!verify(altered).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bills)

BOOST_AUTO_TEST_CASE(split_slot_time_and_control_cost_by_usage) {
    roll_up all;
    all.merge(row("n1", "a", true, 3, 300));
    all.merge(row("n2", "b", true, 1, 100));
    usage_row control = row("n1", "~control", true, 0, 40);
    control.service = {control_service};
    all.merge(control);
    const auto bill = make_bill(all);
    BOOST_REQUIRE(bill.size() == 2U);
    BOOST_TEST(bill[0].share == 0.75);
    BOOST_TEST(bill[0].control_us == 30U);
    BOOST_TEST(bill[1].control_us == 10U);
}

BOOST_AUTO_TEST_CASE(show_where_the_two_sides_counted_differently) {
    roll_up all;
    all.merge(row("caller", "a", false, 3, 300));
    all.merge(row("executor", "a", true, 3, 300));
    BOOST_TEST(compare_sides(all).empty());
    all.merge(row("executor", "a", true, 4, 350));
    const auto differences = compare_sides(all);
    BOOST_REQUIRE(differences.size() == 1U);
    BOOST_TEST(differences[0].caller_calls == 3U);
    BOOST_TEST(differences[0].executor_calls == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
