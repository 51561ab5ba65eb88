#pragma once

#include <redwingwind/common/hash.hpp>
#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwingwind::relay {

struct weighted_service {
    service_name service;
    /// Weight relative to the route's other services; above 0.
    double weight{1};

    auto operator<=>(const weighted_service&) const = default;
};

/// Which services the calls to a host and path go to, and how they are treated.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    bool is_idempotent{};
    /// Upper bound on the time that a caller waits.
    duration timeout{std::chrono::seconds(5)};
    /// A response within this time is worth the most to the caller.
    duration target_latency{std::chrono::seconds(1)};
    /// 0 is the most urgent.
    std::uint8_t priority{};
    /// Targets that one call may be sent to.
    std::uint32_t max_attempts{1};
    std::vector<weighted_service> service_weights;
    /// Calls need no credential, also where the policy has owners.
    bool is_credential_exempt{};

    auto operator<=>(const route&) const = default;
};

/// An owner, who sends calls with a credential, and what it may send.
struct owner_rule {
    owner_name name;
    /// SHA-256 of each of its credentials; the credentials are not kept.
    std::vector<sha256_digest> credentials;
    /// Takes precedence over the route's priority.
    std::optional<std::uint8_t> priority;
    /// Calls per second over all nodes; 0 for no limit.
    double rate_per_s{};
    /// Calls beyond the rate over all nodes.
    double burst{};

    bool is_limited() const { return rate_per_s > 0; }

    auto operator<=>(const owner_rule&) const = default;
};

struct service_rule {
    service_name name;
    std::uint32_t max_connections{};

    auto operator<=>(const service_rule&) const = default;
};

struct caller_limits {
    std::size_t max_header_bytes{16U << 10U};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
    duration request_timeout{std::chrono::seconds(10)};
    duration idle_timeout{std::chrono::seconds(30)};

    auto operator<=>(const caller_limits&) const = default;
};

/// One version of the operator's configuration.
struct traffic_policy {
    std::uint64_t version{};
    std::vector<route> routes;
    std::vector<service_rule> services;
    caller_limits limits;
    /// Whether calls need the credential of an owner.
    bool identifies_owners{};
    std::vector<owner_rule> owners;

    auto operator<=>(const traffic_policy&) const = default;
};

} // namespace redwingwind::relay
