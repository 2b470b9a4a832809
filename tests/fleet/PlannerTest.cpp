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

void expectKept(const FakeFleet &fleet)
{
    BOOST_TEST(fleet.broken().empty(), (fleet.broken().empty() ? std::string() : fleet.broken().front()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Planner)

BOOST_AUTO_TEST_CASE(aJobOfTwoStepsRunsInOrderAndIsShownAsCompleted)
{
    FakeFleet fleet({});
    auto second = step(4, 2000, 300);
    second.after = {0};
    fleet.submit(fleet.jobWith("j1", {step(3, 1000, 500), second}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(3000)));
    BOOST_TEST(fleet.begins() == 7);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(moreWorkThanRoomWaitsAndNeverOvercommits)
{
    FakeFleet fleet({});
    for (int i = 0; i < 30; ++i) {
        fleet.submit(fleet.jobWith("j" + std::to_string(i), {step(6, 3000, 700)}));
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
    BOOST_TEST(fleet.begins() == 180);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aJobThatWaitedWhenThePlannerDiedRunsUnderItsSuccessor)
{
    FakeFleet fleet({});
    fleet.killPlanner(Millis(500));
    fleet.submit(fleet.jobWith("j1", {step(3, 1000, 500)}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(5000)));
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aFailureIsCountedOnceThoughTwoPlannersReadIt)
{
    FakeFleet fleet({});
    fleet.queue.maxAttempts = 2;
    fleet.behave = [&fleet](const FleetTaskId &task, TaskBehaviour &out) {
        out.fails = fleet.beginsOf(task.toString()) == 0;
    };
    fleet.submit(fleet.jobWith("j1", {step(1, 1000, 400)}));
    fleet.runUntil(
        [&]() {
            return fleet.endsOf("j1.0.0.0", RunEnd::Failed) == 1;
        },
        Millis(3000));
    // The end is stored, but its worker still lists it when the next planner takes its inventory.
    fleet.run(Millis(25));
    fleet.killPlanner(Millis(100));
    fleet.runUntil(
        [&]() {
            const auto state = fleet.stateOf("j1");
            return state == FleetJobState::Completed || state == FleetJobState::Failed;
        },
        Millis(8000));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Completed));
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aTaskThatFailsTooOftenFailsItsJob)
{
    FakeFleet fleet({});
    fleet.behave = [](const FleetTaskId & /*task*/, TaskBehaviour &out) {
        out.fails = true;
    };
    fleet.submit(fleet.jobWith("j1", {step(1, 1000, 200)}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Failed);
        },
        Millis(20000)));
    BOOST_TEST(fleet.beginsOf("j1.0.0.0") == 3);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aCancelledJobStopsAndStartsNothingMore)
{
    FakeFleet fleet({});
    fleet.submit(fleet.jobWith("j1", {step(8, 1000, 5000)}));
    fleet.run(Millis(500));
    fleet.cancel("j1");
    fleet.run(Millis(1500));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Cancelled));
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(fleet.worker(i).runningCount() == 0U);
    }
    BOOST_TEST(fleet.begins() == 8);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aCancellationThatComesBeforeItsJobHolds)
{
    FakeFleet fleet({});
    fleet.cancel("j1");
    fleet.submit(fleet.jobWith("j1", {step(2, 1000, 500)}));
    fleet.run(Millis(2000));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Cancelled));
    BOOST_TEST(fleet.begins() == 0);
}

BOOST_AUTO_TEST_CASE(aGangStartsWholeAndEndsTogether)
{
    FakeFleet fleet({});
    auto gang = step(8, 3000, 600);
    gang.isGang = true;
    // Room for the gang comes only when the first job has ended.
    fleet.submit(fleet.jobWith("j0", {step(10, 3000, 900)}));
    fleet.run(Millis(100));
    fleet.submit(fleet.jobWith("j1", {gang}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(10000)));
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aSilentWorkersTasksRunElsewhereOnlyAfterTheirLease)
{
    FakeFleet fleet({});
    fleet.submit(fleet.jobWith("j1", {step(1, 1000, 3000)}));
    fleet.run(Millis(500));
    const int lost = fleet.workerOf("j1.0.0.0");
    fleet.setSilent(lost, true);
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(15000)));
    BOOST_TEST(fleet.workerOf("j1.0.0.0") != lost);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aRestartedWorkersTasksRunAgainAtOnce)
{
    FakeFleet fleet({});
    fleet.submit(fleet.jobWith("j1", {step(1, 1000, 1000)}));
    fleet.run(Millis(500));
    fleet.restartWorker(fleet.workerOf("j1.0.0.0"));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(3500)));
    BOOST_TEST(fleet.beginsOf("j1.0.0.0") == 2);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(withoutTheStoreNothingStartsAndWhatRunsGoesOn)
{
    FakeFleet fleet({});
    fleet.submit(fleet.jobWith("j1", {step(2, 1000, 2000)}));
    fleet.run(Millis(300));
    fleet.setStoreUp(false);
    fleet.submit(fleet.jobWith("j2", {step(2, 1000, 200)}));
    fleet.run(Millis(7000));
    BOOST_TEST(fleet.begins() == 2);
    BOOST_TEST(fleet.endsOf("j1.0.0.0", RunEnd::Done) == 1);
    // An end that is not stored is not told.
    BOOST_TEST(!isState(fleet, "j1", FleetJobState::Completed));
    fleet.setStoreUp(true);
    fleet.run(Millis(1500));
    BOOST_TEST(isState(fleet, "j1", FleetJobState::Completed));
    BOOST_TEST(isState(fleet, "j2", FleetJobState::Completed));
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aLeavingWorkerGetsNothingNewAndItsLastingTasksMove)
{
    FakeFleet fleet({});
    auto lasting = step(3, 1000, 400);
    lasting.isLasting = true;
    lasting.maxUnavailable = 1;
    lasting.maxPerWorker = 1;
    fleet.submit(fleet.jobWith("j1", {lasting}));
    fleet.run(Millis(1500));
    const int leaving = fleet.workerOf("j1.0.0.1");
    fleet.drainWorker(leaving, Millis(5500));
    fleet.run(Millis(3000));
    BOOST_TEST(fleet.worker(leaving).runningCount() == 0U);
    BOOST_TEST(fleet.workerOf("j1.0.0.1") != leaving);
    BOOST_TEST(fleet.endsOf("j1.0.0.0", RunEnd::Stopped) + fleet.endsOf("j1.0.0.2", RunEnd::Stopped) == 0);
    expectKept(fleet);
}

BOOST_AUTO_TEST_CASE(aTaskThatStandsStillRunsElsewhere)
{
    FakeFleet fleet({});
    fleet.behave = [&fleet](const FleetTaskId &task, TaskBehaviour &out) {
        out.hangs = fleet.beginsOf(task.toString()) == 0;
    };
    fleet.submit(fleet.jobWith("j1", {step(1, 1000, 800)}));
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return isState(fleet, "j1", FleetJobState::Completed);
        },
        Millis(8000)));
    expectKept(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
