#include "ServeCommands.h"

#include <QCoreApplication>
#include <QTimer>
#include <atomic>
#include <csignal>
#include <iostream>

#include "CommandLine.h"
#include "DemoRun.h"
#include "PlatformNode.h"
#include "marjoramhaven/base/GuardedApplication.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/node/EntryNode.h"
#include "marjoramhaven/standin/StandInPlatform.h"

namespace marjoramhaven {

namespace {

constexpr int SignalPollMs = 50;
std::atomic<bool> stopRequested {false};

void onSignal(int /*signal*/)
{
    stopRequested = true;
}

// Runs the event loop until SIGTERM or SIGINT.
void runUntilSignal()
{
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, []() {
        if (stopRequested) {
            QCoreApplication::quit();
        }
    });
    timer.start(SignalPollMs);
    QCoreApplication::exec();
}

// Parses the "name=zone" arguments that name the entry VMs in the stand-in platform's list of VMs.
std::optional<std::vector<Vm>> readEntries(const std::vector<std::string> &texts)
{
    std::vector<Vm> out;
    for (const auto &it : texts) {
        const auto at = it.find('=');
        if (at == std::string::npos) {
            setLastReason("--entry: expected name=zone, got " + it);
            return std::nullopt;
        }
        Vm vm;
        vm.name = it.substr(0, at);
        vm.role = VmRole::Entry;
        vm.zone = it.substr(at + 1);
        out.push_back(std::move(vm));
    }
    return out;
}

} // namespace

ExitCode runNode(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line(
        "Runs one scheduler process on the users' platform until SIGTERM. MARJORAMHAVEN_NODE_FILE names its settings file.", ' ', MARJORAMHAVEN_VERSION);
    line.setExceptionHandling(false);
    line.parse(arguments);
    return platform::runNode();
}

ExitCode runServe(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Runs an entry process until SIGTERM, then stops gracefully.", ' ', MARJORAMHAVEN_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file("s", "settings", "Settings file of this process", true, "", "FILE", line);
    line.parse(arguments);
    Findings findings;
    const auto document = YamlDocument::load(file.getValue(), findings);
    const auto settings = document ? Settings::read(*document, findings) : std::nullopt;
    if (!settings) {
        printError("\n" + findings.toString());
        return ExitCode::Invalid;
    }
    setUpLogging(settings->logLevel);
    const Log log("serve");
    const auto node = EntryNode::start(*settings);
    if (!node) {
        printError(lastReason());
        return ExitCode::Failed;
    }
    if (auto *application = GuardedApplication::current()) {
        application->setErrorHandler([&node](const std::string &reason) {
            node->recoverFromError(reason);
        });
    }
    log.info("listening for callers on " + settings->clientListen.toString());
    runUntilSignal();
    log.info("stops");
    const bool isCleanStop = node->stop();
    log.info(isCleanStop ? "stopped with no requests in flight" : "stopped with requests in flight: the time allowed for stopping has passed");
    return isCleanStop ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode runStandIn(std::vector<std::string> arguments)
{
    constexpr int MaxWorkersPerZone = 200;
    TCLAP::CmdLine line("Runs a stand-in for the platform (log, workers, list of VMs) for trials of the scheduler.", ' ', MARJORAMHAVEN_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<int> port("p", "port", "Port to listen on", false, 8900, "port", line);
    TCLAP::ValueArg<int> workers("w", "workers", "Number of workers in each zone", false, 4, "n", line);
    TCLAP::MultiArg<std::string> zones("z", "zone", "Name of a zone; may be given several times (default: local)", false, "name", line);
    TCLAP::MultiArg<std::string> entries("e", "entry", "Entry VM to include in the list of VMs, as name=zone", false, "name=zone", line);
    line.parse(arguments);
    StandInFleet fleet;
    fleet.zones = zones.isSet() ? zones.getValue() : std::vector<std::string> {"local"};
    fleet.workersPerZone = workers.getValue();
    const auto entryVms = readEntries(entries.getValue());
    if (!entryVms) {
        printError(lastReason());
        return ExitCode::Invalid;
    }
    if (fleet.workersPerZone < 1 || fleet.workersPerZone > MaxWorkersPerZone) {
        printError("--workers must be from 1 to 200");
        return ExitCode::Invalid;
    }
    fleet.entries = *entryVms;
    setUpLogging("warn");
    StandInPlatform platform(fleet);
    const int bound = platform.listenOn(port.getValue());
    if (bound == 0) {
        printError(lastReason());
        return ExitCode::Failed;
    }
    std::cout << "stand-in platform listening on 127.0.0.1:" << bound << std::endl;
    runUntilSignal();
    return ExitCode::Ok;
}

ExitCode runDemo(std::vector<std::string> arguments)
{
    constexpr int MaxSeconds = 3600;
    TCLAP::CmdLine line("Runs sample workloads on an embedded stand-in platform and checks the scheduler's invariants.", ' ', MARJORAMHAVEN_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<int> seconds("", "seconds", "Duration of the load in seconds", false, 10, "n", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the load's random generator", false, 1, "n", line);
    line.parse(arguments);
    if (seconds.getValue() < 2 || seconds.getValue() > MaxSeconds) {
        printError("--seconds must be from 2 to 3600");
        return ExitCode::Invalid;
    }
    setUpLogging("off");
    DemoRun run({seconds.getValue(), seed.getValue()});
    return run.run() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace marjoramhaven
