#pragma once

#include <redwingwind/common/time.hpp>

#include <algorithm>

namespace redwingwind::relay {

/// The highest of the durations that were added in the last one to two windows.
class recent_maximum {
  public:
    static constexpr duration window = std::chrono::seconds(30);

    void add(time_point now, duration value) {
        if (now - since_ >= window) {
            previous_ = now - since_ < 2 * window ? current_ : duration::zero();
            current_ = duration::zero();
            since_ = now;
        }
        current_ = std::max(current_, value);
    }

    /// Zero before the first one.
    duration value() const { return std::max(previous_, current_); }

  private:
    time_point since_{};
    duration current_{};
    duration previous_{};
};

} // namespace redwingwind::relay
