#pragma once

#include <cstdint>
#include <string_view>

namespace redwingwind {

/// Writes lines to a descriptor without ever waiting for its reader: a line
/// that has no room is lost, and the number of lost ones is told in a line of
/// its own once there is room again.
class line_output {
  public:
    /// The descriptor stays the caller's.
    explicit line_output(int fd) : fd_(fd) {}

    /// Without a line end in it; false when it was lost.
    bool write(std::string_view line);
    /// Since the start.
    std::uint64_t lost() const { return all_lost_; }

  private:
    bool has_room() const;
    bool put(std::string_view line) const;
    bool tell_lost();

    int fd_;
    /// Not told of yet.
    std::uint64_t lost_{};
    std::uint64_t all_lost_{};
};

} // namespace redwingwind
