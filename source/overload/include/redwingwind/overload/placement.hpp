#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/balancer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

struct placement_options {
    /// How much fuller, as a share of its slots, a target of the own failure
    /// domain may be than one of another before calls leave the domain.
    double domain_margin{0.25};
    /// Targets compared for each call.
    std::size_t compared{3};
    /// Weight of the latest answer in a target's smoothed rate of failures.
    double failure_weight{0.1};
    /// What a target that fails every call counts as, in shares of its slots.
    double failure_cost{1.0};
    /// A target that could not be reached gets no calls for this long,
    /// doubled by each further failure in a row up to eight-fold.
    duration pause{std::chrono::milliseconds(500)};
};

/// How a call that was placed ended, as far as its target's health goes.
enum class dispatch_result : std::uint8_t {
    answered,
    /// The target answered with a failure of its own, or with bad bytes.
    failed,
    /// The node could not be reached, or went silent.
    unreachable,
    /// Nothing is known of the target's health: turned away or given up.
    neutral
};

/// Chooses which target of a service gets a call: the least full of a few
/// random ones, in the own failure domain unless that is fuller by a margin.
/// Fullness is the slots in use that the target's node told last, and what
/// was sent there since. Slow targets hold their calls longer and so get
/// fewer; health checks do not enter.
class placement {
  public:
    placement(placement_options options, failure_domain_name own_domain)
        : options_(options), own_domain_(std::move(own_domain)) {}

    /// Adds a target or changes what is known of it.
    void update(const candidate& target);
    void remove(const node_name& node);

    std::optional<node_name> pick(time_point now,
                                  const std::vector<node_name>& tried,
                                  const random_hook& random) const;

    void on_sent(const node_name& node);
    void on_load_report(const node_name& node, const load_report& load);
    void on_end(const node_name& node, time_point now, dispatch_result end);

    std::size_t size() const { return targets_.size(); }
    /// Mean fullness of all targets, as a share of their slots.
    double mean_occupancy() const;

  private:
    struct state {
        candidate who;
        load_report load;
        std::uint32_t outstanding{};
        std::uint32_t sent_since_load{};
        double failure_rate{};
        std::uint32_t failures_in_row{};
        time_point paused_until{};
    };

    state* find(const node_name& node);
    double fullness_of(const state& it) const;
    double cost_of(const state& it) const;

    placement_options options_;
    failure_domain_name own_domain_;
    std::vector<state> targets_;
    std::unordered_map<node_name, std::size_t> index_;
};

} // namespace redwingwind::overload
