#pragma once

#include <redwingwind/coordination/allowance_borrower.hpp>
#include <redwingwind/coordination/allowance_grantor.hpp>
#include <redwingwind/coordination/share_lender.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace redwingwind::coordination {

struct owner_limiter_state {
    std::size_t limited_owners{};
    /// Owners of which this node grants more than half of the rate.
    std::size_t granted_owners{};
    /// Calls that wait for a grantor's reply.
    std::size_t waiting{};
    /// Nodes that the limits are divided by.
    std::uint32_t nodes{};
    bool is_settled{};
    allowance_counters counters;
};

/// A node's part in the limits of owners over all nodes: it lends its share,
/// grants from the shares lent to it, and borrows allowances for its own calls.
/// Without limited owners it sends nothing and has no timer. Does no I/O.
class owner_limiter {
  public:
    using call_id = allowance_borrower::call_id;

    struct hooks {
        std::function<void(const node_name&, const frame&)> send;
        /// Decides a call whose take() answered waiting.
        std::function<void(call_id, allowance_decision)> decide;
        random_hook random;
    };

    owner_limiter(allowance_options options, node_name self, hooks h);

    void set_limits(time_point now, const std::vector<owner_limit>& limits);
    void set_fleet(time_point now, fleet_view fleet);

    allowance_decision take(time_point now, const owner_name& owner,
                            call_id call);
    void cancel(const owner_name& owner, call_id call);
    /// A call that had an allowance was not executed and never will be.
    void give_back(time_point now, const owner_name& owner,
                   std::uint32_t source);

    void receive(time_point now, const node_name& from,
                 const share_frame& message);
    void receive(time_point now, const node_name& from,
                 const share_reply_frame& message);
    void receive(time_point now, const node_name& from,
                 const allowance_request_frame& message);
    void receive(time_point now, const node_name& from,
                 const allowance_reply_frame& message);

    /// For a planned stop: gives up all loans and takes no others, so that the
    /// lenders need not wait for them to end. This node still borrows.
    void stop_granting(time_point now);
    void tick(time_point now);
    time_point next_due() const;
    owner_limiter_state state(time_point now) const;
    bool has_limits() const { return !limits_.empty(); }

  private:
    share_lender::hooks lender_hooks();
    allowance_borrower::hooks borrower_hooks();
    /// Tells a lender that this node holds nothing of its share.
    void release(const node_name& lender, std::uint64_t sequence);

    node_name self_;
    hooks hooks_;
    std::vector<owner_limit> limits_;
    /// Time of the call in progress, for the hooks between the parts.
    time_point now_{};
    allowance_grantor grantor_;
    share_lender lender_;
    allowance_borrower borrower_;
    time_point next_grantor_tick_{time_point::max()};
    /// Loans are neither held nor taken.
    bool is_stopping_{};
};

} // namespace redwingwind::coordination
