#pragma once

#include <redwingwind/common/http_message.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::io {

/// What one side of an HTTP/1.1 connection may send.
struct http1_limits {
    std::size_t max_header_bytes{16U << 10U};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
};

enum class http1_state : std::uint8_t {
    /// Nothing of a message has come.
    empty,
    partial,
    complete,
    malformed,
    header_too_large,
    body_too_large
};

enum class http1_role : std::uint8_t { request, response };

/// Reads messages off a connection, one after the other, with Boost.Beast's
/// parser. A message with two lengths, or with a length and chunks, is
/// malformed.
class http1_reader {
  public:
    http1_reader(http1_role role, const http1_limits& limits);
    ~http1_reader();
    http1_reader(http1_reader&&) noexcept;
    http1_reader& operator=(http1_reader&&) noexcept;
    http1_reader(const http1_reader&) = delete;
    http1_reader& operator=(const http1_reader&) = delete;

    /// Starts on the next message. has_no_body: a response to HEAD.
    void start(const http1_limits& limits, bool has_no_body = false);

    /// Takes what it can off the front of the bytes.
    http1_state read(std::string& bytes);
    /// The connection ended in order; a response without a length is then
    /// complete.
    http1_state read_end();

    http1_state state() const;
    bool is_header_complete() const;
    /// Whether another message may follow on the connection.
    bool is_keep_alive() const;
    /// The caller waits for an interim answer before it sends the body.
    bool expects_continue() const;
    /// Bytes of the body held.
    std::size_t body_bytes() const;

    /// Once complete.
    http_request take_request();
    http_response take_response();

  private:
    class message_parser;
    template <bool IsRequest>
    class parser;
    std::unique_ptr<message_parser> parser_;
};

/// The usual reason phrase of a status.
std::string_view reason_phrase(int status);

/// True for headers that concern one connection only. Those that the message
/// itself lists in Connection are found by is_connection_option().
bool is_hop_by_hop_header(std::string_view name);
bool is_connection_option(const std::vector<http_header>& headers,
                          std::string_view name);

bool equals_ignore_case(std::string_view a, std::string_view b);

/// The request's bytes, with the length of its body in place of its framing.
std::string write_request(const http_request& request);

struct response_framing {
    bool closes{};
    /// The answer to a HEAD request: the length is told and no body sent.
    bool has_no_body{};
};
std::string write_response(const http_response& response,
                           const response_framing& framing);

} // namespace redwingwind::io
