#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/overload/importance.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// The admission level that a target of a service reported.
struct service_admission_level {
    service_name service;
    std::uint16_t level{};

    auto operator<=>(const service_admission_level&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(service, level);
    }
};

/// Merges more into into: each service of either list gets the higher of its
/// levels. Services beyond max_services_per_route are omitted.
void merge(std::vector<service_admission_level>& into,
           const std::vector<service_admission_level>& more);

constexpr std::size_t max_services_per_route = 32;

/// The service and the first segment of the path. Calls with the same key are
/// assumed to pass the same downstream services.
std::string route_key(const service_name& service, std::string_view path);

/// Keeps what replies reported: the admission level of each service, and the
/// downstream services of each route. The level of a service is refreshed by
/// every route that passes it, so that a route whose calls are all rejected
/// here still sees the level fall. A level that no reply confirms decays.
class level_table {
  public:
    explicit level_table(std::size_t max_entries = 4096)
        : max_entries_(max_entries) {}

    /// A reply on the route reported these levels.
    void learn(const std::string& route,
               const std::vector<service_admission_level>& levels,
               time_point now);

    /// The highest level of the route's downstream services; 0 for an unknown
    /// route.
    rank level(const std::string& route, time_point now) const;
    /// The levels of the route's downstream services that are not 0.
    std::vector<service_admission_level> levels(const std::string& route,
                                                time_point now) const;

  private:
    struct entry {
        double level{};
        time_point reported_at;
    };

    double level_of(const service_name& service, time_point now) const;
    void learn_service(const service_admission_level& reported, time_point now);

    std::size_t max_entries_;
    std::unordered_map<service_name, entry> services_;
    std::unordered_map<std::string, std::vector<service_name>> routes_;
};

} // namespace redwingwind::overload
