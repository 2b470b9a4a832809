#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

const WorkerResponse NoAnswer {};
constexpr Millis LongestRetryDelay {400};

// Lets the channel of the start request of "j.0.0.0" on "w0" break, so that its outcome is not known.
StartRunRequest breakStart(PlannerScript &script)
{
    script.submit("j", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    const auto start = script.port.starts.front();
    BOOST_REQUIRE_EQUAL(start.worker.id, "w0");
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    return start;
}

// Moves time on in steps, so that polls of "w0" are answered with empty lists and what is due is sent.
void passTime(PlannerScript &script, Millis time, std::int64_t startedUnixMs = 1)
{
    constexpr Millis Step {25};
    for (Millis passed {0}; passed < time; passed += Step) {
        script.advance(Step);
        script.answerPoll("w0", {}, startedUnixMs);
        script.planAndStore();
    }
}

} // namespace

// A start request whose outcome is not known is sent again to the same worker, before the task is stopped there and moved.
BOOST_AUTO_TEST_SUITE(RepeatedStarts)

BOOST_AUTO_TEST_CASE(startIsRepeatedWithTheSameAttemptAndANewLease)
{
    PlannerScript script;
    const auto start = breakStart(script);
    passTime(script, Millis(50));
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    const auto &again = script.port.starts.back();
    BOOST_TEST(again.worker.id == start.worker.id);
    BOOST_TEST(again.attempt == start.attempt);
    BOOST_TEST(again.leaseUntilMs > start.leaseUntilMs);
    script.planner.handleStartResponse(again, script.done(), script.now);
    script.answerPoll("w0", {{start.task, 1, "", 5, 0}});
    script.advance(Millis(1000));
    BOOST_TEST(script.port.starts.size() == 2U);
    BOOST_TEST(script.port.stops.empty());
}

// Guards against two runs at once: several starts of a task that timed out, each under an attempt of its own, are carried out late by the next incarnation.
BOOST_AUTO_TEST_CASE(startThatTimesOutAgainAndAgainIsRepeatedWithTheSameAttempt)
{
    constexpr int Timeouts = 8;
    PlannerScript script;
    script.submit("j", 4000);
    script.planAndStore();
    for (int i = 0; i < Timeouts; ++i) {
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), static_cast<std::size_t>(i) + 1);
        BOOST_TEST(script.port.starts.back().worker.id == "w0");
        BOOST_TEST(script.port.starts.back().attempt == 1);
        passTime(script, Millis(600));
        script.planner.handleStartResponse(script.port.starts.back(), NoAnswer, script.now);
        passTime(script, LongestRetryDelay);
    }
    BOOST_TEST(script.port.stops.empty());
}

// Guards against a task that runs twice: the worker has carried out the first request, refuses the others, and lists the run late.
BOOST_AUTO_TEST_CASE(refusalOfARepeatedStartProvesNothingAboutTheFirst)
{
    for (const auto outcome : {WorkerCallOutcome::Unhealthy,
                               WorkerCallOutcome::Stale,
                               WorkerCallOutcome::Late,
                               WorkerCallOutcome::NoRoom,
                               WorkerCallOutcome::NoTicket,
                               WorkerCallOutcome::OtherIncarnation,
                               WorkerCallOutcome::Invalid,
                               WorkerCallOutcome::Unsent}) {
        PlannerScript script;
        breakStart(script);
        script.advance(Millis(50));
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
        script.planner.handleStartResponse(script.port.starts.back(), {outcome, 0, ""}, script.now);
        script.planAndStore();
        BOOST_TEST(script.planner.runCount() == 1U, nameOf(outcome));
        script.advance(Millis(25));
        script.planAndStore();
        BOOST_TEST(script.port.starts.size() == 2U, nameOf(outcome));
    }
}

BOOST_AUTO_TEST_CASE(startIsRepeatedAFewTimesAndThenStoppedBeforeTheTaskStartsAgain)
{
    PlannerScript script;
    breakStart(script);
    for (int i = 0; i < 20 && script.port.stops.empty(); ++i) {
        const auto sent = script.port.starts.size();
        passTime(script, Millis(25));
        if (script.port.starts.size() > sent) {
            BOOST_TEST(script.port.starts.back().worker.id == "w0");
            script.planner.handleStartResponse(script.port.starts.back(), {WorkerCallOutcome::Unhealthy, 0, "status 503"}, script.now);
        }
    }
    BOOST_TEST(script.port.starts.size() == 4U);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
    script.planner.handleStopResponse(script.port.stops.back(), script.done(), script.now);
    passTime(script, Millis(400));
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 5U);
    BOOST_TEST(script.port.starts.back().worker.id == "w0");
    BOOST_TEST(script.port.starts.back().attempt == 2);
}

BOOST_AUTO_TEST_CASE(startOfARunThatIsListedIsNotRepeated)
{
    PlannerScript script;
    const auto start = breakStart(script);
    script.advance(Millis(25));
    script.answerPoll("w0", {{start.task, 1, "", 5, 0}});
    script.advance(LongestRetryDelay);
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.stops.empty());
}

BOOST_AUTO_TEST_CASE(startOfACancelledJobIsNotRepeated)
{
    PlannerScript script;
    breakStart(script);
    script.planner.jobCancelled("j", script.now);
    BOOST_TEST(script.port.stops.size() == 1U);
    passTime(script, LongestRetryDelay);
    BOOST_TEST(script.port.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(startIsNotRepeatedOnADrainingWorker)
{
    PlannerScript script;
    breakStart(script);
    auto entry = script.entry("w0");
    entry.isDraining = true;
    entry.remainingMs = 5000;
    script.planner.workerReported(entry, script.now);
    passTime(script, LongestRetryDelay);
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.stops.size() >= 1U);
}

// The lease of a worker that may be gone must not be renewed.
BOOST_AUTO_TEST_CASE(startIsNotRepeatedOnAWorkerThatDoesNotAnswerPolls)
{
    PlannerScript script;
    breakStart(script);
    script.advance(Millis(25));
    script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
    script.advance(LongestRetryDelay);
    BOOST_TEST(script.port.starts.size() == 1U);
}

// The new incarnation may be of another kind, and the run may have been carried out there already.
BOOST_AUTO_TEST_CASE(startIsNotRepeatedOnARestartedWorker)
{
    PlannerScript script;
    breakStart(script);
    script.advance(Millis(25));
    script.answerPoll("w0", {}, 2);
    passTime(script, LongestRetryDelay, 2);
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.stops.size() >= 1U);
}

BOOST_AUTO_TEST_CASE(startIsNotRepeatedWithATicketThatHasExpired)
{
    PlannerScript script(1);
    script.queue.needsAdvice = true;
    script.queue.ticketValidityMs = 300;
    script.planner.addAdvisorProxy("h0");
    script.submit("j", 4000);
    script.planner.plan(script.now);
    BOOST_REQUIRE_EQUAL(script.port.advice.size(), 1U);
    AdviceResponse advice;
    advice.isAnswered = true;
    advice.allowed.push_back({"w0", "ticket"});
    script.planner.handleAdviceResponse(script.port.advice.back(), advice, script.now);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    script.planner.handleStartResponse(script.port.starts.back(), NoAnswer, script.now);
    script.advance(LongestRetryDelay);
    BOOST_TEST(script.port.starts.size() == 1U);
}

// Guards against a repetition that grants a lease after another process may have taken over.
BOOST_AUTO_TEST_CASE(startIsNotRepeatedWhenLeadershipIsNotConfirmed)
{
    PlannerScript script;
    breakStart(script);
    script.isCutFromLog = true;
    script.now += PlannerLimits {}.leadershipBound - Millis(1);
    script.submit("k", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    const auto start = script.port.starts.back();
    script.planner.handleStartResponse(start, NoAnswer, script.now);
    script.advance(Millis(100));
    BOOST_TEST(script.port.starts.size() == 2U);
    script.isCutFromLog = false;
    script.advance(Millis(100));
    BOOST_TEST(script.port.starts.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
