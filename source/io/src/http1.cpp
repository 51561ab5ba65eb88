#include <redwingwind/io/http1.hpp>

#include <redwingwind/io/http.hpp>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <utility>

namespace redwingwind::io {
namespace {

namespace beast = boost::beast;
using beast::error_code;
using boost::beast::string_view;

std::string_view to_std_view(string_view text) {
    return {text.data(), text.size()};
}

constexpr int first_interim_status = 100;
constexpr int switching_protocols = 101;

/// An interim response announces another one. After 101 none follows, and no
/// request asks for another protocol.
bool is_interim_status(int status) {
    return status >= first_interim_status && status < 200 &&
           status != switching_protocols;
}

constexpr std::string_view white_space = " \t";

std::string_view trimmed(std::string_view text) {
    text.remove_prefix(
        std::min(text.find_first_not_of(white_space), text.size()));
    return text.substr(0, text.find_last_not_of(white_space) + 1);
}

char to_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

} // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return to_lower(x) == to_lower(y); });
}

namespace {

/// The library takes a message whose transfer coding it doesn't know for one
/// without a body, or one that ends with the connection.
bool has_known_coding(const std::vector<http_header>& headers) {
    std::size_t codings = 0;
    for (const auto& it : headers)
        if (equals_ignore_case(it.name, "transfer-encoding") &&
            (!equals_ignore_case(trimmed(it.value), "chunked") ||
             ++codings > 1))
            return false;
    return true;
}

} // namespace

/// Interface of the parser for requests and the parser for responses, with the
/// parts of the message parsed so far.
class http1_reader::message_parser {
  public:
    message_parser() = default;
    virtual ~message_parser() = default;
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    virtual void restart(const http1_limits& limits, bool has_no_body) = 0;
    virtual http1_state read(std::string& bytes) = 0;
    virtual http1_state read_end() = 0;
    virtual bool is_header_complete() const = 0;
    virtual bool is_keep_alive() const = 0;

    http1_state state{http1_state::empty};
    std::string method;
    std::string target;
    int status{};
    std::vector<http_header> headers;
    std::string body;
    /// Length of the body as announced; 0 when it was not.
    std::size_t length{};

    /// The buffer grows by a factor of four, up to the announced length, so
    /// that a body is copied while it is short only, and a client that
    /// announces more than it sends takes little.
    void append_body(const char* bytes, std::size_t n) {
        const auto needed = body.size() + n;
        if (needed > body.capacity() && needed < length)
            body.reserve(std::min(length, growth_factor * needed));
        body.append(bytes, n);
    }

  private:
    static constexpr std::size_t growth_factor = 4;
};

template <bool IsRequest>
class http1_reader::parser : public message_parser {
  public:
    void restart(const http1_limits& limits, bool has_no_body) override {
        state = http1_state::empty;
        max_header_bytes_ = limits.max_header_bytes;
        headers.clear();
        std::string().swap(body);
        length = 0;
        beast_parser_ = std::make_unique<beast_parser>(*this);
        beast_parser_->header_limit(
            static_cast<std::uint32_t>(limits.max_header_bytes));
        beast_parser_->body_limit(limits.max_body_bytes);
        beast_parser_->eager(true);
        if constexpr (!IsRequest)
            beast_parser_->skip(has_no_body);
    }

    http1_state read(std::string& bytes) override {
        std::size_t consumed = 0;
        while (!is_finished() && consumed < bytes.size()) {
            error_code ec;
            const auto n =
                beast_parser_->put(boost::asio::buffer(bytes.data() + consumed,
                                                       bytes.size() - consumed),
                                   ec);
            consumed += n;
            state = http1_state::partial;
            if (ec && ec != beast::http::error::need_more) {
                state = state_of(ec);
                break;
            }
            if (beast_parser_->is_done())
                state = http1_state::complete;
            else if (n == 0)
                break;
        }
        bytes.erase(0, consumed);
        // The parser has no limit for the line before a chunk, nor for the
        // fields behind the last one.
        if (state == http1_state::partial && bytes.size() > max_header_bytes_)
            state = http1_state::header_too_large;
        return state;
    }

    http1_state read_end() override {
        if (is_finished() || state == http1_state::empty)
            return state;
        error_code ec;
        beast_parser_->put_eof(ec);
        state = !ec && beast_parser_->is_done() ? http1_state::complete
                                                : http1_state::malformed;
        return state;
    }

    bool is_header_complete() const override {
        return beast_parser_->is_header_done();
    }
    bool is_keep_alive() const override { return beast_parser_->keep_alive(); }

  private:
    bool is_finished() const {
        return state != http1_state::empty && state != http1_state::partial;
    }

    static http1_state state_of(const error_code& ec) {
        if (ec == beast::http::error::header_limit)
            return http1_state::header_too_large;
        if (ec == beast::http::error::body_limit)
            return http1_state::body_too_large;
        return http1_state::malformed;
    }

    class beast_parser : public beast::http::basic_parser<IsRequest> {
      public:
        explicit beast_parser(message_parser& message) : message_(message) {}

      private:
        void on_request_impl(beast::http::verb, string_view method,
                             string_view target, int, error_code&) override {
            message_.method = to_std_view(method);
            message_.target = to_std_view(target);
        }
        void on_response_impl(int code, string_view, int,
                              error_code& ec) override {
            message_.status = code;
            if (!is_interim_status(code) && !is_final_status(code))
                ec = beast::http::make_error_code(
                    beast::http::error::bad_status);
        }
        void on_field_impl(beast::http::field, string_view name,
                           string_view value, error_code&) override {
            // Fields behind a chunked body say nothing about the message.
            if (is_header_read_)
                return;
            message_.headers.push_back({std::string(to_std_view(name)),
                                        std::string(to_std_view(value))});
        }
        void on_header_impl(error_code& ec) override {
            is_header_read_ = true;
            if (!has_known_coding(message_.headers))
                ec = beast::http::make_error_code(
                    beast::http::error::bad_transfer_encoding);
        }
        void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                               error_code&) override {
            message_.length = length ? static_cast<std::size_t>(*length) : 0;
        }
        std::size_t on_body_impl(string_view bytes, error_code&) override {
            message_.append_body(bytes.data(), bytes.size());
            return bytes.size();
        }
        void on_chunk_header_impl(std::uint64_t, string_view,
                                  error_code&) override {}
        std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes,
                                       error_code&) override {
            message_.body.append(bytes.data(), bytes.size());
            return bytes.size();
        }
        void on_finish_impl(error_code&) override {}

        message_parser& message_;
        /// The header fields have been read.
        bool is_header_read_{};
    };

    std::unique_ptr<beast_parser> beast_parser_;
    std::size_t max_header_bytes_{};
};

http1_reader::http1_reader(http1_role role, const http1_limits& limits) {
    if (role == http1_role::request)
        parser_ = std::make_unique<parser<true>>();
    else
        parser_ = std::make_unique<parser<false>>();
    start(limits);
}

http1_reader::~http1_reader() = default;
http1_reader::http1_reader(http1_reader&&) noexcept = default;
http1_reader& http1_reader::operator=(http1_reader&&) noexcept = default;

void http1_reader::start(const http1_limits& limits, bool has_no_body) {
    parser_->restart(limits, has_no_body);
}

http1_state http1_reader::read(std::string& bytes) {
    return parser_->read(bytes);
}

http1_state http1_reader::read_end() {
    return parser_->read_end();
}

http1_state http1_reader::state() const {
    return parser_->state;
}

bool http1_reader::is_header_complete() const {
    return parser_->state != http1_state::empty &&
           parser_->is_header_complete();
}

bool http1_reader::is_keep_alive() const {
    return parser_->is_keep_alive();
}

bool http1_reader::expects_continue() const {
    return equals_ignore_case(find_header(parser_->headers, "expect"),
                              "100-continue");
}

std::size_t http1_reader::body_bytes() const {
    return parser_->body.size();
}

std::size_t http1_reader::held_bytes() const {
    const auto n = parser_->body.size();
    return parser_->length == 0 ? 2 * n : n;
}

http_request http1_reader::take_request() {
    return {std::move(parser_->method), std::move(parser_->target),
            std::exchange(parser_->headers, {}),
            std::exchange(parser_->body, {})};
}

http_response http1_reader::take_response() {
    return {parser_->status, std::exchange(parser_->headers, {}),
            std::exchange(parser_->body, {})};
}

std::string_view reason_phrase(int status) {
    return to_std_view(
        beast::http::obsolete_reason(beast::http::int_to_status(status)));
}

bool is_hop_by_hop_header(std::string_view name) {
    static constexpr std::array<std::string_view, 8> names{
        "connection", "keep-alive", "transfer-encoding", "te", "trailer",
        "upgrade",    "expect",     "proxy-connection"};
    return std::any_of(names.begin(), names.end(),
                       [&](auto it) { return equals_ignore_case(it, name); });
}

bool is_connection_option(const std::vector<http_header>& headers,
                          std::string_view name) {
    for (const auto& header : headers) {
        if (!equals_ignore_case(header.name, "connection"))
            continue;
        std::string_view rest(header.value);
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            auto option = rest.substr(0, comma);
            option.remove_prefix(
                std::min(option.find_first_not_of(" \t"), option.size()));
            option = option.substr(0, option.find_last_not_of(" \t") + 1);
            if (equals_ignore_case(option, name))
                return true;
            rest = comma == std::string_view::npos ? std::string_view()
                                                   : rest.substr(comma + 1);
        }
    }
    return false;
}

void remove_connection_fields(std::vector<http_header>& headers) {
    static constexpr std::array<std::string_view, 3> kept{
        "host", "content-length", "transfer-encoding"};
    std::vector<http_header> lists;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(lists),
                 [](const http_header& it) {
                     return equals_ignore_case(it.name, "connection");
                 });
    if (lists.empty())
        return;
    std::erase_if(headers, [&](const http_header& it) {
        const bool is_kept =
            std::any_of(kept.begin(), kept.end(), [&](auto name) {
                return equals_ignore_case(it.name, name);
            });
        return equals_ignore_case(it.name, "connection") ||
               (!is_kept && is_connection_option(lists, it.name));
    });
}

namespace {

constexpr std::size_t typical_header_bytes = 512;

void append_headers(std::string& buf, const std::vector<http_header>& headers,
                    bool has_connection_list) {
    for (const auto& header : headers) {
        if (is_hop_by_hop_header(header.name) ||
            equals_ignore_case(header.name, "content-length") ||
            (has_connection_list && is_connection_option(headers, header.name)))
            continue;
        buf.append(header.name).append(": ");
        buf.append(header.value).append("\r\n");
    }
}

bool has_field(const std::vector<http_header>& headers, std::string_view name) {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& it) {
        return equals_ignore_case(it.name, name);
    });
}

void append_length(std::string& buf, std::size_t n) {
    buf.append("Content-Length: ").append(std::to_string(n)).append("\r\n");
}

} // namespace

std::string write_request_head(const http_request& request) {
    std::string buf;
    buf.reserve(typical_header_bytes);
    buf.append(request.method).append(" ");
    buf.append(request.target).append(" HTTP/1.1\r\n");
    append_headers(buf, request.headers, false);
    const bool is_framed = has_field(request.headers, "content-length") ||
                           has_field(request.headers, "transfer-encoding");
    if (is_framed || !request.body.empty())
        append_length(buf, request.body.size());
    buf.append("\r\n");
    return buf;
}

std::string write_request(const http_request& request) {
    return write_request_head(request) + request.body;
}

std::string write_response_head(const http_response& response,
                                const response_framing& framing) {
    std::string buf;
    buf.reserve(typical_header_bytes);
    buf.append("HTTP/1.1 ").append(std::to_string(response.status));
    buf.append(" ").append(reason_phrase(response.status)).append("\r\n");
    append_headers(buf, response.headers,
                   has_field(response.headers, "connection"));
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (framing.has_no_body) {
        const auto length = find_header(response.headers, "content-length");
        if (!length.empty())
            buf.append("Content-Length: ").append(length).append("\r\n");
    } else if (response.status != no_content &&
               response.status != not_modified) {
        append_length(buf, response.body.size());
    }
    if (framing.closes)
        buf.append("Connection: close\r\n");
    buf.append("\r\n");
    return buf;
}

std::string write_response(const http_response& response,
                           const response_framing& framing) {
    auto buf = write_response_head(response, framing);
    if (!framing.has_no_body)
        buf.append(response.body);
    return buf;
}

} // namespace redwingwind::io
