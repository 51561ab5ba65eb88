#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <vector>

namespace redwingwind::coordination {

/// Owners are distributed over this many shards; all owners of a shard have the
/// same grantor, so that what nodes lend each other is named in few bytes.
/// A node exchanges frames with the grantors of all shards and those that would
/// take their place.
constexpr std::uint16_t allowance_shards = 16;

/// A request never asks for more than this.
constexpr std::uint32_t max_wanted = 100000;
constexpr duration max_retry_after = std::chrono::seconds(5);

std::uint16_t shard_of(const owner_name& owner);

/// What an owner may execute over all nodes.
struct owner_limit {
    owner_name owner;
    /// Calls per second.
    double rate_per_s{};
    /// Calls beyond the rate.
    double burst{};

    auto operator<=>(const owner_limit&) const = default;
};

struct allowance_options {
    /// Calls of an owner in any such window stay within (rate x window + burst)
    /// x (1 + overage) + slack.
    duration window{std::chrono::seconds(5)};
    double overage{0.1};
    double slack{20};
    /// An allowance is used within this time of the request for it. It moves
    /// calls into a later window: at most 0.25 s of the rate, half of what an
    /// overage of 0.1 leaves in 5 s.
    duration allowance_lifetime{std::chrono::milliseconds(250)};
    /// A share is lent for this time from when the grantor read its clock.
    /// After the loss of a grantor its owners wait up to this long for another.
    duration share_lifetime{std::chrono::milliseconds(1200)};
    duration share_interval{std::chrono::milliseconds(400)};
    /// A call waits this long for the grantor's reply.
    duration reply_timeout{std::chrono::milliseconds(50)};
    /// A node that got fewer allowances than it wanted asks again after this.
    duration round{std::chrono::milliseconds(100)};
    /// Calls arriving within this time are covered by one request.
    duration prefetch{std::chrono::milliseconds(150)};
    /// A node lends or uses its share once its view has not grown for this
    /// long, as the share depends on the number of nodes.
    duration settle_time{std::chrono::milliseconds(1500)};
};

/// The nodes that take part, as one of them sees them.
struct fleet_view {
    /// Alive and suspected ones, this node included.
    std::vector<node_name> live;
    /// Nodes that may be running, also those that can't be reached.
    std::uint32_t nodes{1};
    /// The store's list was read and names this node and no other.
    bool is_only_listed{};
};

/// An estimate of how many nodes may be running. reached of the contacts that
/// the store names are known members; where some are not, a part of the nodes
/// was never met, and the known ones are scaled up.
std::uint32_t estimate_nodes(std::size_t known, std::size_t contacts,
                             std::size_t reached);

} // namespace redwingwind::coordination
