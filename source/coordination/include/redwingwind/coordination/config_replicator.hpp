#pragma once

#include <redwingwind/common/time.hpp>
#include <redwingwind/coordination/membership.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace redwingwind::coordination {

/// The configurations that a node has in force, one generation for each
/// graph. Generations only rise, whatever arrives late or twice.
class config_replicator {
  public:
    struct hooks {
        /// Sends a frame to a node, over a connection.
        std::function<void(const member_record&, const frame&)> send;
        /// Tells other nodes, by news, of what is in force here.
        std::function<void(const config_generation&)> gossip;
        /// A newer configuration is now in force here.
        std::function<void(const config_frame&)> on_accept;
    };

    explicit config_replicator(hooks h) : hooks_(std::move(h)) {}

    /// False for a generation that is not newer than the one in force.
    bool offer(const config_frame& config);

    /// A peer holds this generation; asks for it when it is newer.
    void on_gossip(time_point now, const member_record& from,
                   const config_generation& news);

    /// Compares with all that a peer holds.
    void exchange(const member_record& with);
    void on_summary(const member_record& from,
                    const config_summary_frame& summary);

    const config_frame* find(const graph_name& graph) const;
    std::vector<config_generation> generations() const;
    std::uint64_t content_digest() const { return digest_; }

  private:
    std::uint64_t generation_of(const graph_name& graph) const;

    hooks hooks_;
    std::map<graph_name, config_frame> in_force_;
    std::map<graph_name, time_point> asked_;
    std::uint64_t digest_{};
};

} // namespace redwingwind::coordination
