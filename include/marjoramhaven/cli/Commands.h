#pragma once

#include <functional>
#include <string>
#include <vector>

#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

/// One subcommand of the program.
struct Command {
    std::string name;
    std::string summary;
    std::string example;
    /// Runs the subcommand. The first argument is the program name that its help shows.
    std::function<ExitCode(std::vector<std::string> arguments)> run;
};

/// Returns all subcommands, in the order in which help lists them.
const std::vector<Command> &commands();

/// Runs the subcommand named by the first command-line argument and returns the exit code of the process. Needs a QCoreApplication.
int runProgram(int argc, char **argv);

} // namespace marjoramhaven
