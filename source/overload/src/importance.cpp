#include <redwingwind/overload/importance.hpp>

#include <redwingwind/common/hash.hpp>

#include <array>

namespace redwingwind::overload {
namespace {

constexpr std::array<std::string_view, importance_count> names{
    "browse", "lookup", "order", "payment"};

} // namespace

std::string_view to_string(importance kind) {
    return names[static_cast<std::size_t>(kind)];
}

std::optional<importance> parse_importance(std::string_view text) {
    for (std::size_t n = 0; n < names.size(); ++n)
        if (names[n] == text)
            return static_cast<importance>(n);
    return std::nullopt;
}

rank rank_of(importance kind, std::string_view root_request) {
    const auto base = static_cast<std::uint16_t>(kind) * ranks_per_importance;
    const auto within = digest(root_request) % ranks_per_importance;
    return rank{static_cast<std::uint16_t>(base + within)};
}

} // namespace redwingwind::overload
