#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

const WorkerResponse NoAnswer {};
const WorkerResponse Unhealthy {WorkerCallOutcome::Unhealthy, 0, "status 503"};

// Places the task "j.0.0.0" and returns its start request, which is under way to "w0".
StartRunRequest startTask(PlannerScript &script, bool isLongRunning = false)
{
    StepSpec step;
    step.taskCount = 1;
    step.needs = {500, 500, 0};
    step.estimateMs = 4000;
    step.isLongRunning = isLongRunning;
    script.submitStep("j", step);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    BOOST_REQUIRE_EQUAL(script.port.starts.front().worker.id, "w0");
    return script.port.starts.front();
}

// Lets the timeout of a start request pass.
void loseAnswer(PlannerScript &script, const StartRunRequest &start)
{
    script.advance(Millis(600));
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.advance(Millis(25));
}

// Lets "w0" refuse the repetitions of the start and list nothing until the planner stops the run there, and returns that request.
StopRunRequest awaitStop(PlannerScript &script, std::int64_t startedUnixMs = 1)
{
    const auto before = script.port.stops.size();
    script.refuseRepetitionsUntilStopped("w0", startedUnixMs);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), before + 1);
    return script.port.stops.back();
}

// Reaches the point at which the start on "w0" was not answered, its stop was confirmed, and a second attempt runs on "w1". Only a long-running task starts
// elsewhere while the start may still be carried out.
void moveTask(PlannerScript &script)
{
    loseAnswer(script, startTask(script, true));
    script.planner.handleStopResponse(awaitStop(script), script.done(), script.now);
    // The task would go back to "w0", but that one drains.
    auto entry = script.entry("w0");
    entry.isDraining = true;
    entry.remainingMs = 5000;
    script.planner.workerReported(entry, script.now);
    script.answerPoll("w0", {});
    script.answerPoll("w0", {});
    for (int i = 0; i < 50 && script.port.starts.size() == 1U; ++i) {
        script.advance(Millis(100));
        script.answerPoll("w1", {});
        script.planAndStore();
    }
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_REQUIRE_EQUAL(script.port.starts.back().worker.id, "w1");
    script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
}

// Lets a task that serves and a best-effort task run on "w0", the first of them with a target of 100 ms.
void runServingAndBestEffortTask(PlannerScript &script)
{
    StepSpec serving;
    serving.taskCount = 1;
    serving.needs = {500, 400, 0};
    serving.isLongRunning = true;
    serving.latencyTargetMs = 100;
    StepSpec filling;
    filling.taskCount = 1;
    filling.needs = {500, 400, 0};
    filling.estimateMs = 60'000;
    filling.isBestEffort = true;
    script.submitStep("s", serving);
    script.submitStep("f", filling);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    for (const auto &it : script.port.starts) {
        script.planner.handleStartResponse(it, script.done(), script.now);
    }
    script.advance(Millis(25));
}

// The list of "w0" with both tasks, the first of them with this tail response time.
std::vector<RunningRunInfo> listWithTail(double tailMs)
{
    return {{{"s", 0, 0, 0}, 1, "", 100, tailMs}, {{"f", 0, 0, 0}, 1, "", 10, 500}};
}

bool isStopSent(const PlannerScript &script, const std::string &worker)
{
    return std::any_of(script.port.stops.begin(), script.port.stops.end(), [&](const StopRunRequest &it) {
        return it.worker.id == worker && it.attempt == 1;
    });
}

} // namespace

// What the planner does about a start whose outcome it doesn't know. Guards against a task that runs twice, in each order in which answers may arrive.
BOOST_AUTO_TEST_SUITE(UnansweredStarts)

// Guards against a task that runs twice: the worker restarts, refuses the stop of a start that is under way since before, and then carries out that start.
BOOST_AUTO_TEST_CASE(refusedStopOfAnUnansweredStartIsSentAgainToTheNextIncarnation)
{
    PlannerScript script;
    moveTask(script);
    const auto before = script.port.stops.size();
    script.answerPoll("w0", {}, 2);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), before + 1);
    script.planner.handleStopResponse(script.port.stops.back(), Unhealthy, script.now);
    script.advance(Millis(200));
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), before + 2);
    BOOST_TEST(script.port.stops.back().attempt == 1);
    BOOST_TEST(script.port.stops.back().worker.id == "w0");
    script.planner.handleStopResponse(script.port.stops.back(), script.done(), script.now);
    script.advance(Millis(200));
    BOOST_TEST(script.port.stops.size() == before + 2);
}

// Guards against a task that runs twice: the worker is gone from the platform's list for long, and is back under its id while the start is still under way.
BOOST_AUTO_TEST_CASE(unansweredStartIsRememberedWhileItsWorkerIsNotListed)
{
    PlannerScript script;
    moveTask(script);
    const auto before = script.port.stops.size();
    script.planner.workerUnlisted("w0", script.now);
    script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
    script.now += Millis(8100);
    script.planner.tick(0, script.now);
    script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
    script.advance(Millis(25));
    auto entry = script.entry("w0");
    entry.startedUnixMs = 2;
    script.planner.workerReported(entry, script.now);
    script.advance(Millis(100));
    script.answerPoll("w0", {}, 2);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), before + 1);
    BOOST_TEST(script.port.stops.back().attempt == 1);
}

// Guards against a task that runs twice: only the incarnation that has ended had confirmed the stop, and the next one carries the start out.
BOOST_AUTO_TEST_CASE(stopConfirmedByAnEarlierIncarnationDoesNotProveThatTheRunIsGone)
{
    PlannerScript script;
    loseAnswer(script, startTask(script));
    const auto stop = awaitStop(script);
    script.answerPoll("w0", {}, 2);
    script.planner.handleStopResponse(stop, script.done(), script.now);
    script.advance(Millis(200));
    script.answerPoll("w0", {}, 2);
    script.answerPoll("w0", {}, 2);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_REQUIRE_GE(script.port.stops.size(), 2U);
    script.planner.handleStopResponse(script.port.stops.back(), script.done(), script.now);
    script.answerPoll("w0", {}, 2);
    script.answerPoll("w0", {}, 2);
    auto entry = script.entry("w0");
    entry.startedUnixMs = 2;
    script.planner.workerReported(entry, script.now);
    script.advance(Millis(500));
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().worker.id == "w0");
}

// Guards against a task that runs twice: the worker restarts before the answer to its start is known, and the request is carried out once more afterwards.
BOOST_AUTO_TEST_CASE(startConfirmedByAnEarlierIncarnationIsStoppedInTheNextOneBeforeTheTaskMoves)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.advance(Millis(25));
    script.answerPoll("w0", {}, 2);
    auto answer = script.done();
    answer.sendings = 2;
    script.planner.handleStartResponse(start, answer, script.now);
    script.advance(Millis(25));
    script.answerPoll("w0", {}, 2);
    script.answerPoll("w0", {}, 2);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.stops.size() == 1U);
}

// Guards against a task that runs twice: leases granted by the clock of an incarnation that has ended are cut to the longest lease, which outlasts the
// planner's estimate.
BOOST_AUTO_TEST_CASE(clockOfAnEarlierIncarnationDoesNotMoveTheLeasesOfTheNextOne)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.advance(Millis(25));
    auto list = script.list({});
    list.startedUnixMs = 2;
    list.workerClockMs = 50;
    script.planner.handlePollResponse(script.lastPoll("w0"), list, script.now);
    script.planner.handleStartResponse(start, script.done(), script.now);
    script.advance(Millis(25));
    // The first poll under a higher fencing token than that of the start grants no lease.
    list.workerClockMs += 25;
    script.planner.handlePollResponse(script.lastPoll("w0"), list, script.now);
    script.advance(Millis(25));
    const auto poll = script.lastPoll("w0");
    BOOST_TEST(poll.leaseUntilMs > 0);
    BOOST_TEST(poll.leaseUntilMs <= list.workerClockMs + 25 + PlannerLimits {}.lease.count());
}

// Guards against a task that starts again after it is done: a call that was sent twice and confirmed once may be carried out once more, by the next
// incarnation.
BOOST_AUTO_TEST_CASE(startThatWasSentTwiceAndConfirmedIsStoppedInTheNextIncarnation)
{
    PlannerScript script;
    const auto start = startTask(script);
    auto answer = script.done();
    answer.sendings = 2;
    script.planner.handleStartResponse(start, answer, script.now);
    script.advance(Millis(25));
    script.answerPoll("w0", {{start.task, 1, "", 10, 0}});
    script.answerPoll("w0", {}, 2);
    script.advance(Millis(25));
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
    BOOST_TEST(script.port.stops.back().attempt == 1);
}

// Guards against a task that starts again after it is done: its end is listed before its start request counts as not answered.
BOOST_AUTO_TEST_CASE(unansweredStartOfARunThatHasEndedIsStoppedInTheNextIncarnation)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.advance(Millis(25));
    auto list = script.list({});
    list.ended.push_back({1, start.task, 1, RunEnd::Done, ""});
    script.planner.handlePollResponse(script.lastPoll("w0"), list, script.now);
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.advance(Millis(400));
    script.answerPoll("w0", {}, 2);
    script.advance(Millis(25));
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
    BOOST_TEST(script.port.stops.back().attempt == 1);
}

// Guards against a task that waits for up to two seconds, each time until its worker answers a poll that waits for an end of some run.
BOOST_AUTO_TEST_CASE(listsAreRequestedWithoutAWaitWhileAStartIsUnanswered)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.answerPoll("w0", {});
    BOOST_TEST(script.lastPoll("w0").wait == Millis(0));
    script.answerPoll("w0", {{start.task, 1, "", 5, 0}});
    BOOST_TEST(script.lastPoll("w0").wait > Millis(0));
}

// Guards against a task that stands still for good: the request that paced it to 0 percent was carried out, but its answer was lost.
BOOST_AUTO_TEST_CASE(runWhoseThrottleWasNotAnsweredIsSpedUpAgain)
{
    PlannerScript script(1);
    runServingAndBestEffortTask(script);
    script.answerPoll("w0", listWithTail(95));
    BOOST_REQUIRE_EQUAL(script.port.throttles.size(), 1U);
    BOOST_TEST(script.port.throttles.back().percent == 0);
    script.planner.handleThrottleResponse(script.port.throttles.back(), NoAnswer, script.now);
    script.advance(Millis(1000));
    script.answerPoll("w0", listWithTail(20));
    BOOST_REQUIRE_EQUAL(script.port.throttles.size(), 2U);
    BOOST_TEST(script.port.throttles.back().percent > 0);
}

// Guards against a task that disturbs others for good: an unanswered throttle is carried out after a newer one.
BOOST_AUTO_TEST_CASE(throttleIsRepeatedWhileAnEarlierOneMayStillBeCarriedOut)
{
    PlannerScript script(1);
    runServingAndBestEffortTask(script);
    script.answerPoll("w0", listWithTail(95));
    BOOST_REQUIRE_EQUAL(script.port.throttles.size(), 1U);
    script.planner.handleThrottleResponse(script.port.throttles.back(), script.done(), script.now);
    script.advance(Millis(1000));
    script.answerPoll("w0", listWithTail(20));
    BOOST_REQUIRE_EQUAL(script.port.throttles.size(), 2U);
    BOOST_REQUIRE_EQUAL(script.port.throttles.back().percent, 25);
    // The request for 25 percent is under way for long and gets no answer.
    script.planner.handleThrottleResponse(script.port.throttles.back(), NoAnswer, script.now);
    script.advance(Millis(200));
    script.answerPoll("w0", listWithTail(95));
    BOOST_REQUIRE_EQUAL(script.port.throttles.size(), 3U);
    BOOST_REQUIRE_EQUAL(script.port.throttles.back().percent, 0);
    script.planner.handleThrottleResponse(script.port.throttles.back(), script.done(), script.now);
    // The request for 25 percent is carried out only now, and the tail stays high.
    for (int i = 0; i < 100; ++i) {
        script.advance(Millis(100));
        script.answerPoll("w0", listWithTail(95));
    }
    BOOST_TEST(script.port.throttles.size() > 3U);
}

// Guards against a task that stands still for good: the first sending of a throttle that was sent twice is carried out last.
BOOST_AUTO_TEST_CASE(throttleThatWasSentTwiceIsNotTrusted)
{
    PlannerScript script(1);
    runServingAndBestEffortTask(script);
    script.answerPoll("w0", listWithTail(95));
    auto twice = script.done();
    twice.sendings = 2;
    script.planner.handleThrottleResponse(script.port.throttles.back(), twice, script.now);
    for (int i = 0; i < 8; ++i) {
        script.advance(Millis(750));
        const auto before = script.port.throttles.size();
        script.answerPoll("w0", listWithTail(20));
        if (script.port.throttles.size() > before) {
            script.planner.handleThrottleResponse(script.port.throttles.back(), script.done(), script.now);
        }
    }
    BOOST_REQUIRE_EQUAL(script.port.throttles.back().percent, 100);
    // The first sending of the request for 0 percent is carried out only now, 5 s later. The task makes no progress from here on.
    const auto before = script.port.throttles.size();
    for (int i = 0; i < 300; ++i) {
        script.advance(Millis(100));
        script.answerPoll("w0", listWithTail(20));
    }
    BOOST_TEST(script.port.throttles.size() > before);
}

// Guards against a task that runs twice: its start was under way when the worker was replaced, and is carried out when the worker is back.
BOOST_AUTO_TEST_CASE(startUnderWayAtAReplacementIsStoppedWhenTheWorkerIsBack)
{
    PlannerScript script;
    const auto start = startTask(script);
    PollWorkerResponse other;
    other.outcome = WorkerCallOutcome::OtherIncarnation;
    script.planner.handlePollResponse(script.lastPoll("w0"), other, script.now);
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 2U);
    script.advance(Millis(1100));
    auto entry = script.entry("w0");
    entry.startedUnixMs = 2;
    script.planner.workerReported(entry, script.now);
    script.advance(Millis(25));
    script.answerPoll("w0", {}, 2);
    script.advance(Millis(200));
    BOOST_TEST(isStopSent(script, "w0"));
}

// Guards against the same for a repetition of the start.
BOOST_AUTO_TEST_CASE(repeatedStartUnderWayAtAReplacementIsStoppedWhenTheWorkerIsBack)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.advance(Millis(45));
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    // The repetition is under way, and the worker is replaced: the run is lost and its task moves.
    PollWorkerResponse other;
    other.outcome = WorkerCallOutcome::OtherIncarnation;
    script.planner.handlePollResponse(script.lastPoll("w0"), other, script.now);
    script.planner.handleStartResponse(script.port.starts.back(), NoAnswer, script.now);
    script.advance(Millis(1100));
    auto entry = script.entry("w0");
    entry.startedUnixMs = 2;
    script.planner.workerReported(entry, script.now);
    script.advance(Millis(25));
    script.answerPoll("w0", {}, 2);
    script.advance(Millis(200));
    BOOST_TEST(isStopSent(script, "w0"));
}

BOOST_AUTO_TEST_SUITE_END()
