#pragma once

#include <redwingwind/relay/policy_check.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "commands.hpp"

namespace redwingwind::ctl {

/// What is wrong with a configuration, and what it changes.
struct config_report {
    std::vector<relay::policy_finding> problems;
    /// Differences from the configuration in force; empty without one.
    std::vector<relay::policy_finding> changes;
};

/// Checks the text of a configuration, against the one in force if there is
/// one. Errors: bad_input, for a text that cannot be read; the message names
/// the place and never a credential.
absl::StatusOr<config_report>
check_config(const std::string& proposed,
             const std::optional<std::string>& in_force);

/// "config check FILE": prints the report. bad_input if there are problems.
exit_code config_command(const ctl_settings& settings,
                         const std::vector<std::string>& words);

} // namespace redwingwind::ctl
