#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// Reaches the point at which the task "j.0.0.0" has a start request under way.
StartRunRequest startTask(PlannerScript &script)
{
    script.submit("j", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    return script.port.starts.front();
}

// Reaches the point at which the task runs and the next poll of its worker is under way.
StartRunRequest runTask(PlannerScript &script)
{
    const auto start = startTask(script);
    script.planner.handleStartResponse(start, script.done(), script.now);
    script.advance(Millis(25));
    return start;
}

} // namespace

// What answers of workers prove, in each order in which they may arrive. Guards against work that is started again elsewhere while it still runs.
BOOST_AUTO_TEST_SUITE(Evidence)

// The worker made the list before it carried out the start, and both answers arrive within one millisecond.
BOOST_AUTO_TEST_CASE(listUnderWayWithTheAnswerToAStartDoesNotProveThatTheRunIsGone)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.advance(Millis(25));
    const auto poll = script.lastPoll(start.worker.id);
    script.planner.handleStartResponse(start, script.done(), script.now);
    script.planner.handlePollResponse(poll, script.list({}), script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.planner.runCount() == 1U);
}

BOOST_AUTO_TEST_CASE(listRequestedAfterTheAnswerToAStartProvesThatTheRunIsGone)
{
    PlannerScript script;
    const auto start = runTask(script);
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), script.list({}), script.now);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().attempt == 2);
}

// The start request has timed out, and its repetitions were refused. It is carried out just before the stop; the list was made before both.
BOOST_AUTO_TEST_CASE(listUnderWayWithTheAnswerToAStopDoesNotProveThatTheRunIsGone)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.advance(Millis(600));
    script.planner.handleStartResponse(start, {}, script.now);
    script.refuseRepetitionsUntilStopped(start.worker.id);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
    script.advance(Millis(25));
    const auto poll = script.lastPoll(start.worker.id);
    script.planner.handleStopResponse(script.port.stops.front(), script.done(), script.now);
    script.planner.handlePollResponse(poll, script.list({}), script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.planner.runCount() == 1U);
    script.advance(Millis(25));
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), script.list({}), script.now);
    BOOST_TEST(script.planner.runCount() == 0U);
    // The task goes back to its worker, which is avoided for a moment after a request without an answer.
    script.advance(Millis(400));
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 2U);
}

// A worker lists only so many ended runs at a time, and none behind a malformed one.
BOOST_AUTO_TEST_CASE(incompleteListDoesNotProveThatARunIsGone)
{
    PlannerScript script;
    const auto start = runTask(script);
    auto list = script.list({});
    list.isComplete = false;
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), list, script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
}

// The planner's process is paused while lists of the worker are under way.
BOOST_AUTO_TEST_CASE(pauseOfThePlannerDoesNotMakeARunLookStuck)
{
    PlannerScript script;
    const auto start = runTask(script);
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), script.list({{start.task, 1, "", 10, 0}}), script.now);
    script.now += Millis(4000);
    script.planner.tick(0, script.now);
    BOOST_TEST(script.port.stops.empty());
}

// The worker's machine is suspended, so neither its clock nor its runs advance, and it lists them again when it resumes.
BOOST_AUTO_TEST_CASE(pauseOfTheWorkerDoesNotMakeARunLookStuck)
{
    PlannerScript script;
    const auto start = runTask(script);
    auto list = script.list({{start.task, 1, "", 10, 0}});
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), list, script.now);
    script.advance(Millis(25));
    script.now += Millis(4000);
    list.workerClockMs += 50;
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), list, script.now);
    script.planner.tick(0, script.now);
    BOOST_TEST(script.port.stops.empty());
}

BOOST_AUTO_TEST_CASE(runWithoutProgressOnTheWorkersClockIsStopped)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.planner.handleStartResponse(start, script.done(), script.now);
    for (int i = 0; i < 4; ++i) {
        script.advance(Millis(950));
        script.planner.handlePollResponse(script.lastPoll(start.worker.id), script.list({{start.task, 1, "", 10, 0}}), script.now);
    }
    script.planner.tick(0, script.now);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
}

// Another writer leaves an entry with a later start time under the id of a worker that goes on.
BOOST_AUTO_TEST_CASE(entryAloneDoesNotProveThatAWorkerHasRestarted)
{
    PlannerScript script;
    const auto start = runTask(script);
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), script.list({{start.task, 1, "", 5, 0}}), script.now);
    auto entry = script.entry(start.worker.id);
    entry.startedUnixMs += 1000;
    script.planner.workerReported(entry, script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    const auto poll = script.lastPoll(start.worker.id);
    BOOST_TEST(poll.acknowledged == 0);
    script.planner.handlePollResponse(poll, script.list({{start.task, 1, "", 10, 0}}), script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.stops.empty());
}

// A poll that acknowledges ends of the old incarnation is under way. If it arrived at the new one after runs had ended there, it would delete their ends.
BOOST_AUTO_TEST_CASE(nothingStartsOnARestartedWorkerWhileAPollOfItsOldIncarnationIsUnderWay)
{
    PlannerScript script(1);
    script.advance(Millis(25));
    const auto earlierPoll = script.lastPoll("w0");
    auto entry = script.entry("w0");
    entry.startedUnixMs += 1000;
    script.planner.workerReported(entry, script.now);
    const auto poll = script.lastPoll("w0");
    BOOST_TEST(poll.sequence > earlierPoll.sequence);
    BOOST_TEST(poll.acknowledged == 0);
    auto list = script.list({});
    list.startedUnixMs = entry.startedUnixMs;
    script.planner.handlePollResponse(poll, list, script.now);
    script.submit("j", 1000);
    script.planAndStore();
    BOOST_TEST(script.port.starts.empty());
    script.planner.handlePollResponse(earlierPoll, {}, script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(listOfALaterIncarnationEndsTheRunsOfTheEarlierOne)
{
    PlannerScript script;
    const auto start = runTask(script);
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), script.list({{start.task, 1, "", 10, 0}}), script.now);
    auto entry = script.entry(start.worker.id);
    entry.startedUnixMs += 1000;
    script.planner.workerReported(entry, script.now);
    auto list = script.list({});
    list.startedUnixMs = entry.startedUnixMs;
    script.planner.handlePollResponse(script.lastPoll(start.worker.id), list, script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 2U);
}

// An entry names the address of another worker, which would refuse every call.
BOOST_AUTO_TEST_CASE(entryThatContradictsTheWorkerIsIgnored)
{
    PlannerScript script;
    const auto start = startTask(script);
    script.planner.handleStartResponse(start, script.done(), script.now);
    auto entry = script.entry(start.worker.id);
    entry.port += 1;
    script.planner.workerReported(entry, script.now);
    script.advance(Millis(25));
    BOOST_TEST(script.lastPoll(start.worker.id).worker.port == entry.port - 1);
    BOOST_TEST(script.planner.runCount() == 1U);
}

BOOST_AUTO_TEST_CASE(workerWithAnUnreadableEntryKeepsItsRunsAndGetsNoNewOnes)
{
    PlannerScript script(1);
    const auto start = startTask(script);
    script.planner.handleStartResponse(start, script.done(), script.now);
    script.planner.workerEntryUnreadable(start.worker.id, script.now);
    script.submit("k", 1000);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    BOOST_TEST(script.planner.runCount() == 1U);
    script.planner.workerReported(script.entry(start.worker.id), script.now);
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
