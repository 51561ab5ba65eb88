#include <redwingwind/engine/call.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace redwingwind::engine {
namespace {

constexpr std::size_t max_context_bytes = 512;
constexpr std::size_t context_field_count = 6;
constexpr auto context_version = "1";

int http_status_of(outcome what, error_code why) {
    switch (why) {
    case error_code::bad_input:
    case error_code::ticket_forged:
        return 400;
    case error_code::unauthorized:
        return 401;
    case error_code::conflict:
    case error_code::ticket_reused:
        return 409;
    case error_code::ticket_expired:
        return 410;
    case error_code::too_large:
        return 413;
    case error_code::over_share:
        return 429;
    default:
        return what == outcome::unknown ? 504 : 503;
    }
}

bool is_load_rejection(error_code why) {
    return why == error_code::overloaded || why == error_code::over_share ||
           why == error_code::target_shed ||
           why == error_code::too_many_calls ||
           why == error_code::ticket_table_full;
}

} // namespace

std::string to_text(const call_context& context) {
    return absl::StrCat(context_version, "~", absl::Hex(context.execution), "~",
                        absl::Hex(context.life.value), "~",
                        static_cast<int>(context.importance), "~",
                        context.owner.value, "~", context.root.value);
}

std::optional<call_context> parse_context(const std::string& text) {
    if (text.size() > max_context_bytes)
        return std::nullopt;
    const std::vector<std::string> parts = absl::StrSplit(text, '~');
    if (parts.size() != context_field_count || parts[0] != context_version)
        return std::nullopt;
    call_context context;
    std::uint32_t importance = 0;
    const bool has_valid_numbers =
        absl::SimpleHexAtoi(parts[1], &context.execution) &&
        absl::SimpleHexAtoi(parts[2], &context.life.value) &&
        absl::SimpleAtoi(parts[3], &importance);
    if (!has_valid_numbers || importance >= overload::importance_count ||
        !is_valid_name(parts[4]) || !is_valid_name(parts[5]))
        return std::nullopt;
    context.importance = static_cast<overload::importance>(importance);
    context.owner = {parts[4]};
    context.root = {parts[5]};
    return context;
}

call_response rejection(outcome what, error_code why,
                        const std::string& detail) {
    call_response response;
    response.what = what;
    response.why = why;
    response.status = http_status_of(what, why);
    response.content_type = "text/plain";
    response.body =
        absl::StrCat(std::string(to_string(why)), ": ", detail, "\n");
    response.retry_after_s = is_load_rejection(why) ? 1 : 0;
    return response;
}

} // namespace redwingwind::engine
