#include <redwingwind/common/error.hpp>

#include <absl/strings/cord.h>

#include <array>

namespace redwingwind {
namespace {

constexpr std::string_view payload_key = "redwingwind/code";

constexpr std::array<std::string_view, 28> names{"none",
                                                 "bad_input",
                                                 "too_large",
                                                 "unauthorized",
                                                 "not_found",
                                                 "conflict",
                                                 "overloaded",
                                                 "over_share",
                                                 "deadline_too_short",
                                                 "draining",
                                                 "no_target",
                                                 "unreachable",
                                                 "timed_out",
                                                 "cut_off",
                                                 "cancelled",
                                                 "retry_cap",
                                                 "target_shed",
                                                 "target_failed",
                                                 "ticket_forged",
                                                 "ticket_expired",
                                                 "ticket_reused",
                                                 "ticket_home_gone",
                                                 "ticket_table_full",
                                                 "too_many_calls",
                                                 "store_unavailable",
                                                 "internal",
                                                 "no_policy",
                                                 "history_gone"};

absl::StatusCode status_code_of(error_code code) {
    switch (code) {
    case error_code::bad_input:
    case error_code::too_large:
    case error_code::ticket_forged:
    case error_code::ticket_reused:
        return absl::StatusCode::kInvalidArgument;
    case error_code::not_found:
        return absl::StatusCode::kNotFound;
    case error_code::conflict:
        return absl::StatusCode::kAborted;
    case error_code::unauthorized:
        return absl::StatusCode::kUnauthenticated;
    case error_code::timed_out:
    case error_code::deadline_too_short:
        return absl::StatusCode::kDeadlineExceeded;
    case error_code::internal:
        return absl::StatusCode::kInternal;
    default:
        return absl::StatusCode::kUnavailable;
    }
}

} // namespace

std::string_view to_string(error_code code) {
    const auto index = static_cast<std::size_t>(code);
    return index < names.size() ? names[index] : "internal";
}

absl::Status make_error(error_code code, std::string_view detail) {
    absl::Status status(status_code_of(code),
                        absl::string_view(detail.data(), detail.size()));
    const auto name = to_string(code);
    status.SetPayload(absl::string_view(payload_key.data(), payload_key.size()),
                      absl::Cord(absl::string_view(name.data(), name.size())));
    return status;
}

error_code code_of(const absl::Status& status) {
    if (status.ok())
        return error_code::none;
    const auto payload = status.GetPayload(
        absl::string_view(payload_key.data(), payload_key.size()));
    if (!payload)
        return error_code::internal;
    for (std::size_t n = 0; n < names.size(); ++n)
        if (*payload == absl::string_view(names[n].data(), names[n].size()))
            return static_cast<error_code>(n);
    return error_code::internal;
}

} // namespace redwingwind
