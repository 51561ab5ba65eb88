#include <redwingwind/common/identifiers.hpp>

#include <algorithm>

namespace redwingwind {
namespace {

constexpr std::size_t max_name_characters = 64;

bool is_name_character(char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.' || c == ':';
}

} // namespace

bool is_valid_name(const std::string& text) {
    if (text.empty() || text.size() > max_name_characters)
        return false;
    return std::all_of(text.begin(), text.end(), is_name_character);
}

} // namespace redwingwind
