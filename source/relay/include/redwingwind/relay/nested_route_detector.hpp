#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace redwingwind::relay {

/// Learns at a target's node which routes carry nested calls. Nothing in a call
/// says so, but root calls enter at the nodes of all services, while the calls
/// that a service's targets make enter at that service's nodes only. A route
/// that is used from the nodes of at most half of the calling services is
/// therefore considered nested.
class nested_route_detector {
  public:
    /// caller is the service of the node at which the call entered.
    void on_call(time_point now, const std::string& route,
                 const service_name& caller);
    /// False for a route with few recent calls.
    bool is_nested(const std::string& route) const;

  private:
    /// Recent calls by the calling service, with exponential decay.
    using counts = std::unordered_map<service_name, double>;

    static std::size_t caller_count(const counts& of);
    void decay();

    std::unordered_map<std::string, counts> by_route_;
    counts total_;
    time_point last_decay_{};
};

} // namespace redwingwind::relay
