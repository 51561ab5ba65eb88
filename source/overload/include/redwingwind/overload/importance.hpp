#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwingwind::overload {

/// Kinds of request, from the least to the most important.
enum class importance : std::uint8_t { browse, lookup, order, payment };

constexpr std::size_t importance_count = 4;

std::string_view to_string(importance kind);

/// Nothing if the text is not the name of a kind.
std::optional<importance> parse_importance(std::string_view text);

/// Orders and payments, which are rejected for load only after all browse and
/// lookup requests.
constexpr bool is_critical(importance kind) {
    return kind >= importance::order;
}

/// The order in which requests are shed, 0 first: by importance, then by a hash
/// of the root request, so that every service gives all calls of one root
/// request the same rank.
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
