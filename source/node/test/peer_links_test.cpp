#include "peer_links.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace redwingwind;
using namespace redwingwind::node;
using namespace std::chrono_literals;

namespace {

constexpr duration patience = 5s;
const auto keys =
    *coordination::keyring::parse("1:000102030405060708090a0b0c0d0e0f");

node_incarnation life(const std::string& name, std::uint64_t number) {
    return {node_name{name}, incarnation{number}};
}

/// One node's links, and what they tell it, in order.
struct end_of_links {
    end_of_links(io::reactor& loop, const node_incarnation& who,
                 link_options options = {})
        : self(who) {
        peer_links::hooks h;
        h.on_frame = [this](const node_incarnation& from,
                            const coordination::frame& message) {
            const auto& cancel = std::get<coordination::cancel_frame>(message);
            seen.push_back("frame " + std::to_string(cancel.sequence) +
                           " from " + from.name.value);
        };
        h.on_down = [this](const node_incarnation& node, bool was_connected) {
            seen.push_back((was_connected ? "down " : "never up ") +
                           node.name.value);
        };
        h.on_caller_gone = [this](const node_incarnation& node) {
            seen.push_back("gone " + node.name.value);
        };
        h.on_greeted = [this](const node_incarnation& node,
                              const coordination::address& at, time_point) {
            greeted.push_back(node.name.value + " at " + to_string(at));
        };
        h.on_undelivered = [this](const node_incarnation& node) {
            seen.push_back("undelivered " + node.name.value);
        };
        h.random = make_random(who.life.value);
        links.emplace(loop, keys, self, coordination::address{"127.0.0.1", 0},
                      options, std::move(h));
    }

    coordination::member_record record() const {
        coordination::member_record it;
        it.id = self;
        it.endpoint = {"127.0.0.1", links->port()};
        return it;
    }

    node_incarnation self;
    std::vector<std::string> seen;
    /// Who answered, and where.
    std::vector<std::string> greeted;
    std::optional<peer_links> links;
};

struct three_ends {
    bool wait_seen(const end_of_links& at, std::size_t n) {
        return loop.run_until([&] { return at.seen.size() >= n; }, patience);
    }

    io::reactor loop;
    end_of_links target{loop, life("target", 1)};
    /// The same life twice: its first connection ends late, as when the last
    /// packet of it was lost.
    end_of_links caller{loop, life("caller", 2)};
    end_of_links caller_again{loop, life("caller", 2)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(links_of_a_node, three_ends)

BOOST_AUTO_TEST_CASE(end_with_the_next_one_of_their_opener) {
    caller.links->send(target.record(), coordination::cancel_frame{1});
    BOOST_REQUIRE(wait_seen(target, 1));
    caller_again.links->send(target.record(), coordination::cancel_frame{2});
    BOOST_REQUIRE(wait_seen(target, 3));
    // The end of the first one comes before what the second one brings.
    const std::vector<std::string> wanted{"frame 1 from caller", "gone caller",
                                          "frame 2 from caller"};
    BOOST_TEST(target.seen == wanted, boost::test_tools::per_element());
    caller.links->drop(target.self);
    BOOST_TEST(!loop.run_until([&] { return target.seen.size() > 3; }, 200ms));
    target.links->send_back(caller.self, coordination::cancel_frame{3});
    BOOST_TEST(wait_seen(caller_again, 1));
}

// Guards against a greeting for the life before a restart that ends the link in
// use, and the calls on it.
BOOST_AUTO_TEST_CASE(outlast_one_that_is_opened_for_an_earlier_life) {
    caller.links->send(target.record(), coordination::cancel_frame{1});
    BOOST_REQUIRE(wait_seen(target, 1));
    auto earlier = target.record();
    earlier.id = life("earlier", 9);
    for (std::size_t n = 0; n < 3; ++n) {
        caller.links->send(earlier, coordination::cancel_frame{2});
        BOOST_REQUIRE(wait_seen(caller, n + 1));
        BOOST_TEST(caller.seen.back() == "never up earlier");
    }
    const auto answered = "target at " + to_string(earlier.endpoint);
    const std::vector<std::string> greeted(4, answered);
    BOOST_TEST(caller.greeted == greeted, boost::test_tools::per_element());
    caller.links->send(target.record(), coordination::cancel_frame{3});
    BOOST_REQUIRE(wait_seen(target, 2));
    const std::vector<std::string> wanted{"frame 1 from caller",
                                          "frame 3 from caller"};
    BOOST_TEST(target.seen == wanted, boost::test_tools::per_element());
    target.links->send_back(caller.self, coordination::cancel_frame{4});
    BOOST_REQUIRE(wait_seen(caller, 4));
    BOOST_TEST(caller.seen.back() == "frame 4 from target");
    BOOST_TEST(caller.links->counters().answered_by_other_life == 3U);
    BOOST_TEST(target.links->counters().superseded == 0U);
}

// Guards against a cancellation that opens a connection to a node that is gone.
BOOST_AUTO_TEST_CASE(are_not_opened_for_what_only_an_open_one_is_about) {
    caller.links->send_if_open(target.self, coordination::cancel_frame{1});
    BOOST_TEST(caller.links->open_links() == 0U);
    caller.links->send(target.record(), coordination::cancel_frame{2});
    caller.links->send_if_open(target.self, coordination::cancel_frame{3});
    BOOST_REQUIRE(wait_seen(target, 2));
    BOOST_TEST(target.seen.back() == "frame 3 from caller");
}

// The owner takes all frames to a node for undelivered that it gave before the
// report of a link that never came up.
BOOST_AUTO_TEST_CASE(deliver_no_frame_that_they_report_as_never_sent) {
    link_options options;
    options.most_links = 1;
    end_of_links full(loop, life("full", 3), options);
    end_of_links other(loop, life("other", 4));
    full.links->send(other.record(), coordination::cancel_frame{1});
    BOOST_REQUIRE(wait_seen(other, 1));
    full.links->send(target.record(), coordination::cancel_frame{2});
    full.links->drop(other.self);
    full.links->send(target.record(), coordination::cancel_frame{3});
    BOOST_REQUIRE(wait_seen(full, 2));
    BOOST_TEST(full.seen.back() == "never up target");
    BOOST_TEST(!loop.run_until([&] { return !target.seen.empty(); }, 200ms));
    full.links->send(target.record(), coordination::cancel_frame{4});
    BOOST_REQUIRE(wait_seen(target, 1));
    BOOST_TEST(target.seen[0] == "frame 4 from full");
}

BOOST_AUTO_TEST_CASE(tell_of_a_reply_that_has_no_way_back) {
    target.links->send_back(caller.self, coordination::cancel_frame{1});
    BOOST_REQUIRE(target.seen.size() == 1U);
    BOOST_TEST(target.seen[0] == "undelivered caller");
}

BOOST_AUTO_TEST_SUITE_END()
