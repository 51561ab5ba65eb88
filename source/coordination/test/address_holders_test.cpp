#include <redwingwind/coordination/address_holders.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::coordination;

namespace {

member_record record_of(const std::string& name, member_state state) {
    member_record it;
    it.id = {{name}, {1}};
    it.endpoint = {"10.0.0.1", 1000};
    it.state = state;
    return it;
}

using change = address_holders::change;

const node_name first{"n-1"};
const node_name second{"n-2"};

} // namespace

BOOST_AUTO_TEST_SUITE(an_address)

BOOST_AUTO_TEST_CASE(passes_to_the_node_heard_of_last) {
    address_holders it;
    BOOST_TEST((it.update(record_of("n-1", member_state::alive)) ==
                change{std::nullopt, first}));
    BOOST_TEST((it.update(record_of("n-2", member_state::alive)) ==
                change{first, second}));
    BOOST_TEST((it.update(record_of("n-2", member_state::left)) ==
                change{second, first}));
    BOOST_TEST((it.update(record_of("n-1", member_state::dead)) ==
                change{first, std::nullopt}));
}

// Guards against the suspicion of an earlier life that takes the address.
BOOST_AUTO_TEST_CASE(stays_with_a_restarted_node_while_its_earlier_life_fades) {
    address_holders it;
    it.update(record_of("n-1", member_state::alive));
    it.update(record_of("n-2", member_state::alive));
    for (const auto state : {member_state::suspect, member_state::dead})
        BOOST_TEST(
            (it.update(record_of("n-1", state)) == change{second, second}));
}

BOOST_AUTO_TEST_CASE(stays_with_a_suspect_that_is_alone_there) {
    address_holders it;
    it.update(record_of("n-1", member_state::alive));
    BOOST_TEST((it.update(record_of("n-1", member_state::suspect)) ==
                change{first, first}));
}

BOOST_AUTO_TEST_CASE(tells_which_other_nodes_are_known_there) {
    address_holders it;
    it.update(record_of("n-1", member_state::suspect));
    it.update(record_of("n-2", member_state::alive));
    const address here{"10.0.0.1", 1000};
    BOOST_TEST((it.others_at(here, second) == std::vector{first}));
    it.update(record_of("n-1", member_state::dead));
    BOOST_TEST(it.others_at(here, second).empty());
    BOOST_TEST(it.others_at({"10.0.0.2", 1000}, second).empty());
}

// Guards against gossip about earlier lives that hides the one there, in
// whatever order it arrives.
RC_BOOST_PROP(ends_with_the_life_that_answers, ()) {
    const int lives = *rc::gen::inRange(1, 5);
    std::vector<std::vector<member_record>> said;
    for (int n = 0; n < lives; ++n) {
        const auto name = "n-" + std::to_string(n);
        said.push_back({record_of(name, member_state::alive)});
        if (n + 1 == lives)
            continue;
        // Records of one life are ordered by their versions.
        said.back().push_back(record_of(name, member_state::suspect));
        if (*rc::gen::arbitrary<bool>())
            said.back().push_back(record_of(name, member_state::dead));
    }
    address_holders it;
    std::optional<node_name> holder;
    while (true) {
        std::erase_if(said,
                      [](const auto& records) { return records.empty(); });
        if (said.empty())
            break;
        auto& records = said[*rc::gen::inRange<std::size_t>(0, said.size())];
        const auto result = it.update(records.front());
        RC_ASSERT(result.before == holder);
        holder = result.now;
        records.erase(records.begin());
    }
    RC_ASSERT(holder == node_name{"n-" + std::to_string(lives - 1)});
}

BOOST_AUTO_TEST_SUITE_END()
