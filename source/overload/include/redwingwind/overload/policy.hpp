#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::overload {

/// What holds for requests of one service whose path starts with a prefix.
struct route_rule {
    service_name service;
    std::string path_prefix;
    importance kind{importance::browse};
    bool idempotent{true};
    duration deadline{std::chrono::seconds(1)};

    auto operator<=>(const route_rule&) const = default;
};

/// An owner's weight when capacity is shared out under pressure.
struct owner_weight {
    owner_name owner;
    double weight{1.0};

    auto operator<=>(const owner_weight&) const = default;
};

/// Everything a node needs to decide about the calls of one graph.
struct graph_policy {
    /// Retries for one root request in its whole call tree, 0 to 16.
    std::uint32_t retry_budget{2};
    /// Highest Rww-Attempt that is served, 0 to 16.
    std::uint32_t caller_resend_cap{3};
    /// Retries allowed on an edge per first attempt, 0 to 1.
    double retry_ratio{0.1};
    /// Deadline of a request that no rule covers and that brings none.
    duration default_deadline{std::chrono::seconds(1)};
    /// Queue slots per unit of the concurrency limit, 0 to 4.
    double queue_per_slot{0.5};
    /// The share of the admission level that one quiet window takes away
    /// grows by this factor from window to window, 1.1 to 8. Higher favours
    /// recovery time, lower favours goodput.
    double level_decay{2.0};
    std::vector<route_rule> routes;
    std::vector<owner_weight> owners;

    auto operator<=>(const graph_policy&) const = default;
};

/// The rule with the longest matching prefix, or null.
const route_rule* find_rule(const graph_policy& policy,
                            const service_name& service, std::string_view path);

/// The owner's weight, 1 when the policy does not name it.
double weight_of(const graph_policy& policy, const owner_name& owner);

} // namespace redwingwind::overload
