#pragma once

#include <redwingwind/coordination/allowance.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <array>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::coordination {

/// What a request for allowances gets.
struct allowance_grant {
    std::uint32_t granted{};
    /// When fewer were granted than wanted: time until the next request.
    duration ask_after{};
    /// The same: time until the owner's callers are likely to be let in.
    duration retry_after{};
};

/// Grants allowances from a token bucket for each owner. A bucket is filled by
/// the shares that nodes lend: each node has 1 / nodes of every rate and burst,
/// and lends it to one grantor at a time. So the buckets of all grantors
/// together never exceed the limit, whichever node believes that it is the
/// grantor. A share that arrives brings no tokens but its part of the slack;
/// one that ends takes its part of the bucket's capacity along. Does no I/O.
class allowance_grantor {
  public:
    allowance_grantor(allowance_options options, random_hook random);

    /// Buckets of owners that stay are clamped to the new burst.
    void set_limits(time_point now, const std::vector<owner_limit>& limits);

    /// Puts another node's loan into effect; false if a later frame of it was
    /// received before.
    bool on_share(time_point now, const node_name& from,
                  const share_frame& message);
    /// Sets the shards for which this node keeps its own share, 1 / nodes.
    void set_own_share(time_point now, const node_name& self,
                       std::uint32_t nodes,
                       const std::vector<std::uint16_t>& shards);

    /// Ends the loans of all other nodes. Those heard lately, with the sequence
    /// of the last frame of each.
    std::vector<std::pair<node_name, std::uint64_t>>
    end_loans_of_others(time_point now, const node_name& self);

    bool has_limit(const owner_name& owner) const {
        return buckets_.contains(owner);
    }
    allowance_grant request(time_point now, const owner_name& owner,
                            std::uint32_t wanted);
    /// Takes back allowances that were granted and will not be used.
    void give_back(time_point now, const owner_name& owner,
                   std::uint32_t count);
    /// Ends loans that ran out.
    void tick(time_point now);

    /// The part of the owner's rate that this node grants, 0 to 1.
    double held_part(time_point now, const owner_name& owner);
    /// Owners of which this node grants more than half of the rate.
    std::size_t granted_owners() const;

  private:
    struct loan {
        double part{};
        time_point until{};
    };
    struct shard {
        std::unordered_map<node_name, loan> loans;
        std::vector<owner_name> owners;
        /// Sum of the loans' parts, and the same, at most 1.
        double sum{};
        double part{};
        /// No loan ends before.
        time_point first_end{time_point::max()};
        /// Integral of part over time, seconds.
        double filled_s{};
        time_point advanced{};
    };
    struct bucket {
        owner_limit limit;
        std::uint16_t shard{};
        double tokens{};
        /// The shard's filled_s up to which tokens were added.
        double filled_s{};
        /// Allowances wanted and not granted in this and the last round.
        time_point round_start{};
        double wanted{};
        double last_wanted{};
        double unmet{};
        double last_unmet{};
    };
    struct sender {
        std::uint64_t sequence{};
        time_point heard{};
        std::vector<std::uint16_t> shards;
    };

    void advance(time_point now, shard& it);
    /// Brings the sum up to date after loans ended; their time is counted.
    static void end_expired(time_point now, shard& it);
    static void set_sum(shard& it, double sum);
    /// Adds tokens up to the capacity of the shard's present part.
    void settle(const shard& of, bucket& it) const;
    void settle_all(const shard& it);
    double capacity(const owner_limit& limit, double part) const;
    void set_loan(time_point now, shard& it, const node_name& from,
                  const loan& lent);
    void add_slack(shard& it, double part);
    void end_loan(time_point now, shard& it, const node_name& from);
    void start_round(time_point now, bucket& it) const;
    std::uint32_t fair_part(const bucket& it, double supply,
                            std::uint32_t wanted) const;

    allowance_options options_;
    random_hook random_;
    std::array<shard, allowance_shards> shards_;
    std::unordered_map<owner_name, bucket> buckets_;
    std::unordered_map<node_name, sender> senders_;
};

} // namespace redwingwind::coordination
