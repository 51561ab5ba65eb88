#pragma once

#include <redwingwind/relay/traffic_policy.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace redwingwind::relay {

/// Finds the route of a call: among the routes of its host, the one with the
/// longest matching path prefix. The cost depends on the length of the path,
/// not on the number of routes.
class route_table {
  public:
    explicit route_table(std::shared_ptr<const traffic_policy> policy);

    /// Returns the index of the route in the policy, or npos when none matches.
    /// The target is a path with or without a query; the host may have a port.
    std::size_t find(std::string_view host, std::string_view target) const;

    const traffic_policy& policy() const { return *policy_; }
    const route& at(std::size_t index) const { return policy_->routes[index]; }

    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

  private:
    std::shared_ptr<const traffic_policy> policy_;
    /// Indexes of the routes, by host in lower case and prefix.
    std::unordered_map<std::string, std::size_t> indexes_;
};

/// Smooth weighted round robin over the services of one route: after any number
/// of calls, the services' shares are close to their weights.
class weighted_round_robin {
  public:
    const service_name& next(const route& of);

  private:
    std::vector<double> credits_;
};

} // namespace redwingwind::relay
