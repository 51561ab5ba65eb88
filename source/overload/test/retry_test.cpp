#include <redwingwind/overload/request_retry_budget.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <functional>
#include <random>

using namespace redwingwind::overload;

namespace {

/// A random call tree in which calls fail and replies are lost, and callers
/// retry as long as their budget allows.
class random_tree {
  public:
    random_tree(std::uint32_t seed, int fan_out)
        : random_(seed), fan_out_(fan_out) {}

    std::uint32_t retries() const { return retries_; }

    /// Executes one call with this retry budget; returns what is left of it.
    std::uint32_t execute(std::uint32_t budget, int depth) {
        request_retry_budget retry_budget(budget);
        if (depth == 0)
            return retry_budget.left();
        const int children = 1 + int(random_() % unsigned(fan_out_));
        for (int n = 0; n < children; ++n)
            call_child(retry_budget, depth);
        return retry_budget.left();
    }

  private:
    void call_child(request_retry_budget& retry_budget, int depth) {
        while (true) {
            const auto allocated = retry_budget.allocate();
            const auto left = execute(allocated, depth - 1);
            const bool is_lost = random_() % 4 == 0;
            if (!is_lost)
                retry_budget.reclaim(allocated, left);
            const bool failed = is_lost || random_() % 2 == 0;
            if (!failed || !retry_budget.take())
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
    const auto left = tree.execute(budget, depth);
    RC_ASSERT(tree.retries() + left <= budget);
}

BOOST_AUTO_TEST_CASE(a_reply_cannot_return_more_than_was_allocated) {
    request_retry_budget retry_budget(4);
    const auto allocated = retry_budget.allocate();
    retry_budget.reclaim(allocated, 100);
    BOOST_TEST(retry_budget.left() == 4U);
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
