#pragma once

#include <cstdint>

namespace redwingwind::overload {

/// The retries that one root request may still make, kept where one of its
/// calls entered an instance. Each call to a child is allocated a part, and its
/// reply returns what the child did not use. If the reply is lost, the whole
/// part counts as used.
class request_retry_budget {
  public:
    explicit request_retry_budget(std::uint32_t budget) : left_(budget) {}

    /// Uses one retry; false if none is left.
    bool take();

    /// Allocates half of the retries left, rounded up, to a child.
    std::uint32_t allocate();

    /// Allocates all retries left to the node that makes the call in place of
    /// this one.
    std::uint32_t allocate_all();

    /// A child's reply returned this many unused retries of those allocated.
    /// More than were allocated are ignored.
    void reclaim(std::uint32_t allocated, std::uint32_t returned);

    std::uint32_t left() const { return left_; }

  private:
    std::uint32_t left_;
};

struct edge_retry_budget_options {
    /// Tokens added by each first attempt, 0 to 1; a retry takes one token.
    double ratio{0.1};
    /// Capacity of the token bucket.
    double max_tokens{10.0};
};

/// Token bucket that bounds the retries on one edge of the call graph to a
/// share of its first attempts.
class edge_retry_budget {
  public:
    explicit edge_retry_budget(edge_retry_budget_options options = {})
        : options_(options), tokens_(options.max_tokens) {}

    void on_first_attempt();
    /// Uses one retry; false if none is left.
    bool take();

  private:
    edge_retry_budget_options options_;
    double tokens_;
};

} // namespace redwingwind::overload
