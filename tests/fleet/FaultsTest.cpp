#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>

#include "FakeFleet.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// Number of seeds for each scenario. The environment variable sets it, for example: FLEET_SEEDS=200 test_fleet --run_test=Faults
std::uint64_t seedCount()
{
    const char *text = std::getenv("FLEET_SEEDS");
    return text == nullptr ? 6 : std::strtoull(text, nullptr, 10);
}

enum class Fault {
    PlannerKilled,
    PlannerFrozen,
    LogDown,
    WorkerUnresponsive,
    WorkerRestarted,
    WorkerDraining,
    RequestsDelayed,
    ResponsesLost,
    JobsCancelled,
    WorkersUnhealthy,
};

constexpr Fault AllFaults[] = {Fault::PlannerKilled,
                               Fault::PlannerFrozen,
                               Fault::LogDown,
                               Fault::WorkerUnresponsive,
                               Fault::WorkerRestarted,
                               Fault::WorkerDraining,
                               Fault::RequestsDelayed,
                               Fault::ResponsesLost,
                               Fault::JobsCancelled,
                               Fault::WorkersUnhealthy};

// Workers that the fault makes unhealthy; the others take over their tasks.
constexpr int UnhealthyWorkers = 3;
constexpr double RefusedShare = 0.5;

void setUnhealthy(FakeFleet &fleet, double refusedShare)
{
    for (int i = 0; i < UnhealthyWorkers; ++i) {
        fleet.setRefusedRequestShare(i, refusedShare);
    }
}

StepSpec randomStep(std::mt19937_64 &random)
{
    StepSpec out;
    out.taskCount = 1 + static_cast<int>(random() % 5);
    out.needs = {500 + static_cast<std::int64_t>(random() % 5000), 400 + static_cast<std::int64_t>(random() % 3000), 0};
    out.estimateMs = 200 + static_cast<std::int64_t>(random() % 2500);
    out.checkpoints = random() % 2 == 0;
    out.isGang = random() % 6 == 0;
    out.allowsSpeculation = !out.isGang && random() % 4 == 0;
    return out;
}

void injectFault(FakeFleet &fleet, Fault fault, std::mt19937_64 &random)
{
    const int worker = static_cast<int>(random() % 6);
    switch (fault) {
    case Fault::PlannerKilled:
        fleet.killPlanner(Millis(300 + random() % 1500));
        return;
    case Fault::PlannerFrozen:
        fleet.freezePlanner(Millis(1500 + random() % 1000), Millis(2600 + random() % 3000));
        return;
    case Fault::LogDown:
        fleet.setLogUp(false);
        fleet.run(Millis(500 + random() % 4000));
        fleet.setLogUp(true);
        return;
    case Fault::WorkerUnresponsive:
        fleet.setUnresponsive(worker, true);
        fleet.run(Millis(500 + random() % 8000));
        fleet.setUnresponsive(worker, false);
        return;
    case Fault::WorkerRestarted:
        fleet.restartWorker(worker);
        return;
    case Fault::WorkerDraining:
        fleet.drainWorker(worker, Millis(5500));
        return;
    case Fault::RequestsDelayed:
        fleet.setDelayedRequestShare(0.1);
        fleet.run(Millis(4000));
        fleet.setDelayedRequestShare(0);
        return;
    case Fault::ResponsesLost:
        fleet.setLostResponseShare(0.3);
        fleet.run(Millis(3000));
        fleet.setLostResponseShare(0);
        return;
    case Fault::JobsCancelled:
        for (int i = 0; i < 12; i += 3) {
            fleet.cancel("j" + std::to_string(i));
        }
        return;
    case Fault::WorkersUnhealthy:
        setUnhealthy(fleet, RefusedShare);
        fleet.run(Millis(5000));
        setUnhealthy(fleet, 0);
        return;
    }
}

// Simulates a fixed load with these faults, on workers that are unhealthy meanwhile if `refusedShare` is not 0. Returns the first violation, or else the first
// job that did not end, or else an empty string.
std::string runScenario(const std::vector<Fault> &faults, std::uint64_t seed, double refusedShare = 0)
{
    FakeFleetOptions options;
    options.seed = seed;
    options.capacity = {12000, 24000, 0};
    FakeFleet fleet(options);
    std::mt19937_64 random(seed * 7919 + faults.size());
    fleet.queue.needsAdvice = random() % 2 == 0;
    fleet.queue.adviceBaseMs = 5;
    fleet.queue.advicePerWorkerMs = 1;
    fleet.queue.ticketValidityMs = 2000;
    std::vector<Fault> remainingFaults = faults;
    setUnhealthy(fleet, refusedShare);
    constexpr int Jobs = 12;
    for (int i = 0; i < Jobs; ++i) {
        std::vector<StepSpec> steps {randomStep(random)};
        if (random() % 2 == 0) {
            auto next = randomStep(random);
            next.after = {0};
            steps.push_back(next);
        }
        fleet.submit(fleet.makeJob("j" + std::to_string(i), steps));
        fleet.run(Millis(random() % 500));
        if (i % 3 == 2 && !remainingFaults.empty()) {
            injectFault(fleet, remainingFaults.back(), random);
            remainingFaults.pop_back();
        }
    }
    setUnhealthy(fleet, 0);
    const auto haveAllJobsEnded = [&]() {
        for (int i = 0; i < Jobs; ++i) {
            const auto state = fleet.stateOf("j" + std::to_string(i));
            if (state != FleetJobState::Completed && state != FleetJobState::Cancelled) {
                return false;
            }
        }
        return true;
    };
    const bool isEnded = fleet.runUntil(haveAllJobsEnded, Millis(90000));
    if (!fleet.violations().empty()) {
        return fleet.violations().front();
    }
    for (int i = 0; !isEnded && i < Jobs; ++i) {
        const auto id = "j" + std::to_string(i);
        const auto state = fleet.stateOf(id);
        if (state != FleetJobState::Completed && state != FleetJobState::Cancelled) {
            return id + " is " + (state ? std::string(nameOf(*state)) : "unknown");
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Faults)

BOOST_AUTO_TEST_CASE(singleFaultsCauseNoViolation)
{
    for (const auto fault : AllFaults) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const auto result = runScenario({fault}, seed);
            BOOST_TEST(result.empty(), "fault " << static_cast<int>(fault) << " seed " << seed << ": " << result);
        }
    }
}

// Runs one scenario from the environment, with its log, for example: FLEET_PLAY="4 4 1" FLEET_LOG=1 test_fleet --run_test=Faults/replaysScenarioFromEnvironment
// The last number is the seed, and those before it are values of Fault.
BOOST_AUTO_TEST_CASE(replaysScenarioFromEnvironment)
{
    const char *text = std::getenv("FLEET_PLAY");
    std::istringstream in(text == nullptr ? "0 1" : text);
    std::vector<Fault> faults;
    std::uint64_t number = 0;
    std::vector<std::uint64_t> numbers;
    while (in >> number) {
        numbers.push_back(number);
    }
    for (std::size_t i = 0; i + 1 < numbers.size(); ++i) {
        faults.push_back(static_cast<Fault>(numbers[i]));
    }
    const auto result = runScenario(faults, numbers.back());
    BOOST_TEST(result.empty(), result);
}

BOOST_AUTO_TEST_CASE(pairsOfFaultsCauseNoViolation)
{
    for (const auto first : AllFaults) {
        for (const auto second : AllFaults) {
            for (std::uint64_t seed = 1; seed <= (seedCount() + 2) / 3; ++seed) {
                const auto result = runScenario({first, second}, seed);
                BOOST_TEST(result.empty(), "faults " << static_cast<int>(first) << "+" << static_cast<int>(second) << " seed " << seed << ": " << result);
            }
        }
    }
}

// Guards against a task that runs twice: workers refuse starts, stops and polls at their first or second sending, while other faults occur.
BOOST_AUTO_TEST_CASE(faultsBesideUnhealthyWorkersCauseNoViolation)
{
    for (const auto first : AllFaults) {
        for (const auto second : AllFaults) {
            for (std::uint64_t seed = 1; seed <= (seedCount() + 2) / 3; ++seed) {
                const auto result = runScenario({first, second}, seed, RefusedShare);
                BOOST_TEST(result.empty(), "faults " << static_cast<int>(first) << "+" << static_cast<int>(second) << " seed " << seed << ": " << result);
            }
        }
    }
}

// Guards against more tasks of a step on one worker than the step allows: start requests are carried out late, by the next incarnation of their worker.
BOOST_AUTO_TEST_CASE(spreadIsKeptWhenRestartedWorkersCarryOutLateStarts)
{
    for (std::uint64_t seed = 1; seed <= seedCount() * 4; ++seed) {
        FakeFleetOptions options;
        options.seed = seed;
        options.delayedRequestsOutliveWorkers = true;
        FakeFleet fleet(options);
        std::mt19937_64 random(seed);
        for (int i = 0; i < 6; ++i) {
            StepSpec step;
            step.taskCount = 4;
            step.needs = {500, 500, 0};
            step.estimateMs = 400;
            step.isLongRunning = true;
            step.maxPerWorker = 1;
            fleet.setDelayedRequestShare(0.3);
            fleet.submit(fleet.makeJob("j" + std::to_string(i), {step}));
            fleet.run(Millis(1500));
            fleet.setDelayedRequestShare(0);
            for (int n = 0; n < 2; ++n) {
                fleet.restartWorker(static_cast<int>(random() % static_cast<std::uint64_t>(options.workers)));
                fleet.run(Millis(700));
            }
            fleet.run(Millis(random() % 3000));
        }
        for (const auto &it : fleet.violations()) {
            BOOST_TEST(!it.starts_with("too many tasks"), "seed " << seed << ": " << it);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
