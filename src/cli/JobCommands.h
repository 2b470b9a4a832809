#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

// Subcommands for callers: submit, get, cancel and jobs.

ExitCode runSubmit(std::vector<std::string> arguments);
ExitCode runGet(std::vector<std::string> arguments);
ExitCode runCancel(std::vector<std::string> arguments);
ExitCode runJobs(std::vector<std::string> arguments);

} // namespace marjoramhaven
