#include <redwingwind/coordination/messages.hpp>

#include <array>

namespace redwingwind::coordination {

std::string_view to_string(outcome o) {
    switch (o) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view frame_kind(std::size_t index) {
    static constexpr std::array<std::string_view, std::variant_size_v<frame>>
        names{"hello",          "call",
              "reply",          "cancel",
              "cancel_reply",   "ticket_cancel",
              "view",           "config_summary",
              "config",         "usage",
              "relay_call",     "relay_reply",
              "view_digest",    "share",
              "share_reply",    "allowance_request",
              "allowance_reply"};
    return names.at(index);
}

} // namespace redwingwind::coordination
