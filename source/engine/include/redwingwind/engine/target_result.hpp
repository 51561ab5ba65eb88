#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace redwingwind::engine {

/// How an exchange with the local target ended.
enum class target_end : std::uint8_t {
    /// A whole answer came.
    answered,
    /// No connection: nothing of the request arrived.
    not_connected,
    /// The target said itself that it rejected the request without running it.
    shed,
    /// The target has an answer, but can't say whether the request ran whole.
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
