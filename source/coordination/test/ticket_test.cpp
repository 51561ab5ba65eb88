#include <redwingwind/coordination/ticket.hpp>

#include <redwingwind/common/error.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <random>

using namespace redwingwind;
using namespace redwingwind::coordination;
using namespace std::chrono_literals;

namespace {

const node_incarnation home{{"n1"}, {5}};

time_point at(std::int64_t ms) {
    return time_point(std::chrono::milliseconds(ms + 1000));
}

keyring keys() {
    return *keyring::parse("1:000102030405060708090a0b0c0d0e0f");
}

ticket_table make_table(std::size_t max_entries = 100) {
    return {{max_entries, 1U << 20U, 1s}, home};
}

stored_response done(const std::string& body) {
    return {outcome::done, error_code::none, 200, "text/plain", body};
}

} // namespace

BOOST_AUTO_TEST_SUITE(tickets)

BOOST_AUTO_TEST_SUITE(as_text)

BOOST_AUTO_TEST_CASE(survive_a_round_trip) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    const auto again = parse_ticket(to_text(t, keys()), keys());
    BOOST_REQUIRE(again.ok());
    BOOST_TEST((*again == t));
}

RC_BOOST_PROP(are_forged_when_any_character_is_changed, ()) {
    auto table = make_table();
    auto text = to_text(table.mint(at(0)), keys());
    const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto c = *rc::gen::element('0', '9', 'a', '~', 'n', ' ');
    RC_PRE(text[index] != c);
    text[index] = c;
    const auto parsed = parse_ticket(text, keys());
    RC_ASSERT(code_of(parsed.status()) == error_code::ticket_forged);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_their_home)

BOOST_AUTO_TEST_CASE(are_dispatched_once_and_then_return_the_stored_response) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    BOOST_TEST(int(table.claim(at(1), t, 9)) == int(claim_result::dispatch));
    BOOST_TEST(int(table.claim(at(2), t, 9)) == int(claim_result::wait));
    table.complete(t, done("yes"));
    BOOST_TEST(int(table.claim(at(3), t, 9)) == int(claim_result::completed));
    BOOST_TEST(table.response(t)->body == "yes");
}

BOOST_AUTO_TEST_CASE(can_be_dispatched_again_when_provably_not_executed) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    table.claim(at(1), t, 9);
    table.complete(t, {outcome::not_run, error_code::unreachable, 0, "", ""});
    BOOST_TEST(int(table.claim(at(2), t, 9)) == int(claim_result::dispatch));
}

BOOST_AUTO_TEST_CASE(cannot_be_dispatched_again_after_an_unknown_outcome) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    table.claim(at(1), t, 9);
    table.complete(t, {outcome::unknown, error_code::timed_out, 0, "", ""});
    BOOST_TEST(int(table.claim(at(2), t, 9)) == int(claim_result::completed));
}

BOOST_AUTO_TEST_CASE(serve_one_request_only) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    table.claim(at(1), t, 9);
    BOOST_TEST(int(table.claim(at(2), t, 10)) == int(claim_result::reused));
}

BOOST_AUTO_TEST_CASE(are_not_dispatched_after_they_were_cancelled) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    BOOST_TEST(table.cancel(at(1), t));
    BOOST_TEST(int(table.claim(at(2), t, 9)) == int(claim_result::cancelled));
}

BOOST_AUTO_TEST_CASE(cannot_be_cancelled_after_use) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    table.claim(at(1), t, 9);
    BOOST_TEST(!table.cancel(at(2), t));
}

BOOST_AUTO_TEST_CASE(expire_and_are_removed) {
    auto table = make_table();
    const auto t = table.mint(at(0));
    table.claim(at(1), t, 9);
    table.complete(t, done("yes"));
    table.remove_expired(at(60000));
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(int(table.claim(at(60001), t, 9)) == int(claim_result::expired));
    BOOST_TEST(!table.cancel(at(60002), t));
}

BOOST_AUTO_TEST_CASE(belong_to_one_incarnation) {
    ticket_table later({100, 1U << 20U, 1s}, {{"n1"}, {6}});
    const auto t = make_table().mint(at(0));
    BOOST_TEST(int(later.claim(at(1), t, 9)) == int(claim_result::other_home));
}

BOOST_AUTO_TEST_CASE(are_rejected_when_the_table_is_full) {
    auto table = make_table(1);
    table.claim(at(1), table.mint(at(0)), 9);
    BOOST_TEST(int(table.claim(at(1), table.mint(at(0)), 9)) ==
               int(claim_result::full));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(are_kept_on_a_machine_that_has_just_booted) {
    // The monotonic clock has run for less time than used tickets are kept
    // after their expiry. They must not count as expired.
    auto table = make_table();
    const auto cancelled = table.mint(at(0));
    const auto completed = table.mint(at(0));
    BOOST_REQUIRE(table.cancel(at(0), cancelled));
    BOOST_TEST((table.claim(at(0), completed, 9) == claim_result::dispatch));
    table.complete(completed, done("x"));
    table.remove_expired(at(1));
    BOOST_TEST((table.claim(at(2), cancelled, 9) == claim_result::cancelled));
    BOOST_TEST((table.claim(at(2), completed, 9) == claim_result::completed));
}

// In any order of operations, a ticket is dispatched at most once between two
// outcomes not_run, and never after it was cancelled.
RC_BOOST_PROP(are_never_dispatched_twice, ()) {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    auto table = make_table(10);
    std::vector<ticket> all;
    for (int n = 0; n < 4; ++n)
        all.push_back(table.mint(at(0)));
    std::map<std::uint64_t, int> dispatched;
    std::map<std::uint64_t, bool> cancelled;
    for (int n = 0; n < 200; ++n) {
        const auto now = at(std::int64_t{400} * n);
        const auto& t = all[random() % all.size()];
        switch (random() % 5) {
        case 0:
        case 1:
            if (table.claim(now, t, 9) == claim_result::dispatch) {
                ++dispatched[t.sequence];
                RC_ASSERT(!cancelled[t.sequence]);
            }
            break;
        case 2:
            if (dispatched[t.sequence] > 0 && random() % 2 == 0) {
                table.complete(t, done("x"));
            } else if (dispatched[t.sequence] > 0 &&
                       table.claim(now, t, 9) == claim_result::wait) {
                table.complete(t,
                               {outcome::not_run, error_code::none, 0, "", ""});
                --dispatched[t.sequence];
            }
            break;
        case 3:
            if (random() % 4 == 0 && table.cancel(now, t)) {
                cancelled[t.sequence] = true;
                RC_ASSERT(dispatched[t.sequence] == 0);
            }
            break;
        default:
            table.remove_expired(now);
        }
        RC_ASSERT(dispatched[t.sequence] <= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
