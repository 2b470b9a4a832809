#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

// Subcommand that tells a request's story from the logs of all processes.
ExitCode runExplain(std::vector<std::string> arguments);

/// The story of a job in lines, from the event lines of any processes in any order; what stands before the JSON object of a line is ignored.
std::vector<std::string> explainJob(const std::string &job, const std::vector<std::string> &logLines);

} // namespace marjoramhaven
