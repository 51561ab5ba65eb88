#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwingwind::overload {

/// Kinds of request, the least important first.
enum class importance : std::uint8_t { browse, lookup, order, payment };

constexpr std::size_t importance_count = 4;

std::string_view to_string(importance kind);

/// Nothing when the text names no kind.
std::optional<importance> parse_importance(std::string_view text);

/// Orders and payments: refused for load only after all browsing and lookups.
constexpr bool is_critical(importance kind) {
    return kind >= importance::order;
}

/// Where a request stands when load is shed: its importance first, then a
/// hash of its root request, so that every service orders the calls of one
/// root request alike. 0 is shed first.
struct rank {
    std::uint16_t value{};

    auto operator<=>(const rank&) const = default;
};

constexpr std::uint16_t ranks_per_importance = 128;
constexpr std::uint16_t rank_count = ranks_per_importance * importance_count;

rank rank_of(importance kind, std::string_view root_request);

constexpr importance importance_of(rank r) {
    return static_cast<importance>(r.value / ranks_per_importance);
}

} // namespace redwingwind::overload
