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

// Load: the fleet is full of long checkpointed sweeps when urgent checks arrive.
BOOST_AUTO_TEST_CASE(urgentWorkDoesNotWaitForSweepsToEnd)
{
    FakeFleet fleet({});
    auto sweep = step(16, 3000, 20000);
    sweep.checkpoints = true;
    fleet.submit(withPriority(fleet.jobWith("sweep", {sweep}), 2));
    fleet.run(Millis(2000));
    const auto at = fleet.now();
    fleet.submit(withPriority(fleet.jobWith("check", {step(4, 2500, 500)}), 0));
    fleet.run(Millis(1500));
    for (int i = 0; i < 4; ++i) {
        const auto begun = fleet.firstBegin("check.0.0." + std::to_string(i));
        BOOST_REQUIRE(begun);
        BOOST_TEST((*begun - at).count() < 600);
    }
    BOOST_TEST(fleet.broken().empty());
}

// Load: the same, but the sweeps can't resume: nothing of theirs is thrown away.
BOOST_AUTO_TEST_CASE(workThatCannotResumeIsNeverStoppedForOthers)
{
    FakeFleet fleet({});
    fleet.submit(withPriority(fleet.jobWith("sweep", {step(12, 4000, 3000)}), 2));
    fleet.run(Millis(500));
    fleet.submit(withPriority(fleet.jobWith("check", {step(2, 2500, 500)}), 0));
    fleet.run(Millis(8000));
    for (int i = 0; i < 12; ++i) {
        BOOST_TEST(fleet.beginsOf("sweep.0.0." + std::to_string(i)) == 1);
    }
    BOOST_TEST((fleet.stateOf("check") == FleetJobState::Completed));
}

// Load: a flood of urgent work fills the fleet while a lasting task has lost its worker.
BOOST_AUTO_TEST_CASE(aLastingTaskIsBackAtWorkInAFlood)
{
    FakeFleet fleet({});
    auto watch = step(2, 1000, 400);
    watch.isLasting = true;
    fleet.submit(withPriority(fleet.jobWith("watch", {watch}), 1));
    fleet.run(Millis(1000));
    for (int i = 0; i < 40; ++i) {
        fleet.submit(withPriority(fleet.jobWith("check" + std::to_string(i), {step(6, 2500, 900)}), 0));
    }
    fleet.run(Millis(700));
    fleet.restartWorker(fleet.workerOf("watch.0.0.0"));
    fleet.run(Millis(3000));
    BOOST_TEST(fleet.beginsOf("watch.0.0.0") + fleet.beginsOf("watch.0.0.1") >= 3);
    int running = 0;
    for (int i = 0; i < 6; ++i) {
        for (const auto &[task, attempt] : fleet.worker(i).runs()) {
            running += task.job == "watch" ? 1 : 0;
        }
    }
    BOOST_TEST(running == 2);
    BOOST_TEST(fleet.broken().empty());
}

// Load: one worker fails everything it starts, at once, and so looks idle.
BOOST_AUTO_TEST_CASE(aWorkerThatFailsEverythingDoesNotDrawTheWork)
{
    FakeFleet fleet({});
    fleet.behave = [&fleet](const FleetTaskId &task, TaskBehaviour &out) {
        if (fleet.planned(task) == 0) {
            out.fails = true;
            out.duration = Millis(30);
        }
    };
    int done = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.submit(fleet.jobWith("j" + std::to_string(i), {step(4, 1500, 400)}));
        fleet.run(Millis(150));
    }
    fleet.run(Millis(12000));
    for (int i = 0; i < 40; ++i) {
        done += fleet.stateOf("j" + std::to_string(i)) == FleetJobState::Completed ? 1 : 0;
    }
    BOOST_TEST(done >= 38);
}

// Load: a worker goes silent under urgent tasks, some of which allow a second copy.
BOOST_AUTO_TEST_CASE(aTaskThatAllowsCopiesDoesNotWaitForTheLeaseOfASilentWorker)
{
    FakeFleet fleet({});
    auto urgent = step(1, 1000, 4000);
    urgent.allowsCopies = true;
    fleet.submit(fleet.jobWith("copied", {urgent}));
    fleet.run(Millis(300));
    const int lost = fleet.workerOf("copied.0.0.0");
    fleet.setSilent(lost, true);
    const auto at = fleet.now();
    BOOST_TEST(fleet.runUntil(
        [&]() {
            return fleet.beginsOf("copied.0.0.0") == 2;
        },
        Millis(3000)));
    BOOST_TEST((fleet.now() - at).count() < 2200);
    BOOST_TEST(fleet.workerOf("copied.0.0.0") != lost);
    fleet.setSilent(lost, false);
    fleet.run(Millis(6000));
    BOOST_TEST((fleet.stateOf("copied") == FleetJobState::Completed));
    int left = 0;
    for (int i = 0; i < 6; ++i) {
        left += static_cast<int>(fleet.worker(i).runningCount());
    }
    BOOST_TEST(left == 0);
}

// Load: urgent jobs of several short steps, each of which only some workers may run.
BOOST_AUTO_TEST_CASE(adviceForTheNextStepIsThereWhenTheStepBeforeItEnds)
{
    FleetSetting setting;
    setting.adviceDelay = Millis(200);
    FakeFleet fleet(setting);
    fleet.queue.needsAdvice = true;
    fleet.queue.adviceBaseMs = 200;
    fleet.queue.advicePerWorkerMs = 1;
    fleet.queue.ticketValidityMs = 2500;
    auto second = step(3, 1000, 400);
    second.after = {0};
    fleet.submit(fleet.jobWith("check", {step(3, 1000, 600), second}));
    fleet.run(Millis(3000));
    const auto first = fleet.firstBegin("check.0.0.0");
    const auto next = fleet.firstBegin("check.0.1.0");
    BOOST_REQUIRE((first && next));
    BOOST_TEST((*next - *first).count() < 600 + 100);
    BOOST_TEST(fleet.adviceCalls() == 2);
    BOOST_TEST((fleet.stateOf("check") == FleetJobState::Completed));
    BOOST_TEST(fleet.broken().empty());
}

// Load: a rack is partly taken when a step comes whose tasks slow each other down across racks.
BOOST_AUTO_TEST_CASE(aRackLocalStepStaysInOneRackThatHoldsIt)
{
    FakeFleet fleet({});
    auto watch = step(1, 4000, 400);
    watch.isLasting = true;
    watch.requiredLabel = "only-w1";
    fleet.submit(fleet.jobWith("watch", {watch}));
    fleet.run(Millis(500));
    for (const bool isGang : {false, true}) {
        auto local = step(3, 5000, 600);
        local.isRackLocal = true;
        local.isGang = isGang;
        const std::string job = isGang ? "gang" : "local";
        fleet.submit(fleet.jobWith(job, {local}));
        fleet.run(Millis(400));
        for (int i = 0; i < 3; ++i) {
            BOOST_TEST(fleet.workerOf(job + ".0.0." + std::to_string(i)) >= 3);
        }
        fleet.run(Millis(2500));
        BOOST_TEST((fleet.stateOf(job) == FleetJobState::Completed));
    }
    BOOST_TEST(fleet.broken().empty());
}

// Load: starts wait for a store that is down for longer than their tickets hold.
BOOST_AUTO_TEST_CASE(aStartWhoseTicketHasExpiredIsNotSent)
{
    FakeFleet fleet({});
    fleet.queue.needsAdvice = true;
    fleet.queue.adviceBaseMs = 5;
    fleet.queue.advicePerWorkerMs = 1;
    fleet.queue.ticketValidityMs = 2500;
    fleet.submit(fleet.jobWith("check", {step(4, 1000, 400)}));
    fleet.run(Millis(2));
    fleet.setStoreUp(false);
    fleet.run(Millis(3500));
    BOOST_TEST(fleet.begins() == 0);
    fleet.setStoreUp(true);
    fleet.run(Millis(1500));
    BOOST_TEST(fleet.expiredTickets() == 0);
    BOOST_TEST((fleet.stateOf("check") == FleetJobState::Completed));
    BOOST_TEST(fleet.broken().empty());
}

// Load: the store answers slowly for a while; work that was accepted is served, in order and once.
BOOST_AUTO_TEST_CASE(aSlowStoreDelaysButLosesNothing)
{
    FleetSetting setting;
    setting.storeDelay = Millis(620);
    FakeFleet fleet(setting);
    for (int i = 0; i < 10; ++i) {
        fleet.submit(fleet.jobWith("j" + std::to_string(i), {step(3, 1000, 300)}));
    }
    fleet.run(Millis(6000));
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST((fleet.stateOf("j" + std::to_string(i)) == FleetJobState::Completed));
    }
    BOOST_TEST(fleet.begins() == 30);
    BOOST_TEST(fleet.broken().empty());
}

BOOST_AUTO_TEST_SUITE_END()
