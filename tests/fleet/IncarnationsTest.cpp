#include <boost/test/unit_test.hpp>

#include <random>

#include "FakeFleet.h"
#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

const WorkerResponse NoAnswer {};
const PollWorkerResponse NoList {};
constexpr std::int64_t Reborn = 2;

bool isBinding(const PollWorkerRequest &poll)
{
    return poll.acknowledged > 0 || poll.leaseUntilMs > 0;
}

// Lets "w0" list a run that ended, and its end be stored, so that the polls that follow acknowledge it.
void storeOneEnd(PlannerScript &script)
{
    script.submit("done", 1000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
    auto answer = script.list({});
    answer.ended.push_back({1, {"done", 0, 0, 0}, 1, RunEnd::Done, {}});
    script.planner.handlePollResponse(script.lastPoll("w0"), answer, script.now);
    script.planAndStore();
    script.advance(Millis(300));
    BOOST_REQUIRE_EQUAL(script.lastPoll("w0").acknowledged, 1);
    BOOST_REQUIRE(script.lastPoll("w0").leaseUntilMs > 0);
}

// Lets the entry of "w0" tell of the next incarnation, and that incarnation answer the poll under way.
void restart(PlannerScript &script)
{
    auto entry = script.entry("w0");
    entry.startedUnixMs = Reborn;
    script.answerPoll("w0", {}, Reborn);
    script.planner.workerReported(entry, script.now);
}

WorkerResponse fenced(int sendings = 1)
{
    return {WorkerCallOutcome::Fenced, 0, "fence", sendings};
}

} // namespace

// Calls that were sent to one incarnation of a worker and are carried out by the next.
BOOST_AUTO_TEST_SUITE(Incarnations)

// Guards against a poll that is carried out late by the next incarnation and deletes ends that nobody has read: no higher fencing token was there before it.
BOOST_AUTO_TEST_CASE(firstPollAfterAnUnansweredOneFencesAllThatWasSentBefore)
{
    PlannerScript script(1);
    storeOneEnd(script);
    const auto binding = script.lastPoll("w0");
    script.planner.handlePollResponse(binding, NoList, script.now);
    script.advance(Millis(100));
    const auto next = script.lastPoll("w0");
    BOOST_REQUIRE(next.sequence > binding.sequence);
    BOOST_TEST(!isBinding(next));
    BOOST_TEST(next.fencingToken > binding.fencingToken);
    // What answers is open at once, whichever incarnation it is.
    restart(script);
    script.submit("j", 1000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().fencingToken >= next.fencingToken);
}

// Guards against the same where the next incarnation answers a poll that acknowledges ends of its predecessor, so that no poll went unanswered.
BOOST_AUTO_TEST_CASE(newIncarnationIsOpenOnlyUnderAHigherTokenThanItsPredecessor)
{
    PlannerScript script(1);
    storeOneEnd(script);
    const auto binding = script.lastPoll("w0");
    script.isCutFromLog = true;
    const auto newest = script.newestToken;
    script.planner.handlePollResponse(binding, NoList, script.now);
    script.advance(Millis(100));
    BOOST_TEST(script.lastPoll("w0").fencingToken == newest);
    // The incarnation after that one answers, and the log has confirmed no higher token since.
    script.answerPoll("w0", {});
    const auto granting = script.lastPoll("w0");
    BOOST_TEST(isBinding(granting));
    BOOST_TEST(granting.fencingToken == newest);
    restart(script);
    script.advance(Millis(100));
    script.submit("j", 1000);
    for (int i = 0; i < 3; ++i) {
        script.planAndStore();
        BOOST_TEST(script.port.starts.size() == 1U);
        BOOST_TEST(!isBinding(script.lastPoll("w0")));
        script.answerPoll("w0", {}, Reborn);
        script.advance(Millis(100));
    }
    script.isCutFromLog = false;
    script.advance(Millis(25));
    script.answerPoll("w0", {}, Reborn);
    script.advance(Millis(100));
    const auto higher = script.lastPoll("w0");
    BOOST_TEST(higher.fencingToken > granting.fencingToken);
    BOOST_TEST(!isBinding(higher));
    script.planAndStore();
    BOOST_TEST(script.port.starts.size() == 1U);
    script.answerPoll("w0", {}, Reborn);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().fencingToken == higher.fencingToken);
    BOOST_TEST(isBinding(script.lastPoll("w0")));
}

// Guards against a task that runs twice: a late call lengthened the lease on the clock of the next incarnation, whose run was taken for lapsed too early.
BOOST_AUTO_TEST_CASE(leaseOfARestartedWorkerIsTheLongestThatALateCallMayHaveGranted)
{
    PlannerScript script(1);
    storeOneEnd(script);
    script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
    script.advance(Millis(100));
    restart(script);
    const auto openedAt = script.now;
    script.submit("j", 60000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    const auto start = script.port.starts.back();
    script.planner.handleStartResponse(start, script.done(), script.now);
    script.answerPoll("w0", {{start.task, start.attempt, {}, 1, 0}}, Reborn);
    const auto longest = Millis(static_cast<std::int64_t>(static_cast<double>(PlannerLimits {}.maxLease.count()) / MinClockRate));
    while (script.now + Millis(100) < openedAt + longest) {
        script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
        script.advance(Millis(100));
        BOOST_REQUIRE_EQUAL(script.planner.runCount(), 1U);
    }
}

// Guards against a task that runs twice: a poll of the previous leader had granted a young incarnation the longest lease before the new leader called it.
BOOST_AUTO_TEST_CASE(youngIncarnationMayHoldALeaseOfThePreviousLeader)
{
    constexpr std::int64_t Young = 2000;
    PlannerScript script(0);
    script.planner.workerReported(script.entry("w0"), script.now);
    script.advance(Millis(25));
    auto answer = script.list({});
    answer.workerClockMs = Young;
    script.planner.handlePollResponse(script.lastPoll("w0"), answer, script.now);
    const auto openedAt = script.now;
    script.submit("j", 60000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    const auto start = script.port.starts.back();
    script.planner.handleStartResponse(start, {WorkerCallOutcome::Done, Young, "done"}, script.now);
    script.advance(Millis(25));
    answer.workerClockMs = Young + 25;
    answer.running = {{start.task, start.attempt, {}, 1, 0}};
    script.planner.handlePollResponse(script.lastPoll("w0"), answer, script.now);
    const auto longest = Millis(static_cast<std::int64_t>(static_cast<double>(PlannerLimits {}.maxLease.count()) / MinClockRate));
    while (script.now + Millis(100) < openedAt + longest) {
        script.advance(Millis(100));
        script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
        BOOST_REQUIRE_EQUAL(script.planner.runCount(), 1U);
    }
    script.advance(Millis(1000));
    BOOST_TEST(script.planner.runCount() == 0U);
}

// Guards against the same for an incarnation that stays closed for seconds, in which a late call may still grant it the longest lease.
BOOST_AUTO_TEST_CASE(longestLeaseCountsFromTheAnswerThatOpensTheIncarnation)
{
    PlannerScript script(1);
    storeOneEnd(script);
    script.isCutFromLog = true;
    script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
    script.advance(Millis(100));
    script.answerPoll("w0", {});
    BOOST_REQUIRE(isBinding(script.lastPoll("w0")));
    auto young = script.list({});
    young.startedUnixMs = Reborn;
    for (int i = 0; i < 20; ++i) {
        young.workerClockMs = 100 * i + 1;
        script.planner.handlePollResponse(script.lastPoll("w0"), young, script.now);
        script.advance(Millis(100));
    }
    auto entry = script.entry("w0");
    entry.startedUnixMs = Reborn;
    script.planner.workerReported(entry, script.now);
    script.isCutFromLog = false;
    for (int i = 0; i < 2; ++i) {
        script.advance(Millis(100));
        young.workerClockMs += 100;
        script.planner.handlePollResponse(script.lastPoll("w0"), young, script.now);
    }
    const auto openedAt = script.now;
    script.submit("j", 60000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    script.planner.handleStartResponse(script.port.starts.back(), {WorkerCallOutcome::Done, young.workerClockMs, "done"}, script.now);
    const auto longest = Millis(static_cast<std::int64_t>(static_cast<double>(PlannerLimits {}.maxLease.count()) / MinClockRate));
    while (script.now + Millis(200) < openedAt + longest) {
        script.advance(Millis(100));
        script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
        BOOST_REQUIRE_EQUAL(script.planner.runCount(), 1U);
    }
}

// Guards against an incarnation that is open though a start to its predecessor carried the same token: it was sent after the token had been raised.
BOOST_AUTO_TEST_CASE(startUnderTheRaisedTokenBindsTheNextIncarnationToo)
{
    PlannerScript script(1);
    storeOneEnd(script);
    script.submit("j", 1000);
    script.planner.plan(script.now);
    const auto batch = script.planner.takeBatch(script.now);
    script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
    script.advance(Millis(100));
    const auto raised = script.lastPoll("w0").fencingToken;
    script.planner.batchStored(batch.number, script.now);
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
    BOOST_TEST(script.port.starts.back().fencingToken == raised);
    script.isCutFromLog = true;
    restart(script);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(!isBinding(script.lastPoll("w0")));
        script.answerPoll("w0", {}, Reborn);
        script.advance(Millis(100));
    }
}

// Guards against a leader that steps down, or a task that starts twice, because its own higher token fenced a call that it had sent before.
BOOST_AUTO_TEST_CASE(fenceOfAnOwnHigherTokenIsNoSuccessor)
{
    for (const int sendings : {1, 2}) {
        PlannerScript script(1);
        script.submit("j", 1000);
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
        const auto start = script.port.starts.back();
        script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
        script.advance(Millis(100));
        script.planner.handleStartResponse(start, fenced(sendings), script.now);
        BOOST_TEST(script.port.fences.empty());
        // The fence of a later sending doesn't tell what became of the first.
        BOOST_TEST(script.planner.runCount() == (sendings == 1 ? 0U : 1U));
        script.answerPoll("w0", {});
        script.advance(Millis(1600));
        script.answerPoll("w0", {});
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), sendings == 1 ? 2U : 1U);
        if (sendings == 1) {
            BOOST_TEST(script.port.starts.back().fencingToken > start.fencingToken);
            script.planner.handleStartResponse(script.port.starts.back(), fenced(), script.now);
            BOOST_TEST(script.port.fences.size() == 1U);
        }
    }
}

// Guards against a leader that steps down because a stop, or a throttle, was overtaken by its own higher token, and against a stop that is not repeated.
BOOST_AUTO_TEST_CASE(stopFencedByAnOwnHigherTokenIsRepeated)
{
    PlannerScript script(1);
    script.submit("j", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
    script.answerPoll("w0", {{{"j", 0, 0, 0}, 1, {}, 1, 0}});
    script.planner.jobCancelled("j", script.now);
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 1U);
    const auto stop = script.port.stops.back();
    script.planner.handlePollResponse(script.lastPoll("w0"), NoList, script.now);
    script.advance(Millis(100));
    script.planner.handleStopResponse(stop, fenced(), script.now);
    BOOST_TEST(script.port.fences.empty());
    script.advance(Millis(200));
    BOOST_REQUIRE_EQUAL(script.port.stops.size(), 2U);
    BOOST_TEST(script.port.stops.back().fencingToken > stop.fencingToken);
    script.planner.handleStopResponse(script.port.stops.back(), fenced(), script.now);
    BOOST_TEST(script.port.fences.size() == 1U);
}

// Guards against a worker that is polled for ever and keeps tasks waiting: its machine's clock stepped back before it restarted.
BOOST_AUTO_TEST_CASE(incarnationThatLooksOlderIsThePresentOne)
{
    constexpr std::int64_t Later = 1000;
    constexpr std::int64_t Earlier = 500;
    for (const bool isEntryFirst : {false, true}) {
        PlannerScript script(1);
        auto entry = script.entry("w0");
        entry.startedUnixMs = Later;
        script.answerPoll("w0", {}, Later);
        script.planner.workerReported(entry, script.now);
        script.answerPoll("w0", {}, Later);
        script.submit("j", 4000);
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
        script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
        script.answerPoll("w0", {{{"j", 0, 0, 0}, 1, {}, 1, 0}}, Later);
        entry.startedUnixMs = Earlier;
        const auto earlierPoll = script.lastPoll("w0");
        if (isEntryFirst) {
            script.planner.workerReported(entry, script.now);
            BOOST_TEST(!isBinding(script.lastPoll("w0")));
            BOOST_TEST(script.lastPoll("w0").fencingToken > earlierPoll.fencingToken);
            script.planner.handlePollResponse(earlierPoll, NoList, script.now);
        }
        script.answerPoll("w0", {}, Earlier);
        script.planner.workerReported(entry, script.now);
        script.answerPoll("w0", {}, Earlier);
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 2U);
        BOOST_TEST(script.port.starts.back().workerStartedUnixMs == Earlier);
    }
}

// Guards against calls to the address of an incarnation that has ended: a read of the list that is behind, after a restart with an earlier time of start.
BOOST_AUTO_TEST_CASE(entryOfAnEarlierIncarnationMovesNoAddress)
{
    for (const std::int64_t startedUnixMs : {2, 1000}) {
        PlannerScript script(1);
        auto stale = script.entry("w0");
        stale.startedUnixMs = 500;
        script.answerPoll("w0", {}, stale.startedUnixMs);
        script.planner.workerReported(stale, script.now);
        auto entry = stale;
        entry.startedUnixMs = startedUnixMs;
        entry.port += 100;
        script.planner.workerReported(entry, script.now);
        script.answerPoll("w0", {}, startedUnixMs);
        script.answerPoll("w0", {}, startedUnixMs);
        script.planner.workerReported(stale, script.now);
        script.answerPoll("w0", {}, startedUnixMs);
        script.advance(Millis(1000));
        BOOST_TEST(script.lastPoll("w0").worker.port == entry.port);
    }
}

// Guards against a task that runs twice: a foreign entry led to another worker, whose refusal was taken for the end of all runs of the one that goes on.
BOOST_AUTO_TEST_CASE(refusalAtAnAddressWhereTheWorkerNeverAnsweredEndsNoRuns)
{
    for (const bool isEntryCorrected : {true, false}) {
        PlannerScript script(1);
        // Late calls to earlier incarnations can't have granted any lease that is left.
        for (int i = 0; i < 50; ++i) {
            script.advance(Millis(250));
            script.answerPoll("w0", {});
        }
        script.submit("j", 60000);
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
        script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
        const std::vector<RunningRunInfo> running {{{"j", 0, 0, 0}, 1, {}, 1, 0}};
        script.answerPoll("w0", running);
        auto foreign = script.entry("w0");
        foreign.startedUnixMs = 1000;
        foreign.port += 1;
        script.planner.workerReported(foreign, script.now);
        PollWorkerResponse other;
        other.outcome = WorkerCallOutcome::OtherIncarnation;
        // The lease that the run holds is not renewed, and lasts for a while.
        for (int i = 0; i < 20; ++i) {
            BOOST_TEST(script.lastPoll("w0").worker.port == foreign.port);
            script.planner.handlePollResponse(script.lastPoll("w0"), other, script.now);
            script.advance(Millis(100));
            BOOST_TEST(script.planner.runCount() == 1U);
        }
        if (isEntryCorrected) {
            script.planner.workerReported(script.entry("w0"), script.now);
            script.planner.handlePollResponse(script.lastPoll("w0"), other, script.now);
            script.advance(Millis(100));
            BOOST_TEST(script.lastPoll("w0").worker.port == script.entry("w0").port);
            script.answerPoll("w0", running);
            script.planAndStore();
            BOOST_TEST(script.port.starts.size() == 1U);
            BOOST_TEST(script.port.stops.empty());
            continue;
        }
        const auto longest = LeadershipConfirmation::longestLease(Millis(0), PlannerLimits {}.lease);
        for (Millis passed {0}; passed < longest; passed += Millis(100)) {
            script.planner.handlePollResponse(script.lastPoll("w0"), other, script.now);
            script.advance(Millis(100));
        }
        BOOST_TEST(script.planner.runCount() == 0U);
    }
}

// Guards against tasks that start again after they are done: polls that were sent to one incarnation of a worker are carried out late by the next.
BOOST_AUTO_TEST_CASE(latePollsDeleteNoEndsOfTheNextIncarnation)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeFleetOptions options;
        options.seed = seed;
        options.workers = 3;
        options.delayedRequestsOutliveWorkers = true;
        FakeFleet fleet(options);
        std::mt19937_64 random(seed);
        for (int i = 0; i < 40; ++i) {
            StepSpec step;
            step.taskCount = 6;
            step.needs = {500, 500, 0};
            step.estimateMs = 100 + static_cast<std::int64_t>(random() % 300);
            fleet.setDelayedPollShare(i % 4 == 0 ? 0.4 : 0);
            fleet.submit(fleet.makeJob("j" + std::to_string(i), {step}));
            fleet.run(Millis(300 + random() % 300));
            if (i % 4 == 1) {
                fleet.restartWorker(static_cast<int>(random() % static_cast<std::uint64_t>(options.workers)));
            }
        }
        for (const auto &it : fleet.violations()) {
            BOOST_TEST(false, "seed " << seed << ": " << it);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
