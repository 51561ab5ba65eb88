#include <redwingwind/engine/call.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace redwingwind::engine {
namespace {

constexpr std::size_t most_context_characters = 512;
constexpr std::size_t context_fields = 6;
constexpr auto context_version = "1";

int status_of(outcome what, error_code why) {
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

bool is_for_load(error_code why) {
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
    if (text.size() > most_context_characters)
        return std::nullopt;
    const std::vector<std::string> parts = absl::StrSplit(text, '~');
    if (parts.size() != context_fields || parts[0] != context_version)
        return std::nullopt;
    call_context context;
    std::uint32_t kind = 0;
    const bool are_numbers =
        absl::SimpleHexAtoi(parts[1], &context.execution) &&
        absl::SimpleHexAtoi(parts[2], &context.life.value) &&
        absl::SimpleAtoi(parts[3], &kind);
    if (!are_numbers || kind >= overload::importance_count ||
        !is_valid_name(parts[4]) || !is_valid_name(parts[5]))
        return std::nullopt;
    context.importance = static_cast<overload::importance>(kind);
    context.owner = {parts[4]};
    context.root = {parts[5]};
    return context;
}

call_response rejection(outcome what, error_code why,
                        const std::string& detail) {
    call_response reply;
    reply.what = what;
    reply.why = why;
    reply.status = status_of(what, why);
    reply.content_type = "text/plain";
    reply.body = absl::StrCat(std::string(to_string(why)), ": ", detail, "\n");
    reply.retry_after_s = is_for_load(why) ? 1 : 0;
    return reply;
}

} // namespace redwingwind::engine
