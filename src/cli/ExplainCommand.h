#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

/// Runs the subcommand that shows the timeline of a job from the event logs of all processes.
ExitCode runExplain(std::vector<std::string> arguments);

/// Returns the timeline of a job as lines of text: its events, the time spent in each phase, and the events that are missing.
///
/// Takes log lines of any processes in any order. Ignores text before the JSON object of a line, and lines that hold no event.
std::vector<std::string> explainJob(const std::string &job, const std::vector<std::string> &logLines);

} // namespace marjoramhaven
