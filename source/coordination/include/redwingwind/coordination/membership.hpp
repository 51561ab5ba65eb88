#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/messages.hpp>
#include <redwingwind/coordination/record_replicator.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace redwingwind::coordination {

struct membership_options {
    duration probe_interval{std::chrono::seconds(1)};
    /// Time to wait for a reply before other nodes are asked to probe.
    duration probe_timeout{std::chrono::milliseconds(300)};
    duration suspicion_timeout{std::chrono::seconds(3)};
    duration gossip_interval{std::chrono::milliseconds(100)};
    /// Nodes that receive each round of gossip.
    std::size_t fanout{3};
    /// Nodes that are asked to probe one that did not reply.
    std::size_t indirect_probes{3};
    /// One dead node is probed each interval, so that regions rejoin after a
    /// network partition.
    duration dead_probe_interval{std::chrono::seconds(5)};
    /// Records of dead and left nodes are kept this long, which must exceed
    /// the longest delay of outdated gossip about them.
    duration gone_retention{std::chrono::hours(2)};
    /// A departed target's statements arrive no later than this after the
    /// departure; until then nodes at its address are told of it.
    duration departure_retention{std::chrono::seconds(30)};
    replication_options replication;
    /// Shortest time between two view exchanges that this node starts.
    duration exchange_interval{std::chrono::seconds(2)};
    /// One probe in this many goes to another region.
    std::uint32_t other_region_every{10};
};

/// A node's view of the other nodes, kept by a SWIM-like protocol: direct and
/// indirect probes, suspicion that the suspect can refute, and gossip. It does
/// no I/O: hooks send messages, and the caller passes in datagrams and time.
class membership {
  public:
    struct hooks {
        std::function<void(const address&, const datagram&)> send;
        /// Starts a view exchange with the node, over a connection.
        std::function<void(const member_record&)> exchange_views;
        /// A record was added or changed; not called for this node.
        std::function<void(const member_record&)> on_change;
        /// A peer reported a generation that is in force there.
        std::function<void(const member_record&, const config_generation&)>
            on_config;
        /// A peer's digest of its configurations differs.
        std::function<void(const member_record&)> on_config_mismatch;
        /// Returns the generation of a graph in force here; 0 for none.
        std::function<std::uint64_t(const graph_name&)> generation_of;
        /// A node replied to a census with its generation.
        std::function<void(const node_incarnation&, const config_generation&)>
            on_census;
        random_hook random;
    };

    membership(membership_options options, member_record self, hooks h);

    /// Adds an address through which to join. It is probed until it replies,
    /// and again whenever this node knows no live node.
    void add_contact(const address& contact);

    void receive(time_point now, const address& from, const datagram& message);

    /// Merges records from a view exchange; they are not gossiped further.
    void merge(time_point now, const std::vector<member_record>& records);

    /// Runs the timers that are due. Call at next_due() or later.
    void tick(time_point now);
    time_point next_due() const;

    /// Updates the local target in this node's record and gossips a change at
    /// once.
    void set_target(time_point now, const service_name& service,
                    std::uint32_t slots, target_state state);

    /// Stores the record and spreads it; `done` is told whether it outlasts
    /// this node. Not called in start(); may be called in receive() or tick().
    void replicate(time_point now, const member_record& record,
                   record_replicator::done_hook done);

    /// Announces a planned stop. Nothing is sent or received afterwards.
    void leave(time_point now);

    /// Another life answered at the node's address on a connection opened at
    /// `since`. A node heard of before that has ended; it is declared dead and
    /// true is returned. One heard of later may have replaced the one that
    /// answered.
    bool declare_replaced(time_point now, const node_name& name,
                          time_point since);

    /// Asks a node which generation of the graph it has in force.
    void ask_census(const member_record& node, const graph_name& graph);

    /// Gossips the generation of a configuration that is in force here.
    void gossip(const config_generation& held);
    void set_config_digest(std::uint64_t value) { config_digest_ = value; }

    const member_record& self() const { return self_; }
    const member_record* find(const node_name& name) const;
    /// What other lives at the node's address were told lately of departures
    /// of their targets, the latest first: departures, and nodes whose target
    /// is draining.
    std::vector<member_record> departures_at(time_point now,
                                             const member_record& node) const;
    /// All known records: dead and left nodes included, this node excluded.
    std::vector<member_record> all() const;
    /// Alive and suspected nodes of a failure domain, including this node.
    std::vector<node_name> live_in(const failure_domain_name& domain) const;
    std::size_t live_count() const { return live_.size(); }
    /// Digest of all records of alive and suspected nodes.
    std::uint64_t view_digest() const;
    /// The same digest for each bucket; a node's name determines its bucket.
    const std::vector<std::uint64_t>& bucket_digests() const {
        return bucket_digests_;
    }
    /// Records of these buckets, including this node and dead and left ones.
    std::vector<member_record>
    records_in(const std::vector<std::uint16_t>& buckets) const;

  private:
    struct entry {
        member_record record;
        /// When the record was stored.
        time_point since;
        time_point first_heard;
        /// Index in live_; valid only if that element is this node.
        std::size_t live_index{};
        /// 0 for dead and left nodes, which the view's digests leave out.
        std::uint64_t digest{};
    };
    struct pending_probe {
        node_name subject;
        std::uint64_t sequence{};
        time_point sent;
        bool is_indirect{};
    };
    /// A contact may advertise another address to its peers than the one
    /// probed, so its reply is matched by sequence number.
    struct contact_probe {
        std::uint64_t sequence{};
        bool has_replied{};
    };
    /// An indirect probe that this node runs for another one.
    struct indirect_probe {
        address requester;
        std::uint64_t requester_sequence{};
        time_point sent;
    };
    template <class Payload>
    struct pending_gossip {
        Payload payload;
        std::uint32_t rounds_left{};
    };

    /// Stores the record if it supersedes the known one; returns whether it
    /// did.
    bool apply(time_point now, const member_record& record);
    /// Like apply(), and gossips the record if it was applied.
    void apply_and_gossip(time_point now, const member_record& record);
    /// Whether the record calls another life at this node's address alive.
    bool is_earlier_life_here(const member_record& record) const;
    /// Raises this node's version above a record that calls it not alive.
    void refute(const member_record& record);
    void store(time_point now, const member_record& record);
    void remember_departure(const member_record& record);
    void forget_departure(const member_record& record);
    /// Adds what the receiver must know of departures at its address.
    void attach_departures(time_point now, const member_record& receiver,
                           datagram& message) const;
    std::vector<node_name> choose_spread(std::size_t n,
                                         const std::set<node_name>& asked);
    record_replicator::hooks replicator_hooks();
    void set_live(entry& it, bool live);
    /// Adds a record's digest to the view's digests, or removes it (XOR).
    void toggle_digest(const node_name& name, std::uint64_t record_digest);
    void suspect(time_point now, const node_name& name);
    void queue_gossip(const member_record& record);
    std::uint32_t config_gossip_rounds() const;

    datagram make_datagram(datagram_kind kind) const;
    void attach_gossip(datagram& message) const;
    void send_gossip(time_point now);
    void start_probe(time_point now);
    void check_probe(time_point now);
    void probe_dead(time_point now);
    void expire(time_point now);
    std::optional<node_name> next_subject();
    std::optional<node_name> random_live_node(bool is_own_region);
    std::optional<node_name> gossip_receiver(std::size_t n);
    /// Prefers a node of this failure domain, else one of this region.
    std::optional<node_name> random_in_domain();
    void reply_to_census(const address& from, const datagram& message);
    void on_probe(time_point now, const address& from, const datagram& message);
    void on_probe_reply(const datagram& message);
    void on_indirect_probe(time_point now, const address& from,
                           const datagram& message);
    void compare_digests(time_point now, const datagram& message);

    membership_options options_;
    member_record self_;
    hooks hooks_;
    bool has_left_{};
    std::uint64_t config_digest_{};
    std::uint64_t digest_{};
    std::vector<std::uint64_t> bucket_digests_;
    std::uint64_t next_sequence_{1};
    std::unordered_map<node_name, entry> entries_;
    std::vector<node_name> live_;
    /// An index for choosing the holders of duties, which is done every second:
    /// scanning all nodes would cost a noticeable share of a core at the
    /// deployment size that the product is designed for.
    std::map<failure_domain_name, std::set<node_name>> live_by_domain_;
    std::map<address, contact_probe> contacts_;
    /// Records with a departure, by their address, the latest last.
    std::map<address, std::vector<node_name>> departed_at_;
    record_replicator replicator_;
    std::vector<node_name> probe_order_;
    std::optional<pending_probe> pending_;
    std::map<std::uint64_t, indirect_probe> indirect_probes_;
    std::unordered_map<node_name, pending_gossip<member_record>>
        pending_records_;
    std::map<graph_name, pending_gossip<config_generation>>
        pending_generations_;
    std::unordered_map<node_name, time_point> suspects_;
    time_point next_probe_{};
    time_point next_gossip_{};
    time_point next_dead_probe_{};
    time_point next_exchange_{};
    time_point next_config_check_{};
    time_point next_expiry_{};
    time_point last_tick_{};
    std::uint32_t probe_count_{};
};

} // namespace redwingwind::coordination
