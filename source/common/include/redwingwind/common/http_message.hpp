#pragma once

#include <compare>
#include <string>
#include <vector>

namespace redwingwind {

struct http_header {
    std::string name;
    std::string value;

    auto operator<=>(const http_header&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(name, value);
    }
};

struct http_request {
    std::string method;
    /// Path and query exactly as received, without decoding.
    std::string target;
    std::vector<http_header> headers;
    std::string body;

    auto operator<=>(const http_request&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(method, target, headers, body);
    }
};

/// Whether a response with this status answers a request. A status below 200 is
/// an interim one or none, and HTTP has none above 599.
constexpr bool is_final_status(int status) {
    return status >= 200 && status <= 599;
}

struct http_response {
    int status{200};
    std::vector<http_header> headers;
    std::string body;

    auto operator<=>(const http_response&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(status, headers, body);
    }
};

} // namespace redwingwind
