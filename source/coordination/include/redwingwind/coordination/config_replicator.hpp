#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/membership.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace redwingwind::coordination {

/// The configurations in force on a node, one for each graph. A configuration
/// is replaced only by one with a higher generation, so late and duplicate
/// messages have no effect.
class config_replicator {
  public:
    struct hooks {
        /// Sends a frame to a node, over a connection.
        std::function<void(const member_record&, const frame&)> send;
        /// Gossips the generation that is now in force here.
        std::function<void(const config_generation&)> gossip;
        /// Called when a newer configuration is in force here.
        std::function<void(const config_frame&)> on_accept;
    };

    explicit config_replicator(hooks h) : hooks_(std::move(h)) {}

    /// Puts the configuration in force if its generation is newer than the
    /// current one; returns whether it did.
    bool offer(const config_frame& config);

    /// Handles a generation that a peer reported as in force there; requests
    /// the configuration from the peer when it is newer.
    void on_gossip(time_point now, const member_record& from,
                   const config_generation& reported);

    /// Sends all generations to a peer, which replies with the differences.
    void exchange(const member_record& with);
    /// Sends the configurations that are newer here. If the summary wants a
    /// reply, also sends those it does not list and requests those that are
    /// older here.
    void on_summary(const member_record& from,
                    const config_summary_frame& summary);

    const config_frame* find(const graph_name& graph) const;
    std::vector<config_generation> generations() const;
    /// Digest of all graphs and generations; equal on nodes that agree.
    std::uint64_t content_digest() const { return digest_; }

  private:
    std::uint64_t generation_of(const graph_name& graph) const;

    hooks hooks_;
    std::map<graph_name, config_frame> in_force_;
    /// When a newer generation was last requested from a peer.
    std::map<graph_name, time_point> last_request_;
    std::uint64_t digest_{};
};

} // namespace redwingwind::coordination
