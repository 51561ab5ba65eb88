#include <redwingwind/overload/request_retry_budget.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <functional>
#include <random>

using namespace redwingwind::overload;

namespace {

/// A random call tree whose calls fail, whose replies get lost, and whose
/// callers retry as long as their ledgers allow.
class random_tree {
  public:
    random_tree(std::uint32_t seed, int fan_out)
        : random_(seed), fan_out_(fan_out) {}

    std::uint32_t retries() const { return retries_; }

    /// Runs one call with a ledger; returns what is left of it.
    std::uint32_t run(std::uint32_t budget, int depth) {
        request_retry_budget ledger(budget);
        if (depth == 0)
            return ledger.left();
        const int children = 1 + int(random_() % unsigned(fan_out_));
        for (int n = 0; n < children; ++n)
            call_child(ledger, depth);
        return ledger.left();
    }

  private:
    void call_child(request_retry_budget& ledger, int depth) {
        while (true) {
            const auto lent = ledger.allocate();
            const auto left = run(lent, depth - 1);
            const bool is_lost = random_() % 4 == 0;
            if (!is_lost)
                ledger.reclaim(lent, left);
            const bool failed = is_lost || random_() % 2 == 0;
            if (!failed || !ledger.take())
                return;
            ++retries_;
        }
    }

    std::mt19937 random_;
    int fan_out_;
    std::uint32_t retries_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

RC_BOOST_PROP(of_one_root_request_never_exceed_its_budget, ()) {
    const auto budget = *rc::gen::inRange<std::uint32_t>(0, 6);
    const auto depth = *rc::gen::inRange(1, 6);
    random_tree tree(*rc::gen::arbitrary<std::uint32_t>(),
                     *rc::gen::inRange(1, 4));
    const auto left = tree.run(budget, depth);
    RC_ASSERT(tree.retries() + left <= budget);
}

BOOST_AUTO_TEST_CASE(a_reply_cannot_give_back_more_than_was_lent) {
    request_retry_budget ledger(4);
    const auto lent = ledger.allocate();
    ledger.reclaim(lent, 100);
    BOOST_TEST(ledger.left() == 4U);
}

BOOST_AUTO_TEST_CASE(on_an_edge_stay_a_share_of_its_calls) {
    edge_retry_budget edge({0.1, 10});
    int taken = 0;
    for (int n = 0; n < 1000; ++n) {
        edge.on_first_attempt();
        taken += edge.take() ? 1 : 0;
    }
    BOOST_TEST(taken >= 100);
    BOOST_TEST(taken <= 110);
}

BOOST_AUTO_TEST_SUITE_END()
