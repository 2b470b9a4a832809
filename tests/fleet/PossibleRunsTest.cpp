#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

const WorkerResponse NoAnswer {};
constexpr std::int64_t Reborn = 2;

// Two tasks of which one worker may run only one, and has room for both.
StepSpec spreadStep(int taskCount)
{
    StepSpec out;
    out.taskCount = taskCount;
    out.needs = {300, 300, 0};
    out.estimateMs = 4000;
    out.maxPerWorker = 1;
    return out;
}

// Plans and stores, with something that happens while the record of the decisions is being stored.
template<typename Happening>
void planAndStoreWhile(PlannerScript &script, const Happening &happening)
{
    script.confirm();
    script.planner.plan(script.now);
    const auto batch = script.planner.takeBatch(script.now);
    happening();
    script.confirm();
    script.planner.batchStored(batch.number, script.now);
}

// Lets the start request under way to "w0" go unanswered and its repetitions be refused, its stop be confirmed, and "w0" list nothing.
void giveUpStart(PlannerScript &script)
{
    const auto start = script.port.starts.back();
    BOOST_REQUIRE_EQUAL(start.worker.id, "w0");
    script.advance(Millis(600));
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.refuseRepetitionsUntilStopped("w0");
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
    script.planner.handleStopResponse(script.port.stops.back(), script.done(), script.now);
    script.answerPoll("w0", {});
    script.answerPoll("w0", {});
    // The worker is avoided for a moment after a request without an answer.
    script.advance(Millis(500));
    script.answerPoll("w0", {});
}

} // namespace

// What may run on a worker, beside what the planner has placed there: runs that it does not know, and starts that are carried out late.
BOOST_AUTO_TEST_SUITE(PossibleRuns)

// Guards against a start on a worker of another service: while the decision was being stored, the worker started again as another kind.
BOOST_AUTO_TEST_CASE(startIsNotSentToAWorkerThatBecameAnotherKind)
{
    PlannerScript script(1);
    script.submit("j", 1000);
    planAndStoreWhile(script, [&script]() {
        auto entry = script.entry("w0");
        entry.service = "other";
        entry.startedUnixMs = Reborn;
        script.planner.workerReported(entry, script.now);
    });
    BOOST_TEST(script.port.starts.empty());
}

// Guards against a start on a worker that was reported as draining while the decision was being stored.
BOOST_AUTO_TEST_CASE(startIsNotSentToAWorkerThatDrains)
{
    PlannerScript script(1);
    script.submit("j", 1000);
    planAndStoreWhile(script, [&script]() {
        auto entry = script.entry("w0");
        entry.isDraining = true;
        script.planner.workerReported(entry, script.now);
    });
    BOOST_TEST(script.port.starts.empty());
}

// Guards against too many tasks of a step on one worker: the worker lists one that the planner does not know while the decision is being stored.
BOOST_AUTO_TEST_CASE(startIsNotSentBesideAnUnknownRunOfItsStep)
{
    PlannerScript script(1);
    script.submitStep("j", spreadStep(2));
    planAndStoreWhile(script, [&script]() {
        script.answerPoll("w0", {{{"j", 0, 0, 1}, 7, {}, 1, 0}});
    });
    BOOST_TEST(script.port.starts.empty());
}

// Guards against two runs of one task: a start that was given up is carried out by the next incarnation of its worker while the task runs elsewhere.
BOOST_AUTO_TEST_CASE(taskGoesBackToTheIncarnationOnWhichItsStartWasGivenUp)
{
    for (const int workers : {1, 2}) {
        PlannerScript script(workers);
        script.submitStep("j", spreadStep(1));
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
        giveUpStart(script);
        if (workers == 2) {
            script.answerPoll("w1", {});
        }
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
        BOOST_TEST(script.port.starts.back().worker.id == "w0");
    }
}

// Guards against two runs of one task: it moves to another worker, and the one on which its start was given up restarts and carries that start out.
BOOST_AUTO_TEST_CASE(taskWaitsWhileTheWorkerOfItsGivenUpStartCannotTakeItBack)
{
    for (const bool isFull : {true, false}) {
        PlannerScript script;
        script.submitStep("j", spreadStep(1));
        script.planAndStore();
        giveUpStart(script);
        auto entry = script.entry("w0");
        entry.isDraining = !isFull;
        entry.capacity = isFull ? FleetResources {200, 200, 0} : entry.capacity;
        script.planner.workerReported(entry, script.now);
        // It may be carried out for 13 s, of which about one has passed.
        for (int i = 0; i < 11; ++i) {
            script.advance(Millis(1000));
            script.answerPoll("w0", {});
            script.answerPoll("w1", {});
            script.planAndStore();
            BOOST_TEST(script.port.starts.size() == 1U);
        }
        script.advance(Millis(2000));
        script.answerPoll("w1", {});
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
        BOOST_TEST(script.port.starts.back().worker.id == "w1");
    }
}

// Guards against two runs of one task: others take the room on the worker to which a task has to go back.
BOOST_AUTO_TEST_CASE(taskThatGoesBackIsPlacedBeforeMoreUrgentOnes)
{
    PlannerScript script;
    script.queue.priority = 1;
    script.submit("j", 4000);
    script.planAndStore();
    giveUpStart(script);
    script.answerPoll("w1", {});
    script.queue.priority = 0;
    for (const auto *id : {"k", "l", "m"}) {
        script.submit(id, 4000);
    }
    script.planAndStore();
    const auto &starts = script.port.starts;
    const auto it = std::find_if(starts.begin() + 1, starts.end(), [](const auto &start) {
        return start.task.job == "j";
    });
    BOOST_REQUIRE(it != starts.end());
    BOOST_TEST(it->worker.id == "w0");
}

// Guards against two runs of one task: a worker on which a start was given up falls silent, restarts, and carries that start out.
BOOST_AUTO_TEST_CASE(taskWaitsWhileItsGivenUpStartMayBeCarriedOut)
{
    PlannerScript script;
    script.submitStep("j", spreadStep(1));
    script.planAndStore();
    giveUpStart(script);
    script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
    script.answerPoll("w1", {});
    // It may be carried out for 13 s, of which one has passed.
    for (int i = 0; i < 11; ++i) {
        script.advance(Millis(1000));
        script.answerPoll("w1", {});
        script.planAndStore();
        BOOST_TEST(script.port.starts.size() == 1U);
    }
    script.advance(Millis(2000));
    script.answerPoll("w1", {});
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().worker.id == "w1");
}

// Guards against a long-running task that has no run for more than 6 s, because its worker is silent: its wait for a start that was given up is shorter.
BOOST_AUTO_TEST_CASE(longRunningTaskWaitsForAFewSecondsOnly)
{
    PlannerScript script;
    auto step = spreadStep(1);
    step.isLongRunning = true;
    script.submitStep("j", step);
    script.planAndStore();
    giveUpStart(script);
    const auto givenUpAt = script.now;
    script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    while (script.port.starts.size() == 1U && script.now - givenUpAt < Millis(5000)) {
        script.advance(Millis(100));
        script.answerPoll("w1", {});
        script.planAndStore();
    }
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().worker.id == "w1");
}

// Guards against two runs of one task: the worker on which a start was given up restarts while the decision to start the task elsewhere is being stored.
BOOST_AUTO_TEST_CASE(startIsNotSentWhenAnEarlierOneMayBeCarriedOutAgain)
{
    PlannerScript script;
    script.submitStep("j", spreadStep(1));
    script.planAndStore();
    giveUpStart(script);
    auto entry = script.entry("w0");
    entry.isDraining = true;
    script.planner.workerReported(entry, script.now);
    script.advance(Millis(1000));
    script.answerPoll("w1", {});
    planAndStoreWhile(script, [&script]() {
        script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
    });
    BOOST_TEST(script.port.starts.size() == 1U);
}

// Guards against too many tasks of a step on a worker: beside another one, its next incarnation carries out a start that was given up there.
BOOST_AUTO_TEST_CASE(otherTasksOfTheStepArePlacedRatherWhereNoStartWasGivenUp)
{
    PlannerScript script;
    auto step = spreadStep(1);
    step.maxPerWorker = 2;
    step.taskCount = 2;
    script.submitStep("j", step);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    const auto other = script.port.starts.front();
    script.planner.handleStartResponse(other, {WorkerCallOutcome::NoRoom, 0, ""}, script.now);
    giveUpStart(script);
    script.answerPoll("w1", {});
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 4U);
    for (auto it = script.port.starts.begin() + 2; it != script.port.starts.end(); ++it) {
        BOOST_TEST(it->worker.id == (it->task == other.task ? "w1" : "w0"));
    }
}

// Guards against too little room or too many tasks of a step on a worker that has restarted and may carry out a start that its last incarnation was sent.
BOOST_AUTO_TEST_CASE(nothingStartsOnARestartedWorkerBeforeAnOwedStopIsConfirmed)
{
    PlannerScript script(1);
    script.submit("j", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    giveUpStart(script);
    script.planner.jobCancelled("j", script.now);
    auto entry = script.entry("w0");
    entry.startedUnixMs = Reborn;
    script.answerPoll("w0", {}, Reborn);
    script.planner.workerReported(entry, script.now);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 2U);
    // The owed stop is all that the new incarnation waits for.
    script.answerPoll("w0", {}, Reborn);
    script.submit("other", 1000);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    script.planner.handleStopResponse(script.port.stops.back(), script.done(), script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 2U);
}

// Guards against two runs of one task: the worker to which the previous leader sent a start restarts, and carries it out.
BOOST_AUTO_TEST_CASE(startOfThePreviousLeaderIsStoppedWhenItsWorkerRestarts)
{
    for (const bool isListedInBetween : {false, true}) {
        PlannerScript script(0);
        FleetPlanner planner(script.port, script.events, PlannerLimits {}, 8, script.now);
        FleetJobRequest request;
        request.id = "j";
        request.queue = script.queue;
        request.steps.push_back(spreadStep(1));
        planner.restoreJob(request, 0, script.now);
        planner.restoreProgress({"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}, 0}, script.now);
        planner.confirmLeadership(script.now, script.now);
        planner.startPlanning(script.now);
        planner.workerReported(script.entry("w0"), script.now);
        planner.tick(0, script.now);
        if (isListedInBetween) {
            planner.handlePollResponse(script.lastPoll("w0"), script.list({}), script.now);
            script.now += Millis(25);
            planner.tick(0, script.now);
        }
        auto list = script.list({});
        list.startedUnixMs = Reborn;
        planner.handlePollResponse(script.lastPoll("w0"), list, script.now);
        planner.tick(0, script.now);
        BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
        BOOST_TEST(script.port.stops.back().task.toString() == "j.0.0.0");
        BOOST_TEST(script.port.stops.back().attempt == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
