#include "port_block.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace redwingwind::integration;

BOOST_AUTO_TEST_SUITE(ports_of_a_test)

BOOST_AUTO_TEST_CASE(are_none_that_the_system_gives_to_connections) {
    constexpr std::size_t count = 20;
    const port_block ports(count);
    BOOST_REQUIRE(ports.size() == count);
    const auto range = system_port_range();
    for (const int it : ports.all())
        BOOST_TEST((it < range.first || it > range.last));
}

BOOST_AUTO_TEST_CASE(are_no_other_tests_at_the_same_time) {
    constexpr std::size_t count = 20;
    const port_block one(count);
    const port_block other(count);
    for (const auto it : one.all())
        BOOST_TEST((std::find(other.all().begin(), other.all().end(), it) ==
                    other.all().end()));
}

BOOST_AUTO_TEST_SUITE_END()
