#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <string>
#include <unordered_map>

namespace redwingwind::overload {

/// The service and the first part of the path: calls that take the same way
/// through the graph, as far as a caller can tell.
std::string route_key(const service_name& service, std::string_view path);

/// The admission levels that replies told, for refusing early. A level that
/// no reply confirms fades, so a route that gets no calls opens again.
class level_table {
  public:
    explicit level_table(std::size_t most_routes = 4096)
        : most_routes_(most_routes) {}

    void learn(const std::string& route, rank level, time_point now);
    rank level(const std::string& route, time_point now) const;
    std::size_t size() const { return entries_.size(); }

  private:
    struct entry {
        double level{};
        time_point at;
    };

    std::size_t most_routes_;
    std::unordered_map<std::string, entry> entries_;
};

} // namespace redwingwind::overload
