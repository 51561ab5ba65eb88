#include "relay_log.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwingwind;
using namespace redwingwind::node;

BOOST_AUTO_TEST_SUITE(lines_about_calls)

BOOST_AUTO_TEST_CASE(are_not_crowded_out_by_rejections) {
    const time_point now{std::chrono::seconds(10)};
    relay_log log({"n1"});
    relay::call_event rejection;
    rejection.name = "turned_away";
    for (int n = 0; n < 100; ++n)
        log.call(now, rejection);
    const auto left_out = log.left_out();
    BOOST_TEST(left_out > 0U);
    relay::call_event repeat;
    repeat.name = "repeated";
    for (int n = 0; n < 10; ++n)
        log.call(now, repeat);
    BOOST_TEST(log.left_out() == left_out);
}

BOOST_AUTO_TEST_SUITE_END()
