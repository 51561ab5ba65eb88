#pragma once

#include <redwingwind/common/time.hpp>

#include <optional>

namespace redwingwind::node {

/// When a node that was told to stop does what. Callers go elsewhere only
/// after they saw that it is not ready; until then, and where they have no
/// other node, they are served.
class planned_stop {
  public:
    /// The process must be gone this long after the signal.
    explicit planned_stop(duration limit) : limit_(limit) {}

    /// The settings changed; counts for a stop that has not begun.
    void set_limit(duration limit);
    void begin(time_point now);
    bool has_begun() const { return began_.has_value(); }
    /// From now on each answer closes its connection.
    bool closes_connections(time_point now) const;
    /// From now on only calls are taken that end by the time returned.
    std::optional<time_point> takes_until(time_point now) const;
    /// The process may end. Before that it takes no calls for a moment, so
    /// that none is taken and left.
    bool is_over(time_point now, bool is_idle);

  private:
    duration passed(time_point now) const;

    duration limit_;
    std::optional<time_point> began_;
    std::optional<time_point> takes_none_since_;
};

} // namespace redwingwind::node
