#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// The admission level that a target of a service told.
struct service_admission_level {
    service_name service;
    std::uint16_t level{};

    auto operator<=>(const service_admission_level&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(service, level);
    }
};

/// The higher level of each service that stands in either list. Keeps at most
/// max_services_per_route.
void merge(std::vector<service_admission_level>& into,
           const std::vector<service_admission_level>& more);

constexpr std::size_t max_services_per_route = 32;

/// The service and the first part of the path: calls that take the same way
/// through the graph, as far as a caller can tell.
std::string route_key(const service_name& service, std::string_view path);

/// What replies told: the admission level of each service, and which services
/// lie on the way of each route. A service's level is kept fresh by every
/// route that passes it, so a route whose calls are all refused here still
/// knows when to open. A level that no reply confirms fades.
class level_table {
  public:
    explicit level_table(std::size_t most_entries = 4096)
        : most_entries_(most_entries) {}

    void learn(const std::string& route,
               const std::vector<service_admission_level>& levels,
               time_point now);

    /// The highest level on the way.
    rank level(const std::string& route, time_point now) const;
    /// The levels on the way that are not 0.
    std::vector<service_admission_level> levels(const std::string& route,
                                                time_point now) const;

  private:
    struct entry {
        double level{};
        time_point at;
    };

    double level_of(const service_name& service, time_point now) const;
    void learn_service(const service_admission_level& told, time_point now);

    std::size_t most_entries_;
    std::unordered_map<service_name, entry> services_;
    std::unordered_map<std::string, std::vector<service_name>> routes_;
};

} // namespace redwingwind::overload
