#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwingwind::overload {

/// How short of room a service is for the calls that running work makes: the
/// share of them, 0 to 1, that were turned away or had to wait.
struct service_strain {
    service_name service;
    double strain{};

    auto operator<=>(const service_strain&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(service, strain);
    }
};

/// Measures strain beside a target, over about the last fifth of a second.
class strain_meter {
  public:
    /// A call that running work made started after this wait.
    void on_started(time_point now, duration waited);
    void on_refused(time_point now);
    double value(time_point now) const;

  private:
    double fade(time_point now) const;
    void add(time_point now, double bad);

    time_point last_{};
    double bad_{};
    double all_{};
};

struct root_admission_options {
    /// Strain of a service above which less is let in.
    double threshold{0.5};
    duration interval{std::chrono::milliseconds(100)};
    /// Change of the depth in an interval: at full strain, and without.
    double deeper{0.15};
    double shallower{0.06};
    /// Of no priority less than this share is let in.
    double least{0.1};
    /// What was told of a service counts for this long.
    duration memory{std::chrono::seconds(1)};
};

/// Decides at the node where a call enters whether it is let in at all.
/// Answers the load pattern of a full service deep in the graph: a call that
/// fails there wastes all that ran for it above, so only as many as have room
/// below are let in. The less urgent ones are thinned out first, and more
/// urgent ones only when that is not enough.
class root_admission {
  public:
    explicit root_admission(root_admission_options options = {})
        : options_(options) {}

    /// What an answer on the route told of the services below.
    void on_answer(time_point now, const std::string& route,
                   const std::vector<service_strain>& below);
    /// draw is uniform in 0 to 1.
    bool admits(time_point now, const std::string& route, std::uint8_t priority,
                double draw);
    /// The greatest strain below the route as last told; 0 when too old.
    double strain_below(time_point now, const std::string& route) const;
    struct service_depth {
        service_name service;
        double strain{};
        double depth{};
    };
    /// Of all services that calls are thinned out for.
    std::vector<service_depth> depths() const;

  private:
    /// Priorities from this on are treated alike.
    static constexpr std::size_t priorities = 4;

    struct service_state {
        double strain{};
        time_point told{};
        time_point adjusted{};
        /// 0 lets all in; each whole step thins out one more priority.
        double depth{};
        std::array<time_point, priorities> asked{};
    };
    struct below_route {
        std::unordered_map<service_name, time_point> services;
    };

    void adjust(time_point now, service_state& it) const;
    double share(time_point now, const service_state& it,
                 std::size_t priority) const;
    bool is_asked(time_point now, const service_state& it,
                  std::size_t priority) const;

    root_admission_options options_;
    std::unordered_map<service_name, service_state> services_;
    std::unordered_map<std::string, below_route> routes_;
};

} // namespace redwingwind::overload
