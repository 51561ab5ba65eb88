#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/balancer.hpp>
#include <redwingwind/overload/load_forecast.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

struct placement_options {
    /// By how much the occupancy of a target in the node's own failure domain
    /// may exceed that of one in another before calls leave the domain.
    double domain_margin{0.25};
    /// Bounds the targets compared for each call: the search ends after
    /// 4 * compared targets of the node's own failure domain, or of all domains
    /// if the service has no more than that.
    std::size_t compared{3};
    /// Weight of the latest response in a target's average failure rate.
    double failure_weight{0.1};
    /// Added to the occupancy of a target that fails every call when targets
    /// are compared; scaled by the failure rate.
    double failure_cost{1.0};
    /// An unreachable target gets no calls for this long; doubled by each
    /// further consecutive failure, up to eightfold.
    duration pause{std::chrono::milliseconds(500)};
    balance_mode balance{balance_mode::automatic};
};

/// How a dispatched call ended, as far as it shows its target's health.
enum class dispatch_result : std::uint8_t {
    answered,
    /// The target responded with a failure of its own or with malformed data.
    failed,
    /// The node could not be reached or stopped replying.
    unreachable,
    /// Says nothing about the target's health: rejected or abandoned.
    neutral
};

/// Chooses the target of a service that gets a call: the one with the lowest
/// occupancy of a few that are taken from a random position on, in the node's
/// own failure domain unless those are more occupied by a margin. The
/// occupancy is computed from the load that the target's node reported last
/// and the calls sent there since. Slow targets hold their calls longer and
/// therefore get fewer. Health checks are not considered.
///
/// Where targets report their speed, the occupancy that is expected now counts
/// instead (load_forecast), and the target is drawn (target_draw).
class placement {
  public:
    placement(placement_options options, failure_domain_name own_domain)
        : options_(options), own_domain_(std::move(own_domain)),
          forecast_(options.balance == balance_mode::forecast) {}

    /// Adds a target or updates its failure domain and slots.
    void update(const candidate& target);
    void remove(const node_name& node);

    /// Nothing if all targets have been tried. If all others are paused, picks
    /// the one whose pause ends first.
    std::optional<node_name> pick(time_point now,
                                  const std::vector<node_name>& tried,
                                  const random_hook& random) const;

    void on_sent(const node_name& node, time_point now);
    void on_load_report(const node_name& node, time_point now,
                        const load_report& load);
    void on_end(const node_name& node, time_point now, dispatch_result end);

    std::size_t size() const { return targets_.size(); }
    /// Mean occupancy of all targets, calls over slots; 0 without targets.
    double mean_occupancy() const;
    /// Whether targets are chosen by forecast.
    bool uses_forecast() const;
    const load_forecast& forecast() const { return forecast_; }
    /// Mean age of the targets' latest reports, in seconds; 0 without one.
    double mean_report_age_s(time_point now) const;

  private:
    struct target_state {
        candidate target;
        load_report load;
        std::uint32_t outstanding{};
        std::uint32_t sent_since_load{};
        /// Exponentially weighted average, 0 to 1.
        double failure_rate{};
        std::uint32_t consecutive_failures{};
        time_point paused_until{};
        load_forecast::target_record record;
    };

    std::optional<node_name> pick_by_report(time_point now,
                                            const std::vector<node_name>& tried,
                                            const random_hook& random) const;
    std::optional<node_name>
    pick_by_forecast(time_point now, const std::vector<node_name>& tried,
                     const random_hook& random) const;
    /// The target with the earlier end of its pause; either may be null.
    static const target_state* earlier(const target_state* a,
                                       const target_state* b);
    /// Of a drawn target in the own domain and one in another, the one that
    /// gets the call; npos without any.
    std::size_t choose(const target_draw& near, const target_draw& far,
                       std::uint64_t random) const;
    void rescale();
    target_state* find(const node_name& node);
    double occupancy_of(const target_state& it) const;
    /// Occupancy plus the penalties for distance and failures.
    double cost_of(const target_state& it) const;

    placement_options options_;
    failure_domain_name own_domain_;
    load_forecast forecast_;
    std::vector<target_state> targets_;
    /// Position in targets_, by node.
    std::unordered_map<node_name, std::size_t> index_;
};

} // namespace redwingwind::overload
