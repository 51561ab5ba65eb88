#pragma once

#include "commands.hpp"

#include <string>
#include <vector>

namespace redwingwind::ctl {

/// explain REQUEST-ID [LOGFILE...]: prints the way of one call from the nodes'
/// logs. Without files, or for "-", standard input is read. Ends with
/// not_found when no line tells of the call, and with failed when lines that
/// name it can't be read.
exit_code explain(const ctl_settings& settings,
                  const std::vector<std::string>& words);

} // namespace redwingwind::ctl
