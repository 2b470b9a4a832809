#include <boost/test/unit_test.hpp>

#include <algorithm>

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

FleetJobRequest withPriority(FleetJobRequest request, int priority)
{
    request.queue.priority = priority;
    request.queue.prefix = "/q" + std::to_string(priority) + "/";
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Load)

// Load: long low-priority tasks with checkpoints fill the fleet when a job of the highest priority arrives.
BOOST_AUTO_TEST_CASE(urgentJobsPreemptCheckpointedSweeps)
{
    FakeFleet fleet({});
    auto sweep = step(16, 3000, 20000);
    sweep.checkpoints = true;
    fleet.submit(withPriority(fleet.makeJob("sweep", {sweep}), 2));
    fleet.run(Millis(2000));
    const auto at = fleet.now();
    fleet.submit(withPriority(fleet.makeJob("check", {step(4, 2500, 500)}), 0));
    fleet.run(Millis(1500));
    for (int i = 0; i < 4; ++i) {
        const auto begun = fleet.firstStart("check.0.0." + std::to_string(i));
        BOOST_REQUIRE(begun);
        BOOST_TEST((*begun - at).count() < 600);
    }
    BOOST_TEST(fleet.violations().empty());
}

// Load: the same, but the low-priority tasks write no checkpoints, so stopping them would lose their work.
BOOST_AUTO_TEST_CASE(tasksWithoutCheckpointsAreNeverPreempted)
{
    FakeFleet fleet({});
    fleet.submit(withPriority(fleet.makeJob("sweep", {step(12, 4000, 3000)}), 2));
    fleet.run(Millis(500));
    fleet.submit(withPriority(fleet.makeJob("check", {step(2, 2500, 500)}), 0));
    fleet.run(Millis(8000));
    for (int i = 0; i < 12; ++i) {
        BOOST_TEST(fleet.startsOf("sweep.0.0." + std::to_string(i)) == 1);
    }
    BOOST_TEST((fleet.stateOf("check") == FleetJobState::Completed));
}

// Load: urgent jobs beyond capacity fill the fleet when a long-running task loses its worker.
BOOST_AUTO_TEST_CASE(longRunningTaskRestartsDuringOverload)
{
    FakeFleet fleet({});
    auto watch = step(2, 1000, 400);
    watch.isLongRunning = true;
    fleet.submit(withPriority(fleet.makeJob("watch", {watch}), 1));
    fleet.run(Millis(1000));
    for (int i = 0; i < 40; ++i) {
        fleet.submit(withPriority(fleet.makeJob("check" + std::to_string(i), {step(6, 2500, 900)}), 0));
    }
    fleet.run(Millis(700));
    fleet.restartWorker(fleet.workerOf("watch.0.0.0"));
    fleet.run(Millis(3000));
    BOOST_TEST(fleet.startsOf("watch.0.0.0") + fleet.startsOf("watch.0.0.1") >= 3);
    int running = 0;
    for (int i = 0; i < 6; ++i) {
        for (const auto &[task, attempt] : fleet.worker(i).runs()) {
            running += task.job == "watch" ? 1 : 0;
        }
    }
    BOOST_TEST(running == 2);
    BOOST_TEST(fleet.violations().empty());
}

// Load: one worker fails every run shortly after its start, and so always looks idle.
BOOST_AUTO_TEST_CASE(workerThatFailsEverythingIsAvoided)
{
    FakeFleet fleet({});
    fleet.configureTask = [&fleet](const FleetTaskId &task, TaskBehaviour &out) {
        if (fleet.startingWorker(task) == 0) {
            out.fails = true;
            out.duration = Millis(30);
        }
    };
    int done = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.submit(fleet.makeJob("j" + std::to_string(i), {step(4, 1500, 400)}));
        fleet.run(Millis(150));
    }
    fleet.run(Millis(12000));
    for (int i = 0; i < 40; ++i) {
        done += fleet.stateOf("j" + std::to_string(i)) == FleetJobState::Completed ? 1 : 0;
    }
    BOOST_TEST(done >= 38);
}

// Load: a worker stops answering while it runs an urgent task that allows speculative runs.
BOOST_AUTO_TEST_CASE(speculativeRunDoesNotWaitForTheLeaseOfAnUnresponsiveWorker)
{
    FakeFleet fleet({});
    auto urgent = step(1, 1000, 4000);
    urgent.allowsSpeculation = true;
    fleet.submit(fleet.makeJob("copied", {urgent}));
    fleet.run(Millis(300));
    const int lost = fleet.workerOf("copied.0.0.0");
    fleet.setUnresponsive(lost, true);
    const auto at = fleet.now();
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return fleet.startsOf("copied.0.0.0") == 2;
        },
        Millis(3000)));
    BOOST_TEST((fleet.now() - at).count() < 2200);
    BOOST_TEST(fleet.workerOf("copied.0.0.0") != lost);
    fleet.setUnresponsive(lost, false);
    fleet.run(Millis(6000));
    BOOST_TEST((fleet.stateOf("copied") == FleetJobState::Completed));
    int remainingRuns = 0;
    for (int i = 0; i < 6; ++i) {
        remainingRuns += static_cast<int>(fleet.worker(i).runningCount());
    }
    BOOST_TEST(remainingRuns == 0);
}

// Load: an urgent job of several short steps, each of which needs the advisor's answer on which workers may run it.
BOOST_AUTO_TEST_CASE(adviceForTheNextStepIsPrefetched)
{
    FakeFleetOptions options;
    options.adviceDelay = Millis(200);
    FakeFleet fleet(options);
    fleet.queue.needsAdvice = true;
    fleet.queue.adviceBaseMs = 200;
    fleet.queue.advicePerWorkerMs = 1;
    fleet.queue.ticketValidityMs = 2500;
    auto second = step(3, 1000, 400);
    second.after = {0};
    fleet.submit(fleet.makeJob("check", {step(3, 1000, 600), second}));
    fleet.run(Millis(3000));
    const auto first = fleet.firstStart("check.0.0.0");
    const auto next = fleet.firstStart("check.0.1.0");
    BOOST_REQUIRE((first && next));
    BOOST_TEST((*next - *first).count() < 600 + 100);
    BOOST_TEST(fleet.adviceCalls() == 2);
    BOOST_TEST((fleet.stateOf("check") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Load: a rack is partly full when a step arrives whose tasks run more slowly if they are spread over racks.
BOOST_AUTO_TEST_CASE(rackLocalStepIsPlacedInOneRackWithRoom)
{
    FakeFleet fleet({});
    auto watch = step(1, 4000, 400);
    watch.isLongRunning = true;
    watch.requiredLabel = "only-w1";
    fleet.submit(fleet.makeJob("watch", {watch}));
    fleet.run(Millis(500));
    for (const bool isGang : {false, true}) {
        auto local = step(3, 5000, 600);
        local.isRackLocal = true;
        local.isGang = isGang;
        const std::string job = isGang ? "gang" : "local";
        fleet.submit(fleet.makeJob(job, {local}));
        fleet.run(Millis(400));
        for (int i = 0; i < 3; ++i) {
            BOOST_TEST(fleet.workerOf(job + ".0.0." + std::to_string(i)) >= 3);
        }
        fleet.run(Millis(2500));
        BOOST_TEST((fleet.stateOf(job) == FleetJobState::Completed));
    }
    BOOST_TEST(fleet.violations().empty());
}

// Load: start requests wait for a log that is down for longer than their tickets are valid.
BOOST_AUTO_TEST_CASE(startWithExpiredTicketIsNotSent)
{
    FakeFleet fleet({});
    fleet.queue.needsAdvice = true;
    fleet.queue.adviceBaseMs = 5;
    fleet.queue.advicePerWorkerMs = 1;
    fleet.queue.ticketValidityMs = 2500;
    fleet.submit(fleet.makeJob("check", {step(4, 1000, 400)}));
    fleet.run(Millis(2));
    fleet.setLogUp(false);
    fleet.run(Millis(3500));
    BOOST_TEST(fleet.startCount() == 0);
    fleet.setLogUp(true);
    fleet.run(Millis(1500));
    BOOST_TEST(fleet.expiredTickets() == 0);
    BOOST_TEST((fleet.stateOf("check") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Load: small tasks with accelerators of lower priority arrive all the time, and fill each gap before a gang finds whole free workers.
BOOST_AUTO_TEST_CASE(gangOfWholeWorkersStartsAmongSmallTasks)
{
    constexpr std::int64_t Gpus = 8;
    FakeFleetOptions options;
    options.workers = 16;
    options.capacity = {8000, 16000, Gpus};
    FakeFleet fleet(options);
    auto small = step(12, 900, 700);
    small.needs = {900, 900, 1};
    int jobs = 0;
    const auto submitSmall = [&]() {
        fleet.submit(withPriority(fleet.makeJob("small" + std::to_string(jobs++), {small}), 2));
        fleet.run(Millis(60));
    };
    for (int i = 0; i < 70; ++i) {
        submitSmall();
    }
    auto gang = step(3, 2000, 500);
    gang.needs = {2000, 4000, Gpus};
    gang.isGang = true;
    const auto at = fleet.now();
    fleet.submit(withPriority(fleet.makeJob("gang", {gang}), 1));
    for (int i = 0; i < 70; ++i) {
        submitSmall();
    }
    const auto begun = fleet.firstStart("gang.0.0.0");
    BOOST_REQUIRE(begun);
    BOOST_TEST((*begun - at).count() < 3000);
    BOOST_TEST(fleet.violations().empty());
}

// Load: the log stores appends slowly; all accepted jobs still complete, and each task runs once.
BOOST_AUTO_TEST_CASE(slowLogDelaysButLosesNothing)
{
    FakeFleetOptions options;
    options.appendDelay = Millis(620);
    FakeFleet fleet(options);
    for (int i = 0; i < 10; ++i) {
        fleet.submit(fleet.makeJob("j" + std::to_string(i), {step(3, 1000, 300)}));
    }
    fleet.run(Millis(6000));
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST((fleet.stateOf("j" + std::to_string(i)) == FleetJobState::Completed));
    }
    BOOST_TEST(fleet.startCount() == 30);
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
