#pragma once

#include <absl/status/status.h>

#include <string>

#include "commands.hpp"

namespace redwingwind::ctl {

/// The exit code that tells of a failure of this type.
exit_code code_for(const absl::Status& status);

/// Prints the failure and what to do about it; the exit code for it.
exit_code fail(const absl::Status& status);

/// The words of a command don't fit; the text says what would.
exit_code bad_words(const std::string& text);

} // namespace redwingwind::ctl
