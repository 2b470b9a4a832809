#include <boost/test/unit_test.hpp>

#include <set>
#include <utility>

#include "FakeFleet.h"
#include "PlannerScript.h"

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

StepSpec gang(int count, std::int64_t cpu, std::int64_t ms)
{
    auto out = step(count, cpu, ms);
    out.isGang = true;
    return out;
}

StepSpec lasting(int count, std::int64_t cpu, const std::string &label = {})
{
    auto out = step(count, cpu, 400);
    out.isLongRunning = true;
    out.maxPerWorker = 1;
    out.requiredLabel = label;
    return out;
}

FakeFleetOptions fleetOf(int workers, int spareWorkers = 0)
{
    FakeFleetOptions out;
    out.workers = workers;
    out.spareWorkers = spareWorkers;
    return out;
}

void useAdvisor(QueuePolicy &queue)
{
    queue.needsAdvice = true;
    queue.adviceBaseMs = 5;
    queue.advicePerWorkerMs = 1;
    queue.ticketValidityMs = 2500;
}

FleetJobRequest withoutAdvice(FleetJobRequest request)
{
    request.queue.needsAdvice = false;
    request.queue.prefix = "/plain/";
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingSteps)

// Guards against a gang that never starts: the workers that its advisor had named were full for good, and it asked about no others once these had room.
BOOST_AUTO_TEST_CASE(gangStartsOnWorkersThatAreAddedAfterItsAdvisorHasNamedEnough)
{
    FakeFleet fleet(fleetOf(16, 4));
    useAdvisor(fleet.queue);
    fleet.submit(withoutAdvice(fleet.makeJob("watch", {lasting(16, 4500)})));
    fleet.run(Millis(1000));
    fleet.submit(fleet.makeJob("gang", {gang(2, 4000, 500)}));
    fleet.run(Millis(4000));
    BOOST_TEST(!fleet.firstStart("gang.0.0.0"));
    fleet.addWorkers(4);
    fleet.run(Millis(3000));
    BOOST_TEST((fleet.stateOf("gang") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Guards against the same without a new worker: room opens on workers that the gang had not asked about.
BOOST_AUTO_TEST_CASE(gangStartsOnWorkersWhoseLastingTasksAreCancelledAfterItsAdvisorHasNamedEnough)
{
    constexpr int Workers = 48;
    FakeFleet fleet(fleetOf(Workers));
    useAdvisor(fleet.queue);
    std::set<std::string> asked;
    fleet.advisorAllows = [&asked](const std::string & /*step*/, const std::string &worker) {
        asked.insert(worker);
        return true;
    };
    for (int i = 0; i < Workers; ++i) {
        const auto worker = "w" + std::to_string(i);
        fleet.submit(withoutAdvice(fleet.makeJob("watch-" + worker, {lasting(1, 4500, "only-" + worker)})));
    }
    fleet.run(Millis(1000));
    fleet.submit(fleet.makeJob("gang", {gang(2, 4000, 500)}));
    fleet.run(Millis(4000));
    BOOST_REQUIRE(asked.size() < Workers);
    const auto askedFirst = asked;
    for (int i = 0; i < Workers; ++i) {
        const auto worker = "w" + std::to_string(i);
        if (!askedFirst.contains(worker)) {
            fleet.cancel("watch-" + worker);
        }
    }
    fleet.run(Millis(3000));
    BOOST_TEST((fleet.stateOf("gang") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Guards against the same where the advisor allows a few workers only, and a first answer about new ones names none.
BOOST_AUTO_TEST_CASE(gangAsksOnUntilItsAdvisorAllowsWorkersWithRoom)
{
    FakeFleet fleet(fleetOf(8, 20));
    useAdvisor(fleet.queue);
    fleet.advisorAllows = [](const std::string & /*step*/, const std::string &worker) {
        const int number = std::stoi(worker.substr(1));
        return number < 8 || number >= 26;
    };
    fleet.submit(withoutAdvice(fleet.makeJob("watch", {lasting(8, 4500)})));
    fleet.run(Millis(1000));
    fleet.submit(fleet.makeJob("gang", {gang(2, 8000, 500)}));
    fleet.run(Millis(2000));
    fleet.addWorkers(20);
    fleet.run(Millis(4000));
    BOOST_TEST((fleet.stateOf("gang") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a waiting gang that keeps the advisor from steps that could start.
BOOST_AUTO_TEST_CASE(gangThatFindsNoRoomAsksAboutEachWorkerOnce)
{
    FakeFleet fleet(fleetOf(24));
    useAdvisor(fleet.queue);
    fleet.submit(withoutAdvice(fleet.makeJob("watch", {lasting(24, 3000)})));
    fleet.run(Millis(1000));
    fleet.submit(fleet.makeJob("gang", {gang(6, 5000, 500)}));
    // Small tasks fill the rest all the time, so that each worker has room for the gang for moments.
    for (int i = 0; i < 100; ++i) {
        fleet.submit(withoutAdvice(fleet.makeJob("small" + std::to_string(i), {step(12, 2500, 300)})));
        fleet.run(Millis(100));
    }
    BOOST_TEST(fleet.advisedWorkers() <= 24 * 2);
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a gang that holds workers whose room never comes back, and so never those that are free soon.
BOOST_AUTO_TEST_CASE(gangHoldsNoWorkersThatLastingTasksFillForGood)
{
    FakeFleet fleet(fleetOf(16));
    // Long enough that the gang keeps its value while it waits.
    fleet.queue.slackFactor = 20;
    for (const char *rack : {"r0", "r1"}) {
        fleet.submit(fleet.makeJob(std::string("watch-") + rack, {lasting(3, 4200, rack)}));
    }
    fleet.run(Millis(1000));
    auto small = step(10, 4500, 1700);
    small.maxPerWorker = 1;
    int jobs = 0;
    const auto submitSmall = [&]() {
        auto request = fleet.makeJob("small" + std::to_string(jobs++), {small});
        request.queue.priority = 1;
        fleet.submit(request);
        fleet.run(Millis(600));
    };
    for (int i = 0; i < 4; ++i) {
        submitSmall();
    }
    auto wide = gang(2, 4000, 500);
    wide.maxPerWorker = 1;
    const auto at = fleet.now();
    fleet.submit(fleet.makeJob("gang", {wide}));
    for (int i = 0; i < 12; ++i) {
        submitSmall();
    }
    const auto begun = fleet.firstStart("gang.0.0.0");
    BOOST_REQUIRE(begun);
    BOOST_TEST((*begun - at).count() < 6000);
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a gang that waits for room which never comes, and keeps a small job from the only workers that it may use.
BOOST_AUTO_TEST_CASE(gangWithoutEnoughWorkersKeepsNoneFromOtherSteps)
{
    FakeFleet fleet(fleetOf(24));
    fleet.queue.slackFactor = 20;
    for (int rack = 1; rack < 8; ++rack) {
        fleet.submit(fleet.makeJob("watch" + std::to_string(rack), {lasting(3, 4200, "r" + std::to_string(rack))}));
    }
    fleet.run(Millis(1000));
    auto wide = gang(4, 4000, 9600);
    wide.maxPerWorker = 1;
    fleet.submit(fleet.makeJob("gang", {wide}));
    fleet.run(Millis(3000));
    auto small = step(2, 300, 900);
    small.requiredLabel = "r0";
    auto request = fleet.makeJob("small", {small});
    request.queue.priority = 1;
    fleet.submit(request);
    fleet.run(Millis(2500));
    BOOST_TEST((fleet.stateOf("small") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a lasting task that never starts again: its rack had room for its resources, but no worker there might run one more task of the step.
BOOST_AUTO_TEST_CASE(lastingTaskOfARackLocalStepStartsOnAnotherRackIfItsOwnMayRunNoMore)
{
    FakeFleet fleet(fleetOf(9));
    auto watch = lasting(3, 1000);
    watch.isRackLocal = true;
    fleet.submit(fleet.makeJob("watch", {watch}));
    fleet.run(Millis(1500));
    const int lost = fleet.workerOf("watch.0.0.0");
    BOOST_REQUIRE(lost >= 0);
    fleet.setUnresponsive(lost, true);
    fleet.unlistWorker(lost);
    fleet.run(Millis(14000));
    BOOST_TEST(fleet.startsOf("watch.0.0.0") == 2);
    BOOST_TEST(fleet.workerOf("watch.0.0.0") / 3 != lost / 3);
    BOOST_TEST(fleet.violations().empty());
}

// Guards against an urgent task that waits for the room of a run which its worker does not stop, while it could preempt another.
BOOST_AUTO_TEST_CASE(urgentTaskPreemptsAnotherRunIfTheFirstOneIsNotStopped)
{
    PlannerScript script(2);
    auto sweep = step(2, 1000, 60'000);
    sweep.checkpoints = true;
    script.queue.priority = 2;
    script.submitStep("sweep", sweep);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 2U);
    for (const auto &it : script.port.starts) {
        script.planner.handleStartResponse(it, script.done(), script.now);
    }
    const auto listRuns = [&script]() {
        for (int i = 0; i < 2; ++i) {
            const auto &start = script.port.starts[static_cast<std::size_t>(i)];
            script.answerPoll(start.worker.id, {{start.task, start.attempt, {}, 5, 0}});
        }
    };
    listRuns();
    script.queue.priority = 0;
    script.submitStep("urgent", step(1, 1000, 500));
    std::set<std::string> stoppedOn;
    for (int i = 0; i < 80; ++i) {
        script.planAndStore();
        for (const auto &it : std::exchange(script.port.stops, {})) {
            stoppedOn.insert(it.worker.id);
            script.planner.handleStopResponse(it, {WorkerCallOutcome::Unhealthy, 0, "status 503"}, script.now);
        }
        listRuns();
    }
    BOOST_TEST(stoppedOn.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
