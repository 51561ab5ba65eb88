#pragma once

#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace redwingwind::io {

/// A request of a connection, from its last byte until its answer leaves.
struct line_entry {
    std::uint64_t sequence{};
    http_request request;
    /// When its first byte was read.
    time_point arrived;
    /// May run beside others, and again after a connection that closed.
    bool is_idempotent{};
    bool is_head{};
    /// The connection takes no request behind this one.
    bool is_last{};
    /// Read of the request, until its answer takes its place.
    std::size_t bytes{};
    bool is_running{};
    std::optional<http_response> answer;
};

/// The requests of one connection in the order in which they came: which may
/// run now, and which answer may leave now. Repeatable requests run at the
/// same time; one that must run once runs alone, so that an answer which
/// closes the connection leaves nothing behind it that may not be sent again.
/// Answers leave in the order of the requests.
class request_line {
  public:
    void add(line_entry entry);

    /// The next request to run, marked as running; nullptr when it has to
    /// wait. With is_closing none starts behind another. Valid until the line
    /// changes.
    line_entry* start_next(bool is_closing);

    /// False when no request of this number waits for an answer.
    bool answer(std::uint64_t sequence, http_response response);

    /// The first request, once it is answered.
    std::optional<line_entry> take_answered();

    /// Running requests, which are forgotten with the rest of the line.
    std::vector<std::uint64_t> drop_all();

    /// A request runs, or was answered and has not left.
    bool has_started() const { return next_ > 0; }
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    /// Running and not answered.
    std::size_t running() const { return running_; }
    /// Held for the requests and for the answers that wait.
    std::size_t bytes() const { return bytes_; }

  private:
    bool may_start(std::size_t place, bool is_closing) const;

    std::deque<line_entry> entries_;
    /// Entries from here on have not started.
    std::size_t next_{};
    std::size_t running_{};
    std::size_t bytes_{};
};

} // namespace redwingwind::io
