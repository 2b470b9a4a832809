#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

// Subcommands for operators: check, patch, config, status and drain.

ExitCode runCheck(std::vector<std::string> arguments);
ExitCode runPatch(std::vector<std::string> arguments);
ExitCode runConfig(std::vector<std::string> arguments);
ExitCode runStatus(std::vector<std::string> arguments);
ExitCode runDrain(std::vector<std::string> arguments);

} // namespace marjoramhaven
