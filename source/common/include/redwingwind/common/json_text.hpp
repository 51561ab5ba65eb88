#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace redwingwind {

/// Text from outside that nests arrays and objects deeper is not read: some
/// functions of a JSON value recurse once per level.
constexpr std::size_t max_json_depth = 64;

/// Reads JSON text from outside. Discarded, as json::is_discarded() tells,
/// when it is malformed, nested deeper than max_json_depth, or has a number
/// beyond a double's range. Never throws.
nlohmann::json read_json(std::string_view text);

/// A whole number from 0 to most among an object's members; nothing when it is
/// missing, of another type or out of range.
template <class Number>
std::optional<Number> json_count(const nlohmann::json& object, const char* name,
                                 Number most) {
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned() ||
        it->template get<std::uint64_t>() > most)
        return std::nullopt;
    return static_cast<Number>(it->template get<std::uint64_t>());
}

/// The texts of an array's elements, so that each can be read by itself and
/// one that can't be read harms no other. Nothing when the text is no array;
/// the elements themselves are not checked.
std::optional<std::vector<std::string_view>>
json_elements(std::string_view text);

/// The same for an object's members, by the text of their names as written
/// between the quotes.
std::optional<std::vector<std::pair<std::string_view, std::string_view>>>
json_members(std::string_view text);

/// The text of an object's member; empty when there is none.
std::string_view json_member(std::string_view text, std::string_view name);

} // namespace redwingwind
