#pragma once

#include <redwingwind/common/http_message.hpp>
#include <redwingwind/common/time.hpp>
#include <redwingwind/io/reactor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::io {

/// The value of the header, names compared without case; empty when absent.
std::string find_header(const std::vector<http_header>& headers,
                        std::string_view name);

http_response json_response(int status, std::string body);

/// The value of a query parameter; empty when absent.
std::string query_parameter(std::string_view target, std::string_view name);

/// The path without its query.
std::string path_of(std::string_view target);

struct http_server_options {
    std::string ip{"127.0.0.1"};
    /// 0 takes any free port.
    std::uint16_t port{};
    std::size_t max_body_bytes{1U << 20U};
    std::size_t max_header_bytes{16U << 10U};
    std::uint32_t max_connections{4096};
    duration idle_timeout{std::chrono::seconds(30)};
};

struct http_server_counters {
    std::uint64_t requests{};
    std::uint64_t oversized{};
    /// Requests or answers that ended before they were whole.
    std::uint64_t cut_off{};
};

/// A stream_server that hands out a function to answer with.
class http_server {
  public:
    /// To be called once for each request, now or later.
    using responder = std::function<void(http_response)>;
    /// Calls on_disconnect, set by the handler, when the caller leaves before
    /// the answer.
    struct exchange {
        http_request request;
        responder respond;
        std::shared_ptr<std::function<void()>> on_disconnect;
    };
    using handler = std::function<void(exchange)>;

    /// Throws std::runtime_error when the address can't be bound.
    http_server(reactor& loop, const http_server_options& options,
                handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const;
    http_server_counters counters() const;
    /// Takes no new connections from now on.
    void stop_accepting();

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

enum class http_failure : std::uint8_t {
    none,
    /// No byte of the request can have arrived.
    not_connected,
    timed_out,
    /// The answer ended early, or was longer than allowed.
    cut_off,
    too_large,
    other
};

struct http_result {
    http_failure failure{http_failure::none};
    http_response response;
};

struct http_call {
    std::string method{"GET"};
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    duration timeout{std::chrono::seconds(5)};
    std::size_t max_body_bytes{std::size_t{4} << 20U};
    /// False: the request's bytes are never sent a second time, not even when
    /// a reused connection ends without an answer.
    bool may_resend{true};
};

/// libcurl's multi interface on the reactor.
class http_client {
  public:
    using call_id = std::uint64_t;
    using callback = std::function<void(http_result)>;

    /// Keeps at most this many idle connections.
    http_client(reactor& loop, long max_idle_connections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    call_id start(const http_call& call, callback on_end);
    /// Ends the call without a callback and closes its connection.
    void cancel(call_id id);

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace redwingwind::io
