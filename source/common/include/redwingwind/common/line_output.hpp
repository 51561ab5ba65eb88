#pragma once

#include <cstdint>
#include <string_view>

namespace redwingwind {

/// Writes lines to a descriptor and never blocks: a line that the descriptor
/// cannot take at once is lost. Before the next line that it takes, a line
/// with the event lines_lost reports how many lines were lost since the last
/// report.
class line_output {
  public:
    /// Does not take ownership of the descriptor.
    explicit line_output(int fd) : fd_(fd) {}

    /// Writes the line and a line end; the line itself must not contain one.
    /// False when the line was lost: the descriptor has no room, or the line
    /// with its end is longer than PIPE_BUF bytes.
    bool write(std::string_view line);
    /// Number of lines lost since construction.
    std::uint64_t lost() const { return total_lost_; }

  private:
    bool has_room() const;
    bool try_write(std::string_view line) const;
    bool report_lost();

    int fd_;
    /// Lost lines that no lines_lost event has reported yet.
    std::uint64_t unreported_lost_{};
    std::uint64_t total_lost_{};
};

} // namespace redwingwind
