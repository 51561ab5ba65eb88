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

/// Reads settings from the environment and the command line. A flag overrides
/// the environment variable RWW_<FLAG>, which overrides the flag's default.
/// Dashes in flag names are read as underscores. What remains of the command
/// line is stored in positional_arguments. Errors: bad_input for an unknown
/// RWW_* variable, a variable's value that does not parse or a value out of
/// range. The process exits at a flag that is unknown or does not parse.
absl::Status read_settings(int argc, char** argv,
                           const std::vector<setting_range>& ranges,
                           std::vector<std::string>& positional_arguments);

/// Sets flags again from a file of lines "--FLAG=VALUE"; empty lines and lines
/// that start with '#' are skipped. The file is applied as a whole: when one
/// line is invalid, all flags keep their values. Errors: bad_input, not_found.
absl::Status reload_flags(const std::string& path,
                          const std::vector<setting_range>& ranges);

/// The file named by --flagfile; empty when the flag is not set.
std::string flag_file();

} // namespace redwingwind
