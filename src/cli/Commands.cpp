#include "marjoramhaven/cli/Commands.h"

#include <algorithm>
#include <iostream>

#include "CommandLine.h"
#include "ExplainCommand.h"
#include "JobCommands.h"
#include "OperatorCommands.h"
#include "ServeCommands.h"

namespace marjoramhaven {

namespace {

void printHelp()
{
    std::cout << "marjoramhaven " << MARJORAMHAVEN_VERSION << ": a cluster scheduler for services, batch jobs and short requests\n\nCommands:\n";
    for (const auto &it : commands()) {
        std::cout << "  " << it.name << std::string(std::max<std::size_t>(1, 12 - it.name.size()), ' ') << it.summary << "\n";
    }
    std::cout << "\nExamples:\n";
    for (const auto &it : commands()) {
        std::cout << "  marjoramhaven " << it.example << "\n";
    }
    std::cout << "\nExit codes: 0 done, 1 failed, 2 not valid, 3 refused, 4 not run, 5 unknown, 6 unreachable.\n"
              << "marjoramhaven COMMAND --help lists the options of a command." << std::endl;
}

ExitCode runCommand(const Command &command, std::vector<std::string> arguments)
{
    try {
        return command.run(std::move(arguments));
    } catch (const TCLAP::ExitException &ec) {
        return ec.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Invalid;
    } catch (const TCLAP::ArgException &ec) {
        printError(ec.error() + (ec.argId().empty() ? "" : " (" + ec.argId() + ")"));
        return ExitCode::Invalid;
    }
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> all {
        {"serve", "Run an entry process", "serve --settings entry.yaml", runServe},
        {"node", "Run one scheduler process on the users' platform", "node", runNode},
        {"explain", "Show the timeline of a job from event logs", "explain 5c0e7a21d94b36f8 entry-a.log entry-b.log", runExplain},
        {"check", "Check a settings, configuration, patch or job file", "check --kind patch policy.yaml", runCheck},
        {"submit", "Submit a job or a short request", "submit sweep.yaml --id sweep-17", runSubmit},
        {"get", "Show a job", "get sweep-17", runGet},
        {"cancel", "Cancel a job", "cancel sweep-17", runCancel},
        {"jobs", "List jobs", "jobs --json", runJobs},
        {"patch", "Change the configuration, or revert a change", "patch --revert 3", runPatch},
        {"config", "Show the configuration, its history, or the difference of two versions", "config diff 3 4", runConfig},
        {"status", "Show the state of an entry process", "status --at 127.0.0.1:8081", runStatus},
        {"drain", "Take an entry process out of the load balancer", "drain --at 127.0.0.1:8081", runDrain},
        {"demo", "Run sample workloads on an embedded stand-in platform", "demo --seconds 10 --seed 7", runDemo},
        {"stand-in", "Run a stand-in for the platform, for trials", "stand-in --port 8900 --workers 4", runStandIn},
    };
    return all;
}

int runProgram(int argc, char **argv)
{
    const std::vector<std::string> words(argv, argv + argc);
    if (words.size() < 2 || words[1] == "--help" || words[1] == "-h" || words[1] == "help") {
        printHelp();
        return static_cast<int>(words.size() < 2 ? ExitCode::Invalid : ExitCode::Ok);
    }
    if (words[1] == "--version") {
        std::cout << "marjoramhaven " << MARJORAMHAVEN_VERSION << std::endl;
        return static_cast<int>(ExitCode::Ok);
    }
    const auto it = std::find_if(commands().begin(), commands().end(), [&](const Command &command) {
        return command.name == words[1];
    });
    if (it == commands().end()) {
        printError("unknown command " + words[1] + "; run marjoramhaven --help for the list of commands");
        return static_cast<int>(ExitCode::Invalid);
    }
    std::vector<std::string> arguments(words.begin() + 1, words.end());
    arguments[0] = "marjoramhaven " + words[1];
    return static_cast<int>(runCommand(*it, std::move(arguments)));
}

} // namespace marjoramhaven
