#include <boost/test/unit_test.hpp>

#include "FakeFleet.h"
#include "marjoramhaven/fleet/WorkerSpeeds.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr int SlowFactor = 6;

StepSpec step(int count, std::int64_t ms)
{
    StepSpec out;
    out.taskCount = count;
    out.needs = {1000, 500, 0};
    out.estimateMs = ms;
    return out;
}

// Lets some workers run all tasks more slowly, whatever the estimates say.
void slowDown(FakeFleet &fleet, std::function<bool(int)> isSlow)
{
    fleet.configureTask = [&fleet, isSlow = std::move(isSlow)](const FleetTaskId &task, TaskBehaviour &out) {
        if (isSlow(fleet.startingWorker(task))) {
            out.duration *= SlowFactor;
        }
    };
}

// Submits jobs of six tasks one after the other, two on each of three workers, and returns the mean time in milliseconds until they are completed.
double meanCompletionMs(FakeFleet &fleet, const std::string &name, int jobs)
{
    double sum = 0;
    for (int i = 0; i < jobs; ++i) {
        const auto id = name + std::to_string(i);
        const auto at = fleet.now();
        auto spread = step(6, 300);
        spread.maxPerWorker = 2;
        fleet.submit(fleet.makeJob(id, {spread}));
        BOOST_REQUIRE(fleet.runUntil(
            [&]() {
                return fleet.stateOf(id) == FleetJobState::Completed;
            },
            Millis(10'000)));
        sum += static_cast<double>((fleet.now() - at).count());
    }
    return sum / jobs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Speeds)

BOOST_AUTO_TEST_CASE(fewObservationsProveNothing)
{
    WorkerSpeeds speeds;
    speeds.observe("w", 8, atMillis(0));
    BOOST_TEST(!speeds.isSlow("w", atMillis(0)));
    speeds.observe("w", 8, atMillis(100));
    BOOST_TEST(speeds.isSlow("w", atMillis(100)));
    BOOST_TEST(!speeds.isSlow("other", atMillis(100)));
}

BOOST_AUTO_TEST_CASE(workerThatGetsNoRunsIsTriedAgain)
{
    WorkerSpeeds speeds;
    for (int i = 0; i < 5; ++i) {
        speeds.observe("w", 6, atMillis(i * 100));
    }
    BOOST_TEST(speeds.isSlow("w", atMillis(1000)));
    BOOST_TEST(!speeds.isSlow("w", atMillis(12'000)));
}

BOOST_AUTO_TEST_CASE(workerThatIsWellAgainIsUsedAgain)
{
    WorkerSpeeds speeds;
    for (int i = 0; i < 3; ++i) {
        speeds.observe("w", 6, atMillis(i * 100));
    }
    for (int i = 0; i < 4; ++i) {
        speeds.observe("w", 1, atMillis(400 + i * 100));
    }
    BOOST_TEST(!speeds.isSlow("w", atMillis(800)));
}

BOOST_AUTO_TEST_CASE(longTasksOfASlowStepBlameNoWorker)
{
    WorkerSpeeds speeds;
    for (int i = 0; i < 20; ++i) {
        speeds.observe("w", i % 2 == 0 ? 1.8 : 0.7, atMillis(i * 100));
    }
    BOOST_TEST(!speeds.isSlow("w", atMillis(2000)));
}

// Load: a few of many workers become slow without going down, while others have room. Best fit would choose the slow ones again and again.
BOOST_AUTO_TEST_CASE(jobsDoNotWaitForSlowWorkersWhileOthersHaveRoom)
{
    FakeFleet fleet({});
    slowDown(fleet, [](int worker) {
        return worker == 0;
    });
    meanCompletionMs(fleet, "early", 6);
    // Every task on the slow worker takes 1.8 s.
    BOOST_TEST(meanCompletionMs(fleet, "late", 10) < 900);
    BOOST_TEST(fleet.violations().empty());
}

// Load: all workers become slow, so that none is slower than the others.
BOOST_AUTO_TEST_CASE(slowdownOfAllWorkersMovesNothing)
{
    FakeFleet fleet({});
    slowDown(fleet, [](int /*worker*/) {
        return true;
    });
    auto sweep = step(12, 800);
    sweep.checkpoints = true;
    fleet.submit(fleet.makeJob("sweep", {sweep}));
    fleet.run(Millis(9000));
    BOOST_TEST((fleet.stateOf("sweep") == FleetJobState::Completed));
    BOOST_TEST(fleet.startCount() == 12);
}

// Load: tasks with checkpoints run on a worker that is slow, while others have finished theirs.
BOOST_AUTO_TEST_CASE(checkpointedTasksMoveFromASlowWorker)
{
    FakeFleet fleet({});
    slowDown(fleet, [](int worker) {
        return worker == 0;
    });
    meanCompletionMs(fleet, "early", 4);
    auto sweep = step(24, 2000);
    sweep.needs = {2000, 500, 0};
    sweep.checkpoints = true;
    const auto at = fleet.now();
    fleet.submit(fleet.makeJob("sweep", {sweep}));
    BOOST_REQUIRE(fleet.runUntil(
        [&]() {
            return fleet.stateOf("sweep") == FleetJobState::Completed;
        },
        Millis(15'000)));
    // Left alone, the tasks on the slow worker take 12 s.
    BOOST_TEST((fleet.now() - at).count() < 9500);
    BOOST_TEST(fleet.violations().empty());
}

// Load: a worker reports late, which does not change what its own clock shows.
BOOST_AUTO_TEST_CASE(workerThatReportsLateIsNotSlow)
{
    FakeFleet fleet({});
    fleet.submit(fleet.makeJob("first", {step(12, 600)}));
    fleet.run(Millis(300));
    fleet.setUnresponsive(0, true);
    fleet.run(Millis(2500));
    fleet.setUnresponsive(0, false);
    fleet.run(Millis(3000));
    BOOST_TEST((fleet.stateOf("first") == FleetJobState::Completed));
    fleet.submit(fleet.makeJob("second", {step(48, 600)}));
    fleet.run(Millis(400));
    BOOST_TEST(fleet.worker(0).runningCount() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
