#pragma once

#include <redwingwind/relay/traffic_policy.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace redwingwind::relay {

/// Finds the route of a call: among those of its host, the one whose prefix
/// is the longest that its path begins with. The cost depends on the length
/// of the path, not on the number of routes.
class route_table {
  public:
    explicit route_table(std::shared_ptr<const traffic_policy> policy);

    /// The place of the route in the policy; npos when there is none. The
    /// target is a path with or without a query.
    std::size_t find(std::string_view host, std::string_view target) const;

    const traffic_policy& policy() const { return *policy_; }
    const route& at(std::size_t place) const { return policy_->routes[place]; }

    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

  private:
    std::shared_ptr<const traffic_policy> policy_;
    /// By host in lower case and prefix.
    std::unordered_map<std::string, std::size_t> places_;
};

/// Spreads the calls of one route over its parts in the proportions of their
/// weights, evenly at any moment.
class weighted_round_robin {
  public:
    const service_name& next(const route& of);

  private:
    std::vector<double> credit_;
};

} // namespace redwingwind::relay
