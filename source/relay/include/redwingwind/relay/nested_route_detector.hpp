#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace redwingwind::relay {

/// Learns beside a target which routes carry calls that other targets make
/// while they run a call. Nothing in a call tells; but callers from outside
/// sit beside instances of all services, while a service's own calls begin
/// beside its own instances only. A route that is used from beside at most
/// half of the services that call here is therefore taken for a nested one.
class nested_route_detector {
  public:
    void on_call(time_point now, const std::string& route,
                 const service_name& caller);
    bool is_nested(const std::string& route) const;

  private:
    using counts = std::unordered_map<service_name, double>;

    static std::size_t callers(const counts& of);
    void fade();

    std::unordered_map<std::string, counts> by_route_;
    counts all_;
    time_point faded_{};
};

} // namespace redwingwind::relay
