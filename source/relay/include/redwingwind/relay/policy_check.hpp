#pragma once

#include <redwingwind/relay/traffic_policy.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::relay {

enum class finding_kind : std::uint8_t {
    /// No call can match the route, or none can be answered on it.
    unreachable_route,
    unknown_service,
    duplicate_name,
    /// Two settings that cannot both have their effect.
    contradicting_limits,
    /// Two owners have the same credential: the first gets the calls of both.
    shared_credential,
    /// The version is not higher than the one in force, so nodes ignore it.
    stale_version,
    /// A difference from the policy in force.
    change
};

/// The stable name of a kind, as printed.
std::string_view to_string(finding_kind kind);

/// Something to know about a policy before it is sent. Never contains a
/// credential.
struct policy_finding {
    finding_kind kind{};
    /// "route NAME", "owner NAME", "service NAME", "limits" or "version".
    std::string place;
    std::string field;
    std::string message;

    auto operator<=>(const policy_finding&) const = default;
};

/// Problems within one policy, in its order.
std::vector<policy_finding> check_policy(const traffic_policy& policy);

/// What the proposed policy changes of the one in force, by meaning: the order
/// of routes, services, owners and credentials does not count.
std::vector<policy_finding> compare_policies(const traffic_policy& in_force,
                                             const traffic_policy& proposed);

} // namespace redwingwind::relay
