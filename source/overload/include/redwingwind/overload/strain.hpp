#pragma once

#include <redwingwind/common/identifiers.hpp>
#include <redwingwind/common/time.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <unordered_map>

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
    /// Strain above which calls of a priority are thinned out. The most
    /// urgent ones are the last.
    double urgent_threshold{0.5};
    double threshold{0.05};
    duration interval{std::chrono::milliseconds(100)};
    /// Share of what is admitted that is taken away in an interval, and what
    /// is given back.
    double decrease{0.12};
    double increase{0.04};
    /// Nothing is thinned out below this share.
    double least{0.25};
    /// What was told of a service counts for this long.
    duration memory{std::chrono::seconds(1)};
};

/// Decides at the node where a call enters whether it is let in at all.
/// Answers the load pattern of a full service deep in the graph: a call that
/// fails there wastes all that ran for it above, so as many as have room
/// below are let in, the less urgent ones thinned out first.
class root_admission {
  public:
    explicit root_admission(root_admission_options options = {})
        : options_(options) {}

    /// What an answer of the service told of the services below it.
    void on_strain(time_point now, const service_name& service, double strain);
    /// draw is uniform in 0 to 1.
    bool admits(time_point now, const service_name& service,
                std::uint8_t priority, double draw);
    /// Strain below the service as last told; 0 when that is too old.
    double strain_below(time_point now, const service_name& service) const;

  private:
    static constexpr std::size_t priorities = 8;

    struct state {
        double strain{};
        time_point told{};
        time_point adjusted{};
        std::array<double, priorities> share{};
    };

    void adjust(time_point now, state& it) const;

    root_admission_options options_;
    std::unordered_map<service_name, state> services_;
};

} // namespace redwingwind::overload
