#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind {

/// The allowed range of a numeric flag, both ends included.
struct setting_range {
    std::string flag;
    std::int64_t min{};
    std::int64_t max{};
};

/// Reads settings in layers: a flag goes before the RWW_* variable, which
/// goes before the flag's default. An unknown RWW_* name, a value that does
/// not parse and a value out of range are bad_input. Dashes in flag names are
/// taken as underscores. Returns what is left of the command line.
absl::Status read_settings(int argc, char** argv,
                           const std::vector<setting_range>& ranges,
                           std::vector<std::string>& rest);

/// Reads a file of lines "--FLAG=VALUE" into the flags again, checked as a
/// whole: when one line is bad, no flag changes. Errors: bad_input, not_found.
absl::Status reload_flags(const std::string& path,
                          const std::vector<setting_range>& ranges);

/// The file that --flagfile names; empty for none.
std::string flag_file();

} // namespace redwingwind
