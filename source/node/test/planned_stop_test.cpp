#define BOOST_TEST_MODULE parts_of_a_node
#include "planned_stop.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwingwind;
using namespace redwingwind::node;
using ms = std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::seconds(100)};

struct stopping_node {
    stopping_node() : stop(ms(5500)) { stop.begin(start); }

    planned_stop stop;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_planned_stop)

BOOST_AUTO_TEST_CASE(does_nothing_before_it_begins) {
    planned_stop stop(ms(5500));
    BOOST_TEST(!stop.closes_connections(start));
    BOOST_TEST(!stop.takes_until(start).has_value());
    BOOST_TEST(!stop.is_over(start, true));
}

BOOST_FIXTURE_TEST_CASE(serves_all_until_callers_went_elsewhere,
                        stopping_node) {
    BOOST_TEST(!stop.closes_connections(start + ms(2000)));
    BOOST_TEST(!stop.takes_until(start + ms(2500)).has_value());
    BOOST_TEST(!stop.is_over(start + ms(2500), true));
}

BOOST_FIXTURE_TEST_CASE(then_takes_what_it_can_finish, stopping_node) {
    BOOST_TEST(stop.closes_connections(start + ms(2600)));
    const auto end = stop.takes_until(start + ms(3000));
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == start + ms(5200)));
}

BOOST_FIXTURE_TEST_CASE(takes_nothing_just_before_it_ends, stopping_node) {
    BOOST_TEST(!stop.is_over(start + ms(3400), true));
    BOOST_TEST((*stop.takes_until(start + ms(3410)) <= start + ms(3410)));
    BOOST_TEST(!stop.is_over(start + ms(3450), true));
    // What came in before is still answered.
    BOOST_TEST(!stop.is_over(start + ms(3550), false));
    BOOST_TEST(stop.is_over(start + ms(3600), true));
}

BOOST_FIXTURE_TEST_CASE(ends_at_its_limit, stopping_node) {
    BOOST_TEST(!stop.is_over(start + ms(5400), false));
    BOOST_TEST(stop.is_over(start + ms(5600), false));
}

BOOST_FIXTURE_TEST_CASE(keeps_its_limit_once_begun, stopping_node) {
    stop.set_limit(ms(1000));
    stop.begin(start + ms(1000));
    BOOST_TEST(!stop.is_over(start + ms(5400), false));
}

BOOST_AUTO_TEST_SUITE_END()
