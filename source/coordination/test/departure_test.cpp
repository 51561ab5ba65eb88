#include <redwingwind/coordination/departure.hpp>

#include <boost/test/unit_test.hpp>

using namespace redwingwind;
using namespace redwingwind::coordination;

BOOST_AUTO_TEST_SUITE(a_departure)

BOOST_AUTO_TEST_CASE(travels_as_the_record_of_a_node_that_left) {
    member_record reporter;
    reporter.id = {{"10.0.0.1:1000:0000002a"}, {42}};
    reporter.endpoint = {"10.0.0.1", 1000};
    reporter.domain = {"d1"};
    const target_departure said{"i with spaces ", 1'234'567, reporter.id.name,
                                reporter.endpoint};
    const auto record = to_record(said, reporter);
    BOOST_TEST((record.state == member_state::left));
    BOOST_TEST((record.target == target_state::draining));
    BOOST_TEST((record.domain == reporter.domain));
    const auto read = departure_of(record);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == said));
    BOOST_TEST(!departure_of(reporter).has_value());
    // A later life of the instance supersedes an earlier one.
    auto later = said;
    ++later.started_ms;
    BOOST_TEST(supersedes(to_record(later, reporter), record));
    BOOST_TEST(!supersedes(record, to_record(later, reporter)));
}

BOOST_AUTO_TEST_CASE(is_not_read_from_what_another_writer_left_incomplete) {
    member_record record;
    record.state = member_state::left;
    for (const char* name : {"departure ", "departure n-1", "departures n i"}) {
        record.id.name.value = name;
        BOOST_TEST(!departure_of(record).has_value());
    }
    record.id.name.value = "departure n-1 i-1";
    BOOST_TEST(departure_of(record).has_value());
    record.state = member_state::alive;
    BOOST_TEST(!departure_of(record).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
