#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <optional>

namespace redwingwind::overload {

/// Whether a relative service time, in percent of the usual one, is in the
/// range in which it is believed: a tenth to ten times the usual.
constexpr bool is_plausible_service_time(std::int64_t percent) {
    return percent >= 10 && percent <= 1000;
}

/// The load figures that a target adds to a response.
struct target_figures {
    std::int64_t running{};
    std::int64_t waiting{};
    std::int64_t slots{};
    /// In percent of the usual time; 0 if the target told none.
    std::int64_t relative_service_time{};

    auto operator<=>(const target_figures&) const = default;
};

/// Checks the figures that the local target reports and keeps its relative
/// service time. Figures out of range are ignored, and so are those that stay
/// the same while the number of calls at the target changes.
class relative_service_time {
  public:
    /// Figures of a response; running: calls that the node has at the target.
    void on_figures(time_point now, const target_figures& figures,
                    std::uint32_t running);
    /// A response whose figures could not be decoded.
    void on_malformed() { ++ignored_; }

    /// In percent of the usual time; 0 if no recent figure is believed.
    std::uint16_t percent(time_point now) const;
    /// Responses whose figures were ignored.
    std::uint64_t ignored() const { return ignored_; }

  private:
    bool is_stuck(time_point now, const target_figures& figures,
                  std::uint32_t running);

    /// The figures of the latest response and how long they are the same.
    target_figures last_;
    time_point unchanged_since_{};
    std::uint32_t unchanged_{};
    std::uint32_t least_running_{};
    std::uint32_t most_running_{};
    /// Exponentially weighted average of the believed figures; 0 for none.
    double average_{};
    time_point updated_{};
    std::uint64_t ignored_{};
};

} // namespace redwingwind::overload
