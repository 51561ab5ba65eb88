#include <redwingwind/coordination/member.hpp>

#include <boost/test/unit_test.hpp>

using namespace redwingwind::coordination;

BOOST_AUTO_TEST_SUITE(an_address_from_outside)

BOOST_AUTO_TEST_CASE(is_numeric_with_a_port_in_range) {
    BOOST_TEST((parse_address("10.1.0.8:7620") == address{"10.1.0.8", 7620}));
    // A host name would be looked up each time that it is used.
    for (const auto* bad :
         {"", ":", ":80", "10.1.0.8", "10.1.0.8:", "10.1.0.8:65536",
          "10.1.0.8:-1", "10.1.0.8:99999999999", "10.1.0.8:8x", "localhost:80",
          "10.1.0:80", "10.1.0.256:80", " 10.1.0.8:80"})
        BOOST_TEST((parse_address(bad) == address{}), bad);
}

BOOST_AUTO_TEST_SUITE_END()
