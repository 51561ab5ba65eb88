#pragma once

#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/io/http1.hpp>
#include <redwingwind/io/reactor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwingwind::io {

/// What callers may send and how long they may take; replaced while running.
struct stream_limits {
    http1_limits message;
    /// From the first byte of a request to its last.
    duration request_timeout{std::chrono::seconds(10)};
    duration idle_timeout{std::chrono::seconds(30)};
    /// A caller that takes nothing of its answer for this long is closed.
    duration write_timeout{std::chrono::seconds(20)};
    std::uint32_t max_connections{4096};
    /// Requests of one connection that are taken before the first of them is
    /// answered; above 0.
    std::uint32_t max_pipelined{64};
    /// Request and answer bytes held for all callers together, requests that
    /// still arrive among them: beyond it what arrives is turned away.
    std::size_t max_buffered_bytes{std::size_t{64} << 20U};
};

struct listen_address {
    std::string ip{"127.0.0.1"};
    /// 0 takes any free port.
    std::uint16_t port{};
};

struct stream_server_counters {
    std::uint64_t accepted{};
    std::uint64_t requests{};
    /// Closed or answered for a malformed, oversized or late request.
    std::uint64_t rejected{};
    /// Of these, for the size of the header or the body.
    std::uint64_t oversized{};
    /// Callers that left before their answer.
    std::uint64_t disconnected{};
};

/// An HTTP/1.1 server on the reactor, for callers whose requests are passed
/// on byte for byte. libmicrohttpd decodes the request target, and notices
/// neither a caller that leaves nor one that reads slowly in time.
///
/// Requests that a caller sends behind one another run at the same time where
/// they are repeatable; answers leave in the order of the requests. An answer
/// that is ready waits for those ahead of it, each of which its user ends in
/// a time of its own. A caller that half-closes its connection has left: its
/// requests end unanswered, as a close can't be told from it.
class stream_server {
  public:
    using exchange_id = std::uint64_t;

    struct incoming_request {
        exchange_id exchange{};
        /// IP number of the caller.
        std::string caller;
        http_request request;
        /// When its first byte was read.
        time_point arrived;
    };

    struct hooks {
        /// To be answered once by respond(), now or later.
        std::function<void(incoming_request)> on_request;
        /// The caller left before the answer.
        std::function<void(exchange_id)> on_disconnect;
        /// Whether a request may run beside others of its connection, and
        /// once more when the connection closes before its answer. Empty:
        /// none may, and each waits for the answer to the one before.
        std::function<bool(const http_request&)> is_idempotent{};
    };

    /// Throws std::runtime_error when the address can't be bound.
    stream_server(reactor& loop, const listen_address& where,
                  stream_limits limits, hooks h);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// Nothing happens when the caller has left.
    void respond(exchange_id exchange, const http_response& response);

    void set_limits(const stream_limits& limits);
    /// Takes no new connections from now on.
    void stop_accepting();
    /// From now on each answer closes its connection.
    void close_gradually();

    std::uint16_t port() const;
    /// Requests handed over and not answered.
    std::size_t open_exchanges() const;
    /// Bytes of requests and answers.
    std::size_t buffered_bytes() const;
    std::size_t open_connections() const;
    const stream_server_counters& counters() const;

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace redwingwind::io
