#include <redwingwind/common/json_text.hpp>

#include <algorithm>

namespace redwingwind {
namespace {

constexpr std::string_view blanks = " \t\r\n";

/// Walks over JSON text value by value, in constant memory.
class json_cursor {
  public:
    explicit json_cursor(std::string_view text) : text_(text) {}

    /// Skips blanks and the character, if it is next.
    bool take(char c) {
        skip_blanks();
        if (at_ >= text_.size() || text_[at_] != c)
            return false;
        ++at_;
        return true;
    }

    /// Skips blanks and a value, and returns its text; empty at a malformed
    /// one.
    std::string_view take_value() {
        skip_blanks();
        const auto from = at_;
        if (at_ >= text_.size())
            return {};
        const char first = text_[at_];
        const bool is_whole = first == '"'                   ? skip_string()
                              : first == '[' || first == '{' ? skip_nested()
                                                             : skip_word();
        return is_whole ? text_.substr(from, at_ - from) : std::string_view();
    }

    bool is_at_end() {
        skip_blanks();
        return at_ >= text_.size();
    }

    std::size_t max_depth() const { return max_depth_; }

  private:
    void skip_blanks() {
        at_ = std::min(text_.find_first_not_of(blanks, at_), text_.size());
    }

    bool skip_string() {
        for (++at_; at_ < text_.size(); ++at_) {
            if (text_[at_] == '\\')
                ++at_;
            else if (text_[at_] == '"') {
                ++at_;
                return true;
            }
        }
        return false;
    }

    bool skip_nested() {
        std::size_t depth = 0;
        while (at_ < text_.size()) {
            const char c = text_[at_];
            if (c == '"') {
                if (!skip_string())
                    return false;
                continue;
            }
            ++at_;
            if (c == '[' || c == '{')
                max_depth_ = std::max(max_depth_, ++depth);
            else if ((c == ']' || c == '}') && --depth == 0)
                return true;
        }
        return false;
    }

    bool skip_word() {
        const auto from = at_;
        at_ =
            std::min(text_.find_first_of(",:]}[{\" \t\r\n", at_), text_.size());
        return at_ > from;
    }

    std::string_view text_;
    std::size_t at_{};
    std::size_t max_depth_{};
};

} // namespace

nlohmann::json read_json(std::string_view text) {
    json_cursor cursor(text);
    if (cursor.take_value().empty() || cursor.max_depth() > max_json_depth)
        return nlohmann::json::value_t::discarded;
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<std::vector<std::string_view>>
json_elements(std::string_view text) {
    json_cursor cursor(text);
    std::vector<std::string_view> all;
    if (!cursor.take('['))
        return std::nullopt;
    if (!cursor.take(']')) {
        do {
            all.push_back(cursor.take_value());
            if (all.back().empty())
                return std::nullopt;
        } while (cursor.take(','));
        if (!cursor.take(']'))
            return std::nullopt;
    }
    if (!cursor.is_at_end())
        return std::nullopt;
    return all;
}

std::optional<std::vector<std::pair<std::string_view, std::string_view>>>
json_members(std::string_view text) {
    json_cursor cursor(text);
    std::vector<std::pair<std::string_view, std::string_view>> all;
    if (!cursor.take('{'))
        return std::nullopt;
    if (!cursor.take('}')) {
        do {
            const auto name = cursor.take_value();
            if (name.size() < 2 || name.front() != '"' || !cursor.take(':'))
                return std::nullopt;
            const auto value = cursor.take_value();
            if (value.empty())
                return std::nullopt;
            all.emplace_back(name.substr(1, name.size() - 2), value);
        } while (cursor.take(','));
        if (!cursor.take('}'))
            return std::nullopt;
    }
    if (!cursor.is_at_end())
        return std::nullopt;
    return all;
}

std::string_view json_member(std::string_view text, std::string_view name) {
    const auto members = json_members(text);
    if (!members)
        return {};
    const auto it =
        std::find_if(members->begin(), members->end(),
                     [&](const auto& member) { return member.first == name; });
    return it == members->end() ? std::string_view() : it->second;
}

} // namespace redwingwind
