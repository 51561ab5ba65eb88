#include "line_json.hpp"

#include <redwingwind/common/error.hpp>

#include <absl/strings/str_cat.h>

#include <iterator>
#include <vector>

namespace redwingwind::policy {
namespace {

/// An input iterator that counts the lines which the parser has consumed.
class counting_iterator {
  public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, int* line) : at_(at), line_(line) {}

    reference operator*() const { return *at_; }
    counting_iterator& operator++() {
        *line_ += *at_ == '\n' ? 1 : 0;
        ++at_;
        return *this;
    }
    counting_iterator operator++(int) {
        auto previous = *this;
        ++*this;
        return previous;
    }
    bool operator==(const counting_iterator& other) const {
        return at_ == other.at_;
    }
    bool operator!=(const counting_iterator& other) const {
        return at_ != other.at_;
    }

  private:
    const char* at_;
    int* line_;
};

/// A SAX handler that tracks the path of each value and records its line.
class line_recorder : public nlohmann::json_sax<nlohmann::json> {
  public:
    line_recorder(const int* line, line_json& out) : line_(line), out_(out) {}

    bool null() override { return record(); }
    bool boolean(bool) override { return record(); }
    bool number_integer(number_integer_t) override { return record(); }
    bool number_unsigned(number_unsigned_t) override { return record(); }
    bool number_float(number_float_t, const string_t&) override {
        return record();
    }
    bool string(string_t&) override { return record(); }
    bool binary(binary_t&) override { return record(); }
    bool start_object(std::size_t) override { return open(false); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_array() override { return close(); }
    bool key(string_t& name) override {
        path_.back().name = name;
        return true;
    }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception& e) override {
        error = e.what();
        return false;
    }

    std::string error;

  private:
    struct level {
        bool is_array{};
        std::size_t index{};
        std::string name;
    };

    std::string pointer() const {
        std::string text;
        for (const auto& it : path_)
            absl::StrAppend(&text, "/",
                            it.is_array ? std::to_string(it.index) : it.name);
        return text;
    }

    bool record() {
        out_.lines.emplace(pointer(), *line_);
        advance();
        return true;
    }

    void advance() {
        if (!path_.empty() && path_.back().is_array)
            ++path_.back().index;
    }

    bool open(bool is_array) {
        out_.lines.emplace(pointer(), *line_);
        path_.push_back({is_array, 0, {}});
        return true;
    }

    bool close() {
        path_.pop_back();
        advance();
        return true;
    }

    const int* line_;
    line_json& out_;
    std::vector<level> path_;
};

} // namespace

int line_json::line_of(std::string pointer) const {
    while (true) {
        const auto it = lines.find(pointer);
        if (it != lines.end())
            return it->second;
        const auto slash = pointer.rfind('/');
        if (slash == std::string::npos)
            return 1;
        pointer.resize(slash);
    }
}

absl::StatusOr<line_json> parse_with_lines(const std::string& text) {
    line_json result;
    int line = 1;
    line_recorder recorder(&line, result);
    const char* begin = text.data();
    const bool is_ok = nlohmann::json::sax_parse(
        counting_iterator(begin, &line),
        counting_iterator(begin + text.size(), &line), &recorder,
        nlohmann::json::input_format_t::json, true, true);
    if (!is_ok)
        return make_error(error_code::bad_input,
                          absl::StrCat("line ", line, ": ", recorder.error));
    result.root = nlohmann::json::parse(text, nullptr, false, true);
    return result;
}

} // namespace redwingwind::policy
