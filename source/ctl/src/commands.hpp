#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::ctl {

/// Exit codes, as documented for operators.
enum class exit_code : int {
    ok = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3,
    not_found = 4,
    not_verified = 5
};

struct ctl_settings {
    std::string store_url;
    std::string node_url;
    std::string author;
    std::string why;
    bool should_wait{};
    bool is_dry_run{};
    bool as_json{};
    bool should_ask{};
    std::int64_t wait_ms{5000};
    /// A file, or "store", that holds the configuration in force.
    std::string against;
};

/// Runs "owner create NAME" and the like.
exit_code run_command(const ctl_settings& settings,
                      const std::vector<std::string>& words);

/// One line per command.
std::string command_help();

} // namespace redwingwind::ctl
