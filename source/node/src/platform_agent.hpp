#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/member.hpp>
#include <redwingwind/platform_adapter/object_client.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "store_history.hpp"

namespace redwingwind::node {

struct platform_agent_options {
    /// "http://IP:PORT".
    std::string store_url;
    /// Watches of the nodes that tell the others: short, so that one whose
    /// connection went silent is replaced well before a change must be in
    /// force.
    duration holder_watch_time{std::chrono::seconds(1)};
    /// Watches of the other nodes, for the time when no node tells them.
    duration watch_time{std::chrono::seconds(6)};
    /// Nodes of a failure domain that tell the others.
    std::size_t holders{2};
    /// A holder's watch that did not tell of a change this long after another
    /// node did is replaced.
    duration watch_lag{std::chrono::milliseconds(500)};
    duration least_pause{std::chrono::milliseconds(100)};
    duration most_pause{std::chrono::seconds(2)};
    /// Nodes that are listed in the store for others to meet.
    std::size_t meeting_points{6};
    /// A node without live peers looks into the store this often.
    duration lonely_interval{std::chrono::seconds(1)};
    /// Looks at a full list after which a node without peers may replace an
    /// entry.
    std::uint32_t lonely_looks{3};
    /// After a change of the store's era, nodes read the configuration and
    /// look at the list of nodes at random times within this, or within more
    /// if the rates below would be exceeded.
    duration era_spread{std::chrono::seconds(3)};
    /// Over all nodes, of the 6,000 reads a second that the store takes.
    double era_reads_per_s{1000};
    /// Over all nodes: looks at the list by nodes that are not on it. A look
    /// may lead to a write, and the store takes 1,200 writes a second.
    double era_looks_per_s{200};
};

struct platform_agent_counters {
    std::uint64_t calls{};
    std::uint64_t failures{};
    /// Restarts of the store from a copy that this node noticed.
    std::uint64_t era_changes{};
    /// Responses ignored because they were of an earlier era.
    std::uint64_t late_responses{};
    /// Times that this node was written to the list.
    std::uint64_t listings{};
};

/// A node's dealings with the platform's store: it watches the operator's
/// configuration and finds its first peers. While the store is away it asks
/// again after pauses that double and differ between nodes. When the store has
/// restarted from a copy it reads the configuration anew and, at a random time,
/// writes its entry of the list again if that is gone.
class platform_agent {
  public:
    struct hooks {
        std::function<void(duration, std::function<void()>)> after;
        random_hook random;
        /// The operator's configuration, as text.
        std::function<void(const std::string&)> on_config;
        /// Whether this node is to tell the others.
        std::function<bool()> is_holder;
        /// A node listed in the store.
        std::function<void(const coordination::address&)> on_contact;
        /// The store's list was read; whether it names this node and no other.
        std::function<void(bool is_only_listed)> on_list;
        std::function<std::size_t()> live_peers;
        /// The store was lost or is back.
        std::function<void(bool is_back, const absl::Status&)> on_store;
        /// The store restarted from a copy; its revisions are issued anew.
        std::function<void(std::uint64_t before, std::uint64_t now)> on_era;
    };

    platform_agent(platform_agent_options options,
                   platform_adapter::object_client store,
                   coordination::address self, hooks h);

    void start();
    /// Another node told of a change of the configuration.
    void told_elsewhere();
    /// Takes this node off the list, for a planned stop.
    void leave();
    bool is_store_reached() const { return failures_ == 0; }
    const platform_agent_counters& counters() const { return counters_; }
    std::uint64_t era() const { return history_.era(); }

  private:
    /// Asks whether there is a configuration, with reads that may lag: they
    /// cost a tenth, and a whole deployment that starts asks often.
    void await_config();
    /// Takes the newest configuration into force.
    void read_config();
    void retry_config(const absl::Status& why);
    void on_read(const platform_adapter::object& read);
    void watch_config();
    void on_watched(const store_position& since,
                    const absl::StatusOr<platform_adapter::object_list>& seen);
    void take_events(const platform_adapter::object_list& seen);
    void read_config_later(duration delay);
    /// To be called first with the era of each response.
    era_effect note_era(std::uint64_t era);
    duration read_delay();
    void look_at_list_again();
    void find_peers();
    /// The time until the next look at the list.
    duration on_list(const absl::StatusOr<platform_adapter::object_list>& seen);
    void meet(const platform_adapter::object& listed);
    void list_self(const platform_adapter::object_list& seen);
    /// Replaces an entry whose node did not answer. Of many nodes without peers
    /// a few do so, and the others find these.
    void look_alone(const platform_adapter::object_list& seen);
    void write_entry();
    /// Removes one of those that were listed when this node first looked.
    void remove_unanswered(const platform_adapter::object_list& seen);
    void on_listed(std::uint64_t era_at_sending,
                   const absl::StatusOr<platform_adapter::object>& made);
    duration pause(std::uint32_t failures);
    void succeeded();
    void failed(const absl::Status& status);
    platform_adapter::object_key own_key() const;

    platform_agent_options options_;
    platform_adapter::object_client store_;
    coordination::address self_;
    hooks hooks_;
    store_history history_;
    std::uint64_t changes_seen_{};
    io::http_client::call_id watch_{};
    std::uint32_t failures_{};
    /// Reads and watches in a row that were answered by an earlier era.
    std::uint32_t late_in_a_row_{};
    /// Looks at the list in a row that failed.
    std::uint32_t list_failures_{};
    /// Looks in a row by which this node had met nobody.
    std::uint32_t lonely_looks_{};
    /// Listed at the first of these.
    std::set<platform_adapter::object_key> unanswered_;
    /// Whether the list needs no look for this node's own sake.
    bool is_listed_{};
    /// Whether an entry of this node was written or seen: it is written again
    /// when it is gone, however many others are listed.
    bool has_entry_{};
    bool is_leaving_{};
    platform_agent_counters counters_;
};

} // namespace redwingwind::node
