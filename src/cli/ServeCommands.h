#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

// Subcommands that run until SIGTERM or SIGINT (node, serve and stand-in), and the demo.

ExitCode runNode(std::vector<std::string> arguments);
ExitCode runServe(std::vector<std::string> arguments);
ExitCode runStandIn(std::vector<std::string> arguments);
ExitCode runDemo(std::vector<std::string> arguments);

} // namespace marjoramhaven
