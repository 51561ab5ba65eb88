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

/// The load of a target, as reported in a reply of its node.
struct load_report {
    std::uint32_t running{};
    std::uint32_t queued{};
    /// Calls that the target may execute at once.
    std::uint32_t limit{1};
    /// In percent of the usual service time; 0 if the target reports none.
    std::uint16_t relative_service_time{};

    auto operator<=>(const load_report&) const = default;

    /// The relative service time takes two bytes where there is one, and none
    /// otherwise: the highest bit of the limit tells which.
    template <class Archive>
    void save(Archive& ar) const {
        const bool has_time = relative_service_time != 0;
        ar(running, queued, limit | (has_time ? time_follows : 0U));
        if (has_time)
            ar(relative_service_time);
    }

    template <class Archive>
    void load(Archive& ar) {
        ar(running, queued, limit);
        relative_service_time = 0;
        if ((limit & time_follows) == 0)
            return;
        limit &= ~time_follows;
        ar(relative_service_time);
    }

  private:
    static constexpr std::uint32_t time_follows = 0x80000000U;
};

struct balancer_options {
    /// Maximum number of targets of one service that a node calls.
    std::size_t subset{16};
    /// Time over which the share of calls that a new target gets rises.
    duration slow_start{std::chrono::seconds(1)};
    /// How long a target is ejected after repeated failures; doubles with each
    /// further ejection, up to sixteenfold.
    duration ejection{std::chrono::seconds(1)};
    /// Consecutive failures after which a target is ejected.
    std::uint32_t failures_to_eject{3};
    /// Ejections are ignored while they leave less than this share of the
    /// targets, 0 to 1.
    double min_available_share{0.5};
};

/// Chooses among the targets of one service: the less loaded of two random
/// ones, in the node's own failure domain unless that is busy. The load is what
/// the nodes counted and reported in replies; load figures from the targets
/// themselves are not used.
class balancer {
  public:
    balancer(balancer_options options, node_name self,
             failure_domain_name own_domain);

    /// Replaces the candidates; the state of those that remain is kept.
    void update(const std::vector<candidate>& all, time_point now);

    /// Nothing if no candidate remains that has not been tried.
    std::optional<node_name> pick(time_point now,
                                  const std::vector<node_name>& tried,
                                  const random_hook& random) const;

    void on_sent(const node_name& node);
    void on_reply(const node_name& node, const load_report& load);
    /// The call to the node failed: it timed out, the connection broke, or the
    /// node was unreachable.
    void on_failure(const node_name& node, time_point now);
    /// The call ended without a reply that shows the node's health.
    void on_abandoned(const node_name& node);
    /// The node reported that its target is draining: it gets no more calls.
    void mark_draining(const node_name& node);

    std::size_t size() const { return targets_.size(); }

  private:
    struct target_state {
        candidate target;
        /// When the target was first seen; the epoch for the initial ones.
        time_point added_at;
        load_report load;
        std::uint32_t outstanding{};
        std::uint32_t failures{};
        std::uint32_t ejections{};
        time_point ejected_until{};
        bool is_draining{};
    };

    /// Calls per slot, raised for a target that is in its slow start.
    double load_of(const target_state& it, time_point now) const;
    std::size_t ejected_count(time_point now) const;

    balancer_options options_;
    node_name self_;
    failure_domain_name own_domain_;
    std::unordered_map<node_name, target_state> targets_;
};

} // namespace redwingwind::overload
