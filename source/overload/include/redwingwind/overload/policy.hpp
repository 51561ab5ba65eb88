#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::overload {

/// Applies to requests of one service whose path starts with the prefix.
struct route_rule {
    service_name service;
    std::string path_prefix;
    importance kind{importance::browse};
    bool idempotent{true};
    duration deadline{std::chrono::seconds(1)};

    auto operator<=>(const route_rule&) const = default;
};

/// An owner's weight when owners compete for capacity under overload.
struct owner_weight {
    owner_name owner;
    double weight{1.0};

    auto operator<=>(const owner_weight&) const = default;
};

/// The settings by which a node admits, retries and sheds the calls of one
/// graph.
struct graph_policy {
    /// Retries of one root request in its whole call tree, 0 to 16.
    std::uint32_t retry_budget{2};
    /// Requests with a higher Rww-Attempt are rejected, 0 to 16.
    std::uint32_t caller_resend_cap{3};
    /// Retries allowed on an edge per first attempt, 0 to 1.
    double retry_ratio{0.1};
    /// Deadline of a request that matches no rule and does not carry one.
    duration default_deadline{std::chrono::seconds(1)};
    /// Queue slots per unit of the concurrency limit, 0 to 4.
    double queue_per_slot{0.5};
    /// Factor by which the step grows, from window to window, with which the
    /// admission level falls while the target is not busy, 1.1 to 8. Higher
    /// values favour recovery time, lower values goodput.
    double level_decay{2.0};
    std::vector<route_rule> routes;
    std::vector<owner_weight> owners;

    auto operator<=>(const graph_policy&) const = default;
};

/// The rule with the longest matching prefix; nullptr if none matches.
const route_rule* find_rule(const graph_policy& policy,
                            const service_name& service, std::string_view path);

/// The owner's weight; 1 if the policy does not name the owner.
double weight_of(const graph_policy& policy, const owner_name& owner);

} // namespace redwingwind::overload
