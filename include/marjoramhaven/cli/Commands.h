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
    /// Runs it with its arguments, the first of which is the name to show in its help.
    std::function<ExitCode(std::vector<std::string> arguments)> run;
};

/// All subcommands, in the order in which help lists them.
const std::vector<Command> &commands();

/// Runs the program: finds the subcommand named by the first argument. Needs a QCoreApplication.
int runProgram(int argc, char **argv);

} // namespace marjoramhaven
