#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/messages.hpp>

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
    /// Time for a direct answer before others are asked to probe.
    duration probe_timeout{std::chrono::milliseconds(300)};
    duration suspicion_timeout{std::chrono::seconds(3)};
    duration gossip_interval{std::chrono::milliseconds(100)};
    /// Nodes that get each round of news.
    std::size_t fanout{3};
    std::size_t indirect_probes{3};
    /// Every such interval one dead node is probed again, so that regions
    /// that lost each other meet again.
    duration dead_probe_interval{std::chrono::seconds(5)};
    /// Dead and left nodes are remembered this long; longer than any old
    /// news of them can take to arrive.
    duration gone_retention{std::chrono::hours(2)};
    /// Least time between two exchanges of views that this node starts.
    duration exchange_interval{std::chrono::seconds(2)};
    /// One probe in this many goes to another region.
    std::uint32_t other_region_every{10};
};

/// A node's view of the others: probing with indirect probes, suspicion that
/// the suspect can refute, and spreading of news. It does no I/O; the hooks
/// send, and datagrams and time come in.
class membership {
  public:
    struct hooks {
        std::function<void(const address&, const datagram&)> send;
        /// Asks the node there, over a connection, to exchange what differs.
        std::function<void(const member_record&)> exchange_views;
        /// A node became known or changed; not called for this node.
        std::function<void(const member_record&)> on_change;
        /// A peer tells of a configuration that it holds.
        std::function<void(const member_record&, const config_generation&)>
            on_config;
        /// A peer holds a different set of configurations.
        std::function<void(const member_record&)> on_config_mismatch;
        /// The generation of a graph in force here; 0 for none.
        std::function<std::uint64_t(const graph_name&)> generation_of;
        /// A node answered a census.
        std::function<void(const node_incarnation&, const config_generation&)>
            on_census;
        random_hook random;
    };

    membership(membership_options options, member_record self, hooks h);

    /// A contact is probed until it answers, and again whenever this node
    /// knows no live one.
    void add_contact(const address& contact);

    void receive(time_point now, const address& from, const datagram& message);

    /// Records from a peer's full view.
    void merge(time_point now, const std::vector<member_record>& records);

    /// Runs what is due. To be called at next_due() or later.
    void tick(time_point now);
    time_point next_due() const;

    /// What this node's target is has changed; told at once.
    void set_target(time_point now, const service_name& service,
                    std::uint32_t slots, target_state state);

    /// Tells the others of a planned stop. Nothing is sent after it.
    void leave(time_point now);

    /// Asks a node which generation it has in force.
    void ask_census(const member_record& node, const graph_name& graph);

    /// Spreads the news of a configuration.
    void gossip(const config_generation& news);
    void set_config_digest(std::uint64_t value) { config_digest_ = value; }

    const member_record& self() const { return self_; }
    const member_record* find(const node_name& name) const;
    /// All records known, gone nodes included, this node excluded.
    std::vector<member_record> all() const;
    /// Alive and suspected nodes of a failure domain, this node included.
    std::vector<node_name> live_in(const failure_domain_name& domain) const;
    std::size_t live_count() const { return live_.size(); }
    std::uint64_t view_digest() const;
    /// The same by bucket: each node's name belongs to one.
    const std::vector<std::uint64_t>& bucket_digests() const {
        return bucket_digests_;
    }
    /// Records of these buckets, this node and gone ones included.
    std::vector<member_record>
    records_in(const std::vector<std::uint16_t>& buckets) const;

  private:
    struct entry {
        member_record record;
        time_point since;
        std::size_t live_index{};
        std::uint64_t digest{};
    };
    struct pending_probe {
        node_name subject;
        std::uint64_t sequence{};
        time_point sent;
        bool is_relayed{};
    };
    /// The node that answers may go by another address among its peers, so
    /// its answer is known by the probe's sequence.
    struct contact_probe {
        std::uint64_t sequence{};
        bool has_answered{};
    };
    struct relayed_probe {
        address asker;
        std::uint64_t asker_sequence{};
        time_point at;
    };
    template <class News>
    struct rumor {
        News news;
        std::uint32_t rounds_left{};
    };

    bool apply(time_point now, const member_record& record);
    /// The same, and what is new is passed on.
    void apply_news(time_point now, const member_record& record);
    void apply_about_self(const member_record& record);
    void store(time_point now, const member_record& record);
    void set_live(entry& it, bool live);
    /// Takes a record's digest into those of the view, or out of them.
    void toggle(const node_name& name, std::uint64_t record_digest);
    void suspect(time_point now, const node_name& name);
    void queue_news(const member_record& record);
    std::uint32_t rounds() const;

    datagram make(datagram_kind kind) const;
    void attach_news(datagram& message) const;
    void send_news(time_point now);
    void start_probe(time_point now);
    void check_probe(time_point now);
    void probe_remembered(time_point now);
    void expire(time_point now);
    std::optional<node_name> next_subject();
    std::optional<node_name> random_live(bool is_own_region);
    std::optional<node_name> news_receiver(std::size_t n);
    /// Of the own failure domain, if there is one.
    std::optional<node_name> random_in_domain();
    void answer_census(const address& from, const datagram& message);
    void on_probe(const address& from, const datagram& message);
    void on_answer(const datagram& message);
    void on_relay(time_point now, const address& from, const datagram& message);
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
    /// Duties are looked at every second; going through all nodes for them
    /// would cost a share of a core at the size to build towards.
    std::map<failure_domain_name, std::set<node_name>> live_by_domain_;
    std::map<address, contact_probe> contacts_;
    std::vector<node_name> order_;
    std::optional<pending_probe> pending_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::unordered_map<node_name, rumor<member_record>> member_news_;
    std::map<graph_name, rumor<config_generation>> pending_generations_;
    std::unordered_map<node_name, time_point> suspects_;
    time_point next_probe_{};
    time_point next_news_{};
    time_point next_remembered_{};
    time_point next_exchange_{};
    time_point next_config_check_{};
    time_point next_expiry_{};
    time_point last_tick_{};
    std::uint32_t probes_{};
};

} // namespace redwingwind::coordination
