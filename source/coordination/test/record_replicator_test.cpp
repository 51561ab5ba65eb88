#include <redwingwind/coordination/record_replicator.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

using namespace redwingwind;
using namespace redwingwind::coordination;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::seconds(100)};

struct replicator_fixture {
    replicator_fixture() {
        for (int n = 0; n < 10; ++n)
            live.push_back({"n-" + std::to_string(n)});
    }

    record_replicator::hooks hooks() {
        record_replicator::hooks h;
        h.live_nodes = [this] { return live.size(); };
        h.choose = [this](std::size_t n, const std::set<node_name>& asked) {
            auto names = live;
            std::stable_partition(
                names.begin(), names.end(),
                [&](const auto& name) { return !asked.contains(name); });
            names.resize(std::min(n, names.size()));
            return names;
        };
        h.send = [this](const node_name& to, const member_record&) {
            sent.push_back(to);
            return sent.size();
        };
        return h;
    }

    void begin() {
        it.start(start, {}, [this](bool is_kept) { result = is_kept; });
    }

    std::vector<node_name> live;
    /// The number of a sending is its place here, from 1.
    std::vector<node_name> sent;
    std::optional<bool> result;
    record_replicator it{{}, hooks()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_record, replicator_fixture)

BOOST_AUTO_TEST_CASE(is_kept_once_enough_nodes_confirmed_it) {
    begin();
    BOOST_TEST(sent.size() == 4U);
    for (std::size_t n = 1; n <= 4; ++n) {
        BOOST_TEST(!result.has_value());
        // A confirmation that comes twice counts once.
        it.on_confirmed(n);
        it.on_confirmed(n);
    }
    BOOST_TEST(result.value_or(false));
    BOOST_TEST((it.next_due() == time_point::max()));
}

BOOST_AUTO_TEST_CASE(goes_to_others_when_some_do_not_confirm) {
    begin();
    it.on_confirmed(1);
    it.tick(it.next_due());
    BOOST_TEST(sent.size() == 8U);
    BOOST_TEST(std::set<node_name>(sent.begin(), sent.end()).size() == 8U);
    for (std::size_t n = 5; n <= 7; ++n)
        it.on_confirmed(n);
    BOOST_TEST(result.value_or(false));
}

// Guards against a promise that only the node knows that gave it.
BOOST_AUTO_TEST_CASE(is_not_kept_when_no_node_confirms) {
    begin();
    it.tick(start + 699ms);
    BOOST_TEST(!result.has_value());
    it.tick(start + 700ms);
    BOOST_TEST(!result.value_or(true));
}

BOOST_AUTO_TEST_CASE(is_kept_by_one_when_the_time_is_over) {
    begin();
    it.on_confirmed(2);
    it.tick(start + 700ms);
    BOOST_TEST(result.value_or(false));
}

BOOST_AUTO_TEST_CASE(is_kept_by_all_nodes_of_a_small_deployment) {
    live.resize(2);
    begin();
    it.on_confirmed(1);
    BOOST_TEST(!result.has_value());
    it.on_confirmed(2);
    BOOST_TEST(result.value_or(false));
}

BOOST_AUTO_TEST_CASE(is_kept_by_a_node_alone) {
    live.clear();
    begin();
    it.tick(start + 150ms);
    BOOST_TEST(!result.has_value());
    it.tick(start + 700ms);
    BOOST_TEST(result.value_or(false));
}

BOOST_AUTO_TEST_SUITE_END()
