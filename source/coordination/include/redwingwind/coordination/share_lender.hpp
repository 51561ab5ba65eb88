#pragma once

#include <redwingwind/coordination/allowance.hpp>
#include <redwingwind/coordination/messages.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace redwingwind::coordination {

/// Lends this node's share of the owners' rates to their grantors. The share of
/// a shard has one holder at a time: a grantor, which loses it share_lifetime
/// after it last read the clock that this node names to it, or this node. It
/// goes to another one only after it was given up with an acknowledgement or
/// has run out. Does no I/O.
class share_lender {
  public:
    struct hooks {
        std::function<void(const node_name&, const share_frame&)> send;
        /// This node itself holds its share, 1 / nodes, of these shards.
        std::function<void(std::uint32_t nodes,
                           const std::vector<std::uint16_t>&)>
            keep;
    };

    share_lender(allowance_options options, node_name self, hooks h);

    void set_fleet(time_point now, fleet_view fleet);
    /// The shards that have limited owners.
    void set_shards(std::set<std::uint16_t> shards);
    /// This node keeps its share only where no other node takes it.
    void stop_holding();
    /// A reply without a clock releases what was lent to the peer, which is
    /// not lent to again.
    void on_reply(time_point now, const node_name& from,
                  const share_reply_frame& reply);
    /// Notes how many nodes a peer knows of.
    void on_known_nodes(time_point now, const node_name& from,
                        std::uint32_t nodes);
    void tick(time_point now);
    time_point next_due() const;

    /// Who holds this node's share now; none while it moves or while this
    /// node's view is not settled.
    std::optional<node_name> holder(time_point now, std::uint16_t shard) const;
    /// Nodes that may be running, as known here or by a peer.
    std::uint32_t nodes() const { return nodes_; }
    std::uint32_t known_nodes() const { return fleet_.nodes; }
    bool is_settled(time_point now) const;

  private:
    struct share {
        /// By rank: the first ones that a grantor is chosen from.
        std::vector<node_name> ranked;
        std::optional<node_name> holder;
        bool is_new{};
        /// When the share last brought its part of the slack to a holder.
        std::optional<time_point> brought_slack;
        /// The holder's loan has ended by then.
        time_point bound_until{};
        /// The first sequence of frames to the holder without the shard.
        std::optional<std::uint64_t> released_by;
    };
    struct peer {
        /// Its clock as it last replied; 0 before.
        std::int64_t clock_us{};
        time_point replied{};
        /// Of the last frame to it.
        std::uint64_t sequence{};
        std::uint64_t acknowledged{};
        time_point next_send{};
        bool must_send{};
    };
    struct known_count {
        std::uint32_t nodes{};
        time_point heard{};
    };

    /// Whether the view can be complete. A node that has met nobody doesn't
    /// know how many nodes share the limits.
    bool knows_fleet(const fleet_view& fleet) const;
    bool is_responsive(time_point now, const node_name& name) const;
    node_name wanted_holder(time_point now, const share& it) const;
    void rank();
    void count_nodes(time_point now);
    void move(time_point now, share& it);
    void on_release(time_point now, const node_name& from);
    bool is_free(time_point now, const share& it) const;
    void send_due(time_point now);
    void send_to(time_point now, const node_name& name, peer& to);
    void report_kept();

    allowance_options options_;
    node_name self_;
    hooks hooks_;
    fleet_view fleet_;
    std::uint32_t nodes_{1};
    /// When the view last grew.
    time_point grown_{};
    /// Later growth only makes the share smaller: waiting again would leave
    /// shares without a holder whenever a node joins.
    bool has_settled_{};
    bool must_rank_{};
    /// One for all peers: a peer that is met again must not see lower ones.
    std::uint64_t next_sequence_{1};
    std::map<std::uint16_t, share> shares_;
    std::map<node_name, peer> peers_;
    std::map<node_name, known_count> counts_;
    /// Nodes that take no loans because they stop.
    std::set<node_name> stopping_;
    std::vector<std::uint16_t> kept_;
    std::uint32_t kept_nodes_{};
    time_point next_tick_{time_point::max()};
};

} // namespace redwingwind::coordination
