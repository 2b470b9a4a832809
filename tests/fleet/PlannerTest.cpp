#include <boost/test/unit_test.hpp>

#include "FakeFleet.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

StepSpec step(int count, std::int64_t cpu, std::int64_t ms)
{
    StepSpec out;
    out.taskCount = count;
    out.needs = {cpu, 500, 0};
    out.estimateMs = ms;
    return out;
}

bool isState(const FakeFleet &fleet, const std::string &job, FleetJobState state)
{
    return fleet.stateOf(job) == state;
}

void expectNoViolations(const FakeFleet &fleet)
{
    BOOST_TEST(fleet.violations().empty(), (fleet.violations().empty() ? std::string() : fleet.violations().front()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Planner)

BOOST_AUTO_TEST_CASE(stepsRunInOrderAndTheJobIsReportedAsCompleted)
{
    FakeFleet fleet({});
    auto second = step(4, 2000, 300);
    second.after = {0};
    fleet.submit(fleet.makeJob("j1", {step(3, 1000, 500), second}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(3000)));
    BOOST_TEST(fleet.startCount() == 7);
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(tasksBeyondCapacityWaitWithoutOvercommitment)
{
    FakeFleet fleet({});
    for (int i = 0; i < 30; ++i) {
        fleet.submit(fleet.makeJob("j" + std::to_string(i), {step(6, 3000, 700)}));
    }
    BOOST_TEST(fleet.runUntil(
        [&]() {
            for (int i = 0; i < 30; ++i) {
                if (!isState(fleet, "j" + std::to_string(i), FleetJobState::Completed)) {
                    return false;
                }
            }
            return true;
        },
        Millis(60000)));
    BOOST_TEST(fleet.startCount() == 180);
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(jobThatWaitsDuringATakeoverRunsUnderTheNextLeader)
{
    FakeFleet fleet({});
    fleet.killPlanner(Millis(500));
    fleet.submit(fleet.makeJob("j1", {step(3, 1000, 500)}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(5000)));
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(failureReportedToTwoLeadersIsCountedOnce)
{
    FakeFleet fleet({});
    fleet.queue.maxAttempts = 2;
    fleet.configureTask = [&fleet](const FleetTaskId &task, TaskBehaviour &out) {
        out.fails = fleet.startsOf(task.toString()) == 0;
    };
    fleet.submit(fleet.makeJob("j1", {step(1, 1000, 400)}));
    fleet.runUntil(
        [&]() {
            return fleet.endsOf("j1.0.0.0", RunEnd::Failed) == 1;
        },
        Millis(3000));
    // The end of the run is stored, but the worker still lists it when the next leader polls it.
    fleet.run(Millis(25));
    fleet.killPlanner(Millis(100));
    fleet.runUntil(
        [&]() {
            const auto state = fleet.stateOf("j1");
            return state == FleetJobState::Completed || state == FleetJobState::Failed;
        },
        Millis(8000));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Completed));
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(taskThatReachesMaxAttemptsFailsItsJob)
{
    FakeFleet fleet({});
    fleet.configureTask = [](const FleetTaskId & /*task*/, TaskBehaviour &out) {
        out.fails = true;
    };
    fleet.submit(fleet.makeJob("j1", {step(1, 1000, 200)}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Failed);
        },
        Millis(20000)));
    BOOST_TEST(fleet.startsOf("j1.0.0.0") == 3);
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(cancelledJobStopsItsRunsAndStartsNoMore)
{
    FakeFleet fleet({});
    fleet.submit(fleet.makeJob("j1", {step(8, 1000, 5000)}));
    fleet.run(Millis(500));
    fleet.cancel("j1");
    fleet.run(Millis(1500));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Cancelled));
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(fleet.worker(i).runningCount() == 0U);
    }
    BOOST_TEST(fleet.startCount() == 8);
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(cancellationBeforeItsJobTakesEffect)
{
    FakeFleet fleet({});
    fleet.cancel("j1");
    fleet.submit(fleet.makeJob("j1", {step(2, 1000, 500)}));
    fleet.run(Millis(2000));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Cancelled));
    BOOST_TEST(fleet.startCount() == 0);
}

BOOST_AUTO_TEST_CASE(gangStartsAndEndsTogether)
{
    FakeFleet fleet({});
    auto gang = step(8, 3000, 600);
    gang.isGang = true;
    // The gang has room only when the first job has ended.
    fleet.submit(fleet.makeJob("j0", {step(10, 3000, 900)}));
    fleet.run(Millis(100));
    fleet.submit(fleet.makeJob("j1", {gang}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(10000)));
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(tasksOfAnUnresponsiveWorkerMoveOnlyAfterItsLease)
{
    FakeFleet fleet({});
    fleet.submit(fleet.makeJob("j1", {step(1, 1000, 3000)}));
    fleet.run(Millis(500));
    const int lost = fleet.workerOf("j1.0.0.0");
    fleet.setUnresponsive(lost, true);
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(15000)));
    BOOST_TEST(fleet.workerOf("j1.0.0.0") != lost);
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(tasksOfARestartedWorkerRestartAtOnce)
{
    FakeFleet fleet({});
    fleet.submit(fleet.makeJob("j1", {step(1, 1000, 1000)}));
    fleet.run(Millis(500));
    fleet.restartWorker(fleet.workerOf("j1.0.0.0"));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(3500)));
    BOOST_TEST(fleet.startsOf("j1.0.0.0") == 2);
    expectNoViolations(fleet);
}

// Guards against tasks that run twice when a worker restarts twice within seconds: a start request that was answered by the new incarnation was taken for one
// that ended with the old incarnation.
BOOST_AUTO_TEST_CASE(runStartedByTheNextIncarnationOfAWorkerIsNotStartedElsewhere)
{
    constexpr int RestartCount = 200;
    FakeFleetOptions options;
    options.workers = 4;
    FakeFleet fleet(options);
    fleet.run(Millis(500));
    for (int i = 0; i < RestartCount; ++i) {
        fleet.submit(fleet.makeJob("j" + std::to_string(i), {step(3, 1000, 400)}));
        // Between the start requests and the next poll, at a different point each time.
        fleet.run(Millis(5 + i % 31));
        for (int worker = 0; worker < options.workers; ++worker) {
            fleet.restartWorker(worker);
        }
        fleet.run(Millis(2500));
    }
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j" + std::to_string(RestartCount - 1), FleetJobState::Completed);
        },
        Millis(20000)));
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(logOutageStopsNewRunsButNotRunningOnes)
{
    FakeFleet fleet({});
    fleet.submit(fleet.makeJob("j1", {step(2, 1000, 2000)}));
    fleet.run(Millis(300));
    fleet.setLogUp(false);
    fleet.submit(fleet.makeJob("j2", {step(2, 1000, 200)}));
    fleet.run(Millis(7000));
    BOOST_TEST(fleet.startCount() == 2);
    BOOST_TEST(fleet.endsOf("j1.0.0.0", RunEnd::Done) == 1);
    // A state that is not stored is not reported to callers.
    BOOST_TEST(!isState(fleet, "j1", FleetJobState::Completed));
    fleet.setLogUp(true);
    fleet.run(Millis(1500));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Completed));
    BOOST_TEST(isState(fleet, "j2", FleetJobState::Completed));
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(drainingWorkerGetsNoNewRunsAndItsLongRunningTasksMove)
{
    FakeFleet fleet({});
    auto longRunning = step(3, 1000, 400);
    longRunning.isLongRunning = true;
    longRunning.maxUnavailable = 1;
    longRunning.maxPerWorker = 1;
    fleet.submit(fleet.makeJob("j1", {longRunning}));
    fleet.run(Millis(1500));
    const int leaving = fleet.workerOf("j1.0.0.1");
    fleet.drainWorker(leaving, Millis(5500));
    fleet.run(Millis(3000));
    BOOST_TEST(fleet.worker(leaving).runningCount() == 0U);
    BOOST_TEST(fleet.workerOf("j1.0.0.1") != leaving);
    BOOST_TEST(fleet.endsOf("j1.0.0.0", RunEnd::Stopped) + fleet.endsOf("j1.0.0.2", RunEnd::Stopped) == 0);
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_CASE(taskWithoutProgressRunsElsewhere)
{
    FakeFleet fleet({});
    fleet.configureTask = [&fleet](const FleetTaskId &task, TaskBehaviour &out) {
        out.hangs = fleet.startsOf(task.toString()) == 0;
    };
    fleet.submit(fleet.makeJob("j1", {step(1, 1000, 800)}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(8000)));
    expectNoViolations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
