#pragma once

#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/io/http1.hpp>
#include <redwingwind/io/memory_account.hpp>
#include <redwingwind/io/reactor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace redwingwind::io {

/// Limits on what clients send and how long they take; may be replaced at run
/// time.
struct stream_limits {
    http1_limits message;
    /// Longest time from the first byte of a request to its last.
    duration request_timeout{std::chrono::seconds(10)};
    /// A connection without a request is closed after this.
    duration idle_timeout{std::chrono::seconds(30)};
    /// A connection whose client reads nothing of a response for this long is
    /// closed.
    duration write_timeout{std::chrono::seconds(20)};
    std::uint32_t max_connections{4096};
    /// Requests of one connection that are read before the response to the
    /// first of them is written; above 0.
    std::uint32_t max_pipelined{64};
    /// Bytes buffered for all connections together, including incomplete
    /// requests and unsent responses; beyond it incoming requests are rejected
    /// with status 503.
    std::size_t max_buffered_bytes{std::size_t{64} << 20U};
    /// While memory is short, a connection whose client has taken or sent less
    /// than this, in bytes a second since it began to be waited for, is closed
    /// or its incomplete request rejected with status 503.
    std::size_t min_progress{std::size_t{64} << 10U};
    /// What the process holds; outlives the server. Without it, only
    /// max_buffered_bytes applies.
    memory_account* memory{};
};

struct listen_address {
    std::string ip{"127.0.0.1"};
    /// 0 lets the system choose a free port.
    std::uint16_t port{};
};

struct stream_server_counters {
    /// Accepted connections.
    std::uint64_t accepted{};
    /// Complete requests.
    std::uint64_t requests{};
    /// Connections beyond the limit, and malformed, oversized or late requests
    /// as well as incomplete ones beyond max_buffered_bytes.
    std::uint64_t rejected{};
    /// Rejected for the size of the header or the body.
    std::uint64_t oversized{};
    /// Requests whose client disconnected before the response.
    std::uint64_t disconnected{};
    /// Complete requests rejected because memory was short.
    std::uint64_t rejected_for_memory{};
    /// Incomplete requests rejected because memory was short.
    std::uint64_t slow_requests{};
    /// Connections closed because memory was short and the client took little
    /// of a response.
    std::uint64_t slow_readers{};
};

/// An HTTP/1.1 server on the reactor that passes request targets on unchanged.
/// It is used instead of libmicrohttpd, which decodes the request target and
/// detects clients that disconnect or read slowly too late.
///
/// Pipelined requests run concurrently where they are idempotent; responses are
/// written in the order of the requests. A response waits for those before it,
/// without a time limit here: the user of this class ends each request by its
/// own deadline. A client that half-closes its connection counts as
/// disconnected, because a half-close cannot be told from a close: its requests
/// get no response.
class stream_server {
  public:
    using exchange_id = std::uint64_t;

    struct incoming_request {
        exchange_id exchange{};
        /// IP address of the client.
        std::string caller;
        http_request request;
        /// When the first byte of the request arrived.
        time_point arrived;
    };

    struct hooks {
        /// Must be followed by one respond(), from inside the hook or later.
        std::function<void(incoming_request)> on_request;
        /// The client disconnected before the response.
        std::function<void(exchange_id)> on_disconnect;
        /// Whether a request may run concurrently with others of its
        /// connection, and once more when the connection closes before its
        /// response. Without this hook none may: each waits for the response
        /// to the one before.
        std::function<bool(const http_request&)> is_idempotent{};
        /// Whether a request is made by work that was accepted before; such a
        /// request is rejected for memory only when the account is full.
        std::function<bool(const http_request&)> is_nested{};
        /// A connection was closed or its request rejected because memory was
        /// short. `why` is "slow_reader" or "slow_request"; `progress` is in
        /// bytes a second.
        std::function<void(std::string_view why, const std::string& client_ip,
                           std::size_t held_bytes, std::size_t progress)>
            on_relief{};
    };

    /// Throws std::runtime_error when the server can't listen on the address.
    stream_server(reactor& loop, const listen_address& where,
                  stream_limits limits, hooks h);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// Does nothing when the client has disconnected.
    void respond(exchange_id exchange, http_response response);

    /// Applies to open connections too; the message limits from their next
    /// request on.
    void set_limits(const stream_limits& limits);
    /// Accepts no further connections; open ones continue.
    void stop_accepting();
    /// From now on a connection closes after the next response that leaves no
    /// started request; an idle connection still serves one request.
    void close_gradually();

    std::uint16_t port() const;
    /// Requests passed to on_request and not yet responded to.
    std::size_t open_exchanges() const;
    /// Whether a client has not acknowledged all bytes of its responses yet.
    bool has_unsent_responses() const;
    /// Bytes of requests and responses held, see max_buffered_bytes.
    std::size_t buffered_bytes() const;
    std::size_t open_connections() const;
    const stream_server_counters& counters() const;

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace redwingwind::io
