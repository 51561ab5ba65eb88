#pragma once

#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace redwingwind::io {

/// A request of a connection, from its last byte until its response is written.
struct pipelined_request {
    std::uint64_t sequence{};
    http_request request;
    /// When its first byte was read.
    time_point arrived;
    /// May run concurrently with others, and once more when the connection
    /// closes before the response.
    bool is_idempotent{};
    bool is_head{};
    /// The connection closes after the response to this request.
    bool is_last{};
    /// Bytes read of the request; after respond() those of the response's body.
    std::size_t bytes{};
    /// Handed over and not yet responded to.
    bool is_running{};
    std::optional<http_response> response;
};

/// The pipelined requests of one connection in the order of their arrival:
/// decides which request may run and which response may be written next.
/// Idempotent requests run concurrently. A request that is not idempotent runs
/// alone, so that when a response closes the connection, every request behind
/// it may be sent again. Responses are written in the order of the requests.
class request_pipeline {
  public:
    void add(pipelined_request entry);

    /// Marks the next request as running and returns it; nullptr when there is
    /// none or it has to wait. With is_closing, only the request at the front
    /// may start. The pointer is valid until the next add(),
    /// pop_responded() or drop_all().
    pipelined_request* start_next(bool is_closing);

    /// Stores the response; false when no running request has this sequence
    /// number.
    bool respond(std::uint64_t sequence, http_response response);

    /// Removes and returns the first request when it has its response.
    std::optional<pipelined_request> pop_responded();

    /// Removes all requests; returns the sequence numbers of those running.
    std::vector<std::uint64_t> drop_all();

    /// A request is running, or its response has not been written yet.
    bool has_started() const { return next_ > 0; }
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    /// Number of running requests.
    std::size_t running() const { return running_; }
    /// Bytes of the requests and of the responses that are not written yet.
    std::size_t bytes() const { return bytes_; }
    /// Of these, bytes of responses.
    std::size_t response_bytes() const { return response_bytes_; }

  private:
    bool may_start(std::size_t index, bool is_closing) const;

    std::deque<pipelined_request> entries_;
    /// Entries from here on have not started.
    std::size_t next_{};
    std::size_t running_{};
    std::size_t bytes_{};
    std::size_t response_bytes_{};
};

} // namespace redwingwind::io
