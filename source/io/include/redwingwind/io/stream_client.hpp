#pragma once

#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/io/reactor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwingwind::io {

enum class stream_failure : std::uint8_t {
    none,
    /// No connection came about: no byte of the request was sent.
    not_connected,
    /// The connection ended before the whole answer.
    cut_off,
    /// What came is no HTTP answer, is longer than allowed, or can't be told
    /// from the answer to an earlier request.
    malformed
};

struct stream_result {
    stream_failure failure{stream_failure::none};
    /// The connection had served a request before.
    bool was_reused{};
    http_response response;
};

struct stream_call {
    http_request request;
    /// An answer that names another request in this header is not the answer
    /// to this one, and is passed over. One that names none is taken only on
    /// a connection that served no other request. Empty: not checked.
    std::string echo_header;
    std::string echo_value;
    /// A kept connection is used only when it was idle for less than this;
    /// zero asks for a new one.
    duration max_idle{std::chrono::seconds(60)};
};

struct stream_client_options {
    std::string ip;
    std::uint16_t port{};
    duration connect_timeout{std::chrono::milliseconds(500)};
    /// Kept connections are closed after this, or after the time that the
    /// server tells, less a margin.
    duration idle_timeout{std::chrono::seconds(8)};
    std::size_t max_response_header_bytes{64U << 10U};
    std::size_t max_response_body_bytes{std::size_t{16} << 20U};
    /// Of the answers that arrive on all connections; beyond it the longest
    /// is given up.
    std::size_t max_buffered_bytes{std::size_t{64} << 20U};
};

struct stream_client_counters {
    std::uint64_t opened{};
    std::uint64_t responses{};
    /// Answers that belonged to no request waiting.
    std::uint64_t unmatched_responses{};
    /// Answers given up because all together were too long.
    std::uint64_t dropped_responses{};
};

/// An HTTP/1.1 client of one server on the reactor. A request's bytes are
/// sent once, on one connection, whatever happens to it; libcurl sends them
/// again on its own and takes a late answer for the next one.
class stream_client {
  public:
    using call_id = std::uint64_t;
    using callback = std::function<void(stream_result)>;

    stream_client(reactor& loop, stream_client_options options);
    ~stream_client();
    stream_client(const stream_client&) = delete;
    stream_client& operator=(const stream_client&) = delete;

    /// The callback comes from the loop, never from inside start().
    call_id start(stream_call call, callback on_end);
    /// Ends the call without a callback and closes its connection.
    void cancel(call_id id);
    /// Closes the connections that serve no call.
    void close_idle();

    std::size_t open_connections() const;
    const stream_client_counters& counters() const;

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace redwingwind::io
