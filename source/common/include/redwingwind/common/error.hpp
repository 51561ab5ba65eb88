#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingwind {

/// Every failure the product reports. The numbers travel between nodes, so
/// new values are appended.
enum class error_code : std::uint8_t {
    none,
    bad_input,
    too_large,
    unauthorized,
    not_found,
    conflict,
    overloaded,
    over_share,
    deadline_too_short,
    draining,
    no_target,
    unreachable,
    timed_out,
    cut_off,
    cancelled,
    retry_cap,
    target_shed,
    target_failed,
    ticket_forged,
    ticket_expired,
    ticket_reused,
    ticket_home_gone,
    ticket_table_full,
    too_many_calls,
    store_unavailable,
    internal,
    no_policy,
    history_gone
};

/// The stable name of a code, as shown in headers, logs and exit messages.
std::string_view to_string(error_code code);

/// A status that carries the code, and the detail for a person to read.
absl::Status make_error(error_code code, std::string_view detail);

/// The code inside a status made by make_error; none for an ok status and
/// internal for a status from elsewhere.
error_code code_of(const absl::Status& status);

} // namespace redwingwind
