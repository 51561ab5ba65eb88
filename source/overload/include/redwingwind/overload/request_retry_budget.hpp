#pragma once

#include <cstdint>

namespace redwingwind::overload {

/// The retries that one root request may still make, kept where a call
/// entered an instance. A part goes along with each call to a child and what
/// the child did not use comes back; the part of a lost reply counts as used.
class request_retry_budget {
  public:
    explicit request_retry_budget(std::uint32_t budget) : left_(budget) {}

    /// Uses one retry. False when none is left.
    bool take();

    /// Hands a part of what is left to a child.
    std::uint32_t allocate();

    /// Hands all that is left to whoever makes the call in this one's place.
    std::uint32_t allocate_all();

    /// A child's reply gave back this much of a part that allocate() returned.
    void reclaim(std::uint32_t lent, std::uint32_t returned);

    std::uint32_t left() const { return left_; }

  private:
    std::uint32_t left_;
};

struct edge_retry_budget_options {
    /// Retries earned by each first attempt, 0 to 1.
    double ratio{0.1};
    /// Most retries saved up.
    double max_tokens{10.0};
};

/// Bounds the retries on one edge of the graph to a share of its calls.
class edge_retry_budget {
  public:
    explicit edge_retry_budget(edge_retry_budget_options options = {})
        : options_(options), tokens_(options.max_tokens) {}

    void on_first_attempt();
    bool take();

  private:
    edge_retry_budget_options options_;
    double tokens_;
};

} // namespace redwingwind::overload
