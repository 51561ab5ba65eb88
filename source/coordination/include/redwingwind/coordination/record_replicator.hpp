#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/member.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <vector>

namespace redwingwind::coordination {

struct replication_options {
    /// Other nodes that must have stored a record; all live ones when there
    /// are fewer.
    std::size_t copies{4};
    /// Nodes that have not confirmed within this time are replaced by others.
    duration round_interval{std::chrono::milliseconds(150)};
    duration timeout{std::chrono::milliseconds(700)};
};

/// Makes sure that other nodes know a record before something is promised that
/// depends on it. Does no I/O and takes time from outside.
class record_replicator {
  public:
    struct hooks {
        /// Up to `n` live nodes in as many failure domains as possible, those
        /// in `asked` last.
        std::function<std::vector<node_name>(std::size_t n,
                                             const std::set<node_name>& asked)>
            choose;
        std::function<std::size_t()> live_nodes;
        /// Sends the record to a node. Returns a number that the confirmation
        /// bears.
        std::function<std::uint64_t(const node_name&, const member_record&)>
            send;
    };
    /// Whether the record outlasts this node: enough other nodes know it, or
    /// at least one does when the time is over, or there is no other node.
    using done_hook = std::function<void(bool is_kept)>;

    record_replicator(replication_options options, hooks h);

    void start(time_point now, const member_record& record, done_hook done);
    /// The node that was sent a record with this number has stored it.
    void on_confirmed(std::uint64_t number);
    void tick(time_point now);
    time_point next_due() const;

  private:
    struct replication {
        member_record record;
        done_hook done;
        time_point next_round;
        time_point deadline;
        std::map<std::uint64_t, node_name> sent;
        std::set<node_name> asked;
        std::set<node_name> confirmed;
    };

    std::size_t missing_copies(const replication& it) const;
    void send_round(time_point now, replication& it);

    replication_options options_;
    hooks hooks_;
    std::list<replication> open_;
};

} // namespace redwingwind::coordination
