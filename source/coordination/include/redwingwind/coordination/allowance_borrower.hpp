#pragma once

#include <redwingwind/coordination/allowance.hpp>
#include <redwingwind/coordination/allowance_grantor.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::coordination {

enum class allowance_answer : std::uint8_t {
    granted,
    refused,
    /// The decision follows by a hook.
    waiting
};

struct allowance_decision {
    allowance_answer answer{allowance_answer::granted};
    /// When the call may be repeated; only with refused.
    duration retry_after{};
    /// Which grantor gets the allowance back; 0 for none. Only with granted.
    std::uint32_t source{};
};

struct allowance_counters {
    /// Calls that got an allowance.
    std::uint64_t granted{};
    std::uint64_t refused{};
    /// Allowances that were not used in their time.
    std::uint64_t expired{};
    /// Allowances of calls that were not executed after all.
    std::uint64_t returned{};
    /// Calls that waited for a reply.
    std::uint64_t waited{};
    /// Calls decided while no grantor answered.
    std::uint64_t without_grantor{};
    /// Request frames sent.
    std::uint64_t requests{};
};

/// Holds what a node may execute for each owner. A call takes an allowance that
/// is there, or waits for the reply to a request. Owners with more than about
/// one call in the time for which an allowance is valid get several at once.
/// Does no I/O.
class allowance_borrower {
  public:
    using call_id = std::uint64_t;

    struct hooks {
        std::function<void(const node_name&, const allowance_request_frame&)>
            send;
        /// A request to the grantor on this node.
        std::function<allowance_grant(const owner_name&, std::uint32_t wanted)>
            request_here;
        std::function<void(const owner_name&, std::uint32_t)> give_back_here;
        /// The node that grants allowances for the owner; none for the moment.
        std::function<std::optional<node_name>(const owner_name&)> grantor;
        /// Nodes that may be running; 0 while that is not known.
        std::function<std::uint32_t()> nodes;
        std::function<void(call_id, allowance_decision)> decide;
        random_hook random;
    };

    allowance_borrower(allowance_options options, node_name self, hooks h);

    void set_limits(const std::vector<owner_limit>& limits);
    /// Owners without a limit are always granted.
    allowance_decision take(time_point now, const owner_name& owner,
                            call_id call);
    /// The call no longer waits.
    void cancel(const owner_name& owner, call_id call);
    /// A call that had an allowance was not executed and never will be.
    void give_back(time_point now, const owner_name& owner,
                   std::uint32_t source);
    void on_reply(time_point now, const node_name& from,
                  const allowance_reply_frame& reply);
    void tick(time_point now);
    time_point next_due() const;

    const allowance_counters& counters() const { return counters_; }
    std::size_t waiting() const { return waiting_; }

  private:
    struct batch {
        std::uint32_t count{};
        time_point expires{};
        std::uint32_t source{};
    };
    struct waiting_call {
        call_id call{};
        time_point until{};
    };
    struct pending_request {
        std::uint64_t sequence{};
        node_name to;
        std::uint32_t wanted{};
        time_point sent{};
        bool is_overdue{};
    };
    struct account {
        owner_limit limit;
        std::deque<batch> batches;
        std::deque<waiting_call> waiting;
        std::optional<pending_request> pending;
        /// Node that granted what is held, and what it gets back.
        node_name lender;
        /// Changes with the lender.
        std::uint32_t source{};
        std::uint32_t returned{};
        time_point refuse_until{};
        time_point retry_at{};
        /// Decaying number of calls; divided by rate_memory the rate.
        double arrivals{};
        time_point last_arrival{};
        /// The rest of the reserve in this window.
        std::uint32_t reserve{};
        time_point reserve_window{};
    };

    static std::uint32_t held(const account& it);
    void expire(time_point now, account& it);
    void count_arrival(time_point now, account& it);
    std::uint32_t prefetch_of(time_point now, const account& it) const;
    /// The source of the allowance taken; none without one.
    std::optional<std::uint32_t> spend(account& it);
    bool spend_reserve(time_point now, account& it);
    allowance_decision refuse(time_point now, const account& it);
    allowance_decision decide_here(time_point now, account& it);
    allowance_decision decide_without(time_point now, account& it);
    void request(time_point now, account& it, const node_name& to);
    void use_lender(account& it, const node_name& to);
    void refill(time_point now, account& it);
    void serve_waiting(time_point now, account& it);
    /// Ends the calls that wait until up_to at the latest.
    void end_waiting(time_point now, account& it, bool has_grantor,
                     time_point up_to);
    void return_unused(account& it);
    /// Asks for waiting calls that came while there was no grantor.
    void find_grantor(time_point now, account& it);
    /// Whether the account needs no tick any more.
    bool tick_account(time_point now, account& it);

    allowance_options options_;
    node_name self_;
    hooks hooks_;
    std::unordered_map<owner_name, account> accounts_;
    /// Owners whose account has something that runs out.
    std::unordered_map<owner_name, bool> active_;
    std::uint64_t next_sequence_{1};
    std::uint32_t last_source_{};
    std::size_t waiting_{};
    allowance_counters counters_;
    time_point next_tick_{time_point::max()};
};

} // namespace redwingwind::coordination
