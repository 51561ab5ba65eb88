#pragma once

#include <redwingwind/common/http_message.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::io {

/// Largest message accepted from the other side of a connection.
struct http1_limits {
    std::size_t max_header_bytes{16U << 10U};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
};

enum class http1_state : std::uint8_t {
    /// No byte of the message has been read.
    empty,
    partial,
    complete,
    malformed,
    header_too_large,
    body_too_large
};

enum class http1_role : std::uint8_t { request, response };

/// Parses the messages of an HTTP/1.1 connection one after another, with
/// Boost.Beast's parser. A message with two lengths, or with a length and a
/// chunked body, or with another transfer coding than chunked, is malformed: it
/// could hide a second request (request smuggling).
class http1_reader {
  public:
    http1_reader(http1_role role, const http1_limits& limits);
    ~http1_reader();
    http1_reader(http1_reader&&) noexcept;
    http1_reader& operator=(http1_reader&&) noexcept;
    http1_reader(const http1_reader&) = delete;
    http1_reader& operator=(const http1_reader&) = delete;

    /// Prepares for the next message. has_no_body: it is the response to a
    /// HEAD request.
    void start(const http1_limits& limits, bool has_no_body = false);

    /// Parses from the front of bytes and removes what it consumed, at most up
    /// to the end of the message.
    http1_state read(std::string& bytes);
    /// The peer closed the connection in an orderly way; this completes a
    /// response without a length.
    http1_state read_end();

    http1_state state() const;
    /// Whether the header section has been read.
    bool is_header_complete() const;
    /// Whether another message may follow on the connection.
    bool is_keep_alive() const;
    /// Whether the client waits for 100 Continue before it sends the body.
    bool expects_continue() const;
    /// Bytes of the body read so far.
    std::size_t body_bytes() const;
    /// Memory that the body may take for a moment: twice its bytes when its
    /// length was not announced, as its buffer is copied while it grows.
    std::size_t held_bytes() const;

    /// The message; to be taken once, when the state is complete.
    http_request take_request();
    http_response take_response();

  private:
    class message_parser;
    template <bool IsRequest>
    class parser;
    std::unique_ptr<message_parser> parser_;
};

/// The standard reason phrase of a status code.
std::string_view reason_phrase(int status);

/// True for header fields that apply to one connection only. Further ones may
/// be named by the message's Connection field, see is_connection_option().
bool is_hop_by_hop_header(std::string_view name);
/// True when the message's Connection field names this header field.
bool is_connection_option(const std::vector<http_header>& headers,
                          std::string_view name);

/// Removes the Connection fields of a received message and the fields that they
/// name, but for those that say where the message goes and where it ends. To be
/// called before fields are added that the sender must not remove.
void remove_connection_fields(std::vector<http_header>& headers);

/// Compares ASCII text ignoring case.
bool equals_ignore_case(std::string_view a, std::string_view b);

/// Serializes a request. Hop-by-hop fields are left out, but not those that a
/// Connection field names, see remove_connection_fields(); the body is sent
/// with a Content-Length, however it was framed before.
std::string write_request(const http_request& request);
/// The same without the body, which follows it on the connection.
std::string write_request_head(const http_request& request);

struct response_framing {
    /// Adds "Connection: close".
    bool closes{};
    /// The response to a HEAD request: the Content-Length is sent without the
    /// body.
    bool has_no_body{};
};

/// Serializes a response, with the same rules as write_request(), and without
/// the fields that a Connection field names.
std::string write_response(const http_response& response,
                           const response_framing& framing);
/// The same without the body, which follows it unless framing.has_no_body.
std::string write_response_head(const http_response& response,
                                const response_framing& framing);

} // namespace redwingwind::io
