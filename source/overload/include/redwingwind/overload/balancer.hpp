#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// A node whose target serves the wanted service.
struct candidate {
    node_name node;
    failure_domain_name domain;
    std::uint32_t slots{};

    auto operator<=>(const candidate&) const = default;
};

/// What a reply tells about the node it came from.
struct load_report {
    std::uint32_t running{};
    std::uint32_t queued{};
    std::uint32_t limit{1};

    auto operator<=>(const load_report&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(running, queued, limit);
    }
};

struct balancer_options {
    /// Targets of one service that a node talks to.
    std::size_t subset{16};
    /// A new target's share of calls grows over this time.
    duration slow_start{std::chrono::seconds(1)};
    /// First pause after repeated failures; doubles up to sixteen-fold.
    duration ejection{std::chrono::seconds(1)};
    std::uint32_t failures_to_eject{3};
    /// Ejection never leaves less than this share of the targets.
    double min_available_share{0.5};
};

/// Chooses among the targets of one service: the less loaded of two random
/// ones, in the own failure domain unless that is busy. Load is what nodes
/// counted themselves and told in replies; targets' own load figures do not
/// enter.
class balancer {
  public:
    balancer(balancer_options options, node_name self,
             failure_domain_name own_domain);

    /// Replaces the candidates; what is known of those that stay is kept.
    void update(const std::vector<candidate>& all, time_point now);

    /// Nothing when there is no candidate outside tried.
    std::optional<node_name> pick(time_point now,
                                  const std::vector<node_name>& tried,
                                  const random_hook& random) const;

    void on_sent(const node_name& node);
    void on_reply(const node_name& node, const load_report& load);
    /// The call to the node failed; timed out, cut or unreachable.
    void on_failure(const node_name& node, time_point now);
    /// The call was given up without a reply that tells of the node's health.
    void on_abandoned(const node_name& node);
    /// The node told that its target is leaving.
    void mark_draining(const node_name& node);

    std::size_t size() const { return known_.size(); }

  private:
    struct state {
        candidate who;
        time_point since;
        load_report load;
        std::uint32_t outstanding{};
        std::uint32_t failures{};
        std::uint32_t ejections{};
        time_point ejected_until{};
        bool is_draining{};
    };

    double load_of(const state& it, time_point now) const;
    std::size_t ejected(time_point now) const;

    balancer_options options_;
    node_name self_;
    failure_domain_name own_domain_;
    std::unordered_map<node_name, state> known_;
};

} // namespace redwingwind::overload
