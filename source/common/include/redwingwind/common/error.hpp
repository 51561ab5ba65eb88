#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingwind {

/// Every failure that the product reports. Nodes exchange the numeric values,
/// so new enumerators are appended and existing ones keep their place.
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

/// The stable name of a code, as written to headers, logs and exit messages;
/// "internal" for a value that is no enumerator.
std::string_view to_string(error_code code);

/// Returns a status that carries the code and a human-readable detail.
absl::Status make_error(error_code code, std::string_view detail);

/// Returns the code of a status made by make_error; none for an ok status,
/// internal for a status without a known code.
error_code code_of(const absl::Status& status);

} // namespace redwingwind
