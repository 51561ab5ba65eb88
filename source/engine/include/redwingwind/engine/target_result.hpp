#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace redwingwind::engine {

/// How the HTTP exchange with the local target ended.
enum class target_end : std::uint8_t {
    /// A complete response was received.
    answered,
    /// No connection could be opened, so the target did not receive the
    /// request.
    not_connected,
    /// The target reported that it rejected the request without executing it.
    shed,
    /// The target responded, but reported that it does not know whether the
    /// request was executed completely.
    unknown,
    timed_out,
    cut_off
};

struct target_result {
    target_end end{target_end::cut_off};
    std::uint16_t status{};
    std::string content_type;
    std::string body;

    auto operator<=>(const target_result&) const = default;
};

} // namespace redwingwind::engine
