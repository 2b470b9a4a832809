#include <boost/test/unit_test.hpp>

#include "FakeFleet.h"
#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Bound = PlannerLimits {}.leadershipBound;

// Leaves all polls of "w0" unanswered. Returns how often the planner had given up its run before this time; half a second later it has to have done so.
int silentFor(PlannerScript &script, TimePoint until)
{
    int out = 0;
    for (; script.now < until; script.advance(Millis(25))) {
        script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
        out += script.planner.runCount() == 0 ? 1 : 0;
    }
    for (int i = 0; i < 20; ++i) {
        script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
        script.advance(Millis(25));
    }
    return out;
}

// A planner that takes over now with this stored progress of job "j" and these entries of workers.
std::unique_ptr<FleetPlanner> successorOf(PlannerScript &script, const std::vector<JobRecord> &progress, const std::vector<WorkerReport> &entries)
{
    auto out = std::make_unique<FleetPlanner>(script.port, script.events, PlannerLimits {}, 8, script.now);
    FleetJobRequest request;
    request.id = "j";
    request.queue.service = "svc";
    request.steps.emplace_back().taskCount = 1;
    out->restoreJob(request, 0, script.now);
    for (const auto &it : progress) {
        out->restoreProgress(it, script.now);
    }
    for (const auto &it : entries) {
        out->workerReported(it, script.now);
    }
    out->startPlanning(script.now);
    return out;
}

// Returns how long a planner keeps its only run while none of its calls is answered.
Millis lapseOfUnreachable(FleetPlanner &planner, const PlannerScript &script)
{
    constexpr Millis GiveUp {20'000};
    Millis waited {0};
    while (planner.runCount() > 0 && waited < GiveUp) {
        ++waited;
        const auto polls = script.port.polls.size();
        planner.tick(0, script.now + waited);
        if (script.port.polls.size() > polls) {
            planner.handlePollResponse(script.lastPoll("w0"), {}, script.now + waited);
        }
    }
    return waited;
}

} // namespace

// The longest lease, which a call to an earlier incarnation of a worker may have granted to the present one, and what a successor knows of it.
BOOST_AUTO_TEST_SUITE(Leases)

// Guards against a task that runs twice: its worker had started again before the takeover, and the value of its clock was taken for its age.
BOOST_AUTO_TEST_CASE(successorAssumesTheLongestLeaseWhateverTheClockOfAnIncarnationShows)
{
    for (const std::int64_t clockMs : {std::int64_t(1), std::int64_t(2'271'802)}) {
        PlannerScript script(0);
        script.planner.workerReported(script.entry("w0"), script.now);
        script.advance(Millis(25));
        auto answer = script.list({});
        answer.workerClockMs = clockMs;
        script.planner.handlePollResponse(script.lastPoll("w0"), answer, script.now);
        const auto openedAt = script.now;
        script.submit("j", 60000);
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
        const auto start = script.port.starts.back();
        script.planner.handleStartResponse(start, {WorkerCallOutcome::Done, clockMs, "done"}, script.now);
        script.advance(Millis(25));
        answer.workerClockMs = clockMs + 25;
        answer.running = {{start.task, start.attempt, {}, 1, 0}};
        script.planner.handlePollResponse(script.lastPoll("w0"), answer, script.now);
        BOOST_TEST(silentFor(script, openedAt + LongestLease) == 0);
        BOOST_TEST(script.planner.runCount() == 0U);
    }
}

// Guards against the same where the successor can't reach the worker: its predecessor knew that the worker might hold the longest lease.
BOOST_AUTO_TEST_CASE(successorWaitsForTheLongestLeaseOfAWorkerThatHadStartedAgain)
{
    for (const bool wasOpenForLong : {false, true}) {
        PlannerScript leader(1);
        leader.answerPoll("w0", {}, 2);
        leader.answerPoll("w0", {}, 2);
        leader.answerPoll("w0", {}, 2);
        auto entry = leader.entry("w0");
        entry.startedUnixMs = 2;
        leader.planner.workerReported(entry, leader.now);
        for (int i = 0; wasOpenForLong && i < 50; ++i) {
            leader.advance(Millis(250));
            leader.answerPoll("w0", {}, 2);
        }
        leader.submit("j", 60000);
        leader.planAndStore();
        BOOST_REQUIRE_EQUAL(leader.port.starts.size(), 1U);
        const auto progress = leader.planner.progressOf("j");
        BOOST_REQUIRE(progress);

        PlannerScript script(0);
        const auto successor = successorOf(script, {*decodeJobRecord(encodeJobRecord(*progress))}, {entry});
        const auto waited = lapseOfUnreachable(*successor, script);
        const auto granted = LeadershipConfirmation::longestLease(Bound, PlannerLimits {}.lease);
        BOOST_TEST(waited > (wasOpenForLong ? granted : LongestLease) - Millis(2));
        BOOST_TEST(waited < (wasOpenForLong ? granted : LongestLease) + Millis(10));
    }
}

// Guards against the same where the predecessor had not noticed the restart: the entry of the worker names it, before the takeover or later.
BOOST_AUTO_TEST_CASE(successorWaitsForTheLongestLeaseIfAnEntryNamesAnotherIncarnation)
{
    for (const bool isEntryLate : {false, true}) {
        PlannerScript script(0);
        auto entry = script.entry("w0");
        entry.startedUnixMs = isEntryLate ? 1 : 2;
        const auto successor = successorOf(script, {{"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}}}, {entry});
        const Millis delay {isEntryLate ? 3000 : 0};
        if (isEntryLate) {
            script.now += delay;
            entry.startedUnixMs = 2;
            successor->workerReported(entry, script.now);
        }
        const auto waited = lapseOfUnreachable(*successor, script);
        BOOST_TEST(waited > LongestLease - Millis(2));
        BOOST_TEST(waited < LongestLease + Millis(10));
    }
}

// Guards against a task that runs twice: a start of the previous leader is carried out by the next incarnation of a worker that can't be reached.
BOOST_AUTO_TEST_CASE(taskWaitsWhileAStartOfThePreviousLeaderMayBeCarriedOutByTheNextIncarnation)
{
    for (const bool isRestarted : {true, false}) {
        PlannerScript script(1);
        auto entry = script.entry("w9");
        entry.startedUnixMs = isRestarted ? 2 : 1;
        const auto successor = successorOf(script, {{"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w9", 1}}}}}}, {entry, script.entry("w0")});
        const auto openedAt = script.now;
        const auto sentBefore = script.port.starts.size();
        const Millis longest = PlannerLimits {}.maxExecutionDelay;
        while (script.port.starts.size() == sentBefore && script.now - openedAt < longest * 2) {
            script.now += Millis(25);
            successor->confirmLeadership(script.now, script.now);
            successor->tick(0, script.now);
            successor->handlePollResponse(script.lastPoll("w9"), {}, script.now);
            successor->handlePollResponse(script.lastPoll("w0"), script.list({}), script.now);
            successor->plan(script.now);
            successor->batchStored(successor->takeBatch(script.now).number, script.now);
        }
        const auto waited = script.now - openedAt;
        BOOST_TEST(waited > (isRestarted ? longest : LeadershipConfirmation::longestLease(Bound, PlannerLimits {}.lease)) - Millis(2));
        BOOST_TEST(waited < (isRestarted ? longest : LeadershipConfirmation::longestLease(Bound, PlannerLimits {}.lease)) + Millis(500));
    }
}

// Guards against a takeover that keeps lasting tasks waiting for the longest lease, because they began while it had to be assumed, long ago.
BOOST_AUTO_TEST_CASE(markOfALateLeaseIsRemovedFromTheRecordsOnceTheLeaseIsOver)
{
    PlannerScript script(1);
    script.submit("j", 60000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
    const auto isMarked = [&script]() {
        const auto progress = script.planner.progressOf("j");
        BOOST_REQUIRE(progress && !progress->tasks.empty() && !progress->tasks.front().runs.empty());
        return progress->tasks.front().runs.front().mayHoldLateLease;
    };
    BOOST_TEST(isMarked());
    const auto markedUntil = script.now + LongestLease;
    while (script.now < markedUntil - Millis(250)) {
        BOOST_REQUIRE(isMarked());
        script.advance(Millis(250));
        script.answerPoll("w0", {{{"j", 0, 0, 0}, 1, {}, 1, 0}});
    }
    script.planner.batchStored(script.planner.takeBatch(script.now).number, script.now);
    script.advance(Millis(500));
    BOOST_TEST(!isMarked());
    BOOST_TEST(script.planner.hasUnstoredChanges());
}

// Guards against a takeover that keeps tasks waiting for the longest lease where the predecessor's records show that no late call can have granted it.
BOOST_AUTO_TEST_CASE(successorAssumesNoLateLeaseWhereTheIncarnationWasOpenForLong)
{
    PlannerScript script(0);
    const auto successor = successorOf(script, {{"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}}}, {script.entry("w0")});
    const auto openedAt = script.now;
    successor->confirmLeadership(script.now, script.now);
    successor->tick(0, script.now);
    successor->handlePollResponse(script.lastPoll("w0"), script.list({{{"j", 0, 0, 0}, 1, {}, 1, 0}}), script.now);
    successor->tick(0, script.now + Millis(25));
    successor->handlePollResponse(script.lastPoll("w0"), {}, script.now + Millis(25));
    const auto waited = lapseOfUnreachable(*successor, script);
    BOOST_TEST((script.now - openedAt).count() == 0);
    BOOST_TEST(waited <= LeadershipConfirmation::longestLease(Bound, PlannerLimits {}.lease) + Millis(1));
}

// Guards against a task that runs twice: the next incarnation of a worker answers the start, under the longest lease, and is cut off before it lists the run.
BOOST_AUTO_TEST_CASE(runThatNoListHasShownMayHoldTheLongestLease)
{
    for (const std::int64_t clockMs : {std::int64_t(50), std::int64_t(99'500), std::int64_t(2'271'802)}) {
        PlannerScript script(1);
        script.submit("j", 60000);
        script.planAndStore();
        BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
        for (int i = 0; i < 50; ++i) {
            script.advance(Millis(250));
            script.answerPoll("w0", {});
        }
        const auto confirmedAt = script.now;
        script.planner.handleStartResponse(script.port.starts.back(), {WorkerCallOutcome::Done, clockMs, "done"}, script.now);
        BOOST_TEST(silentFor(script, confirmedAt + LongestLease) == 0);
        BOOST_TEST(script.planner.runCount() == 0U);
    }
}

// Guards against tasks that run twice: workers start again, carry out polls that were meant for earlier incarnations, and are cut off right after a takeover.
BOOST_AUTO_TEST_CASE(runsOfRestartedWorkersThatAreCutOffAfterATakeoverDoNotStartElsewhereTooEarly)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        FakeFleetOptions options;
        options.seed = seed;
        options.delayedRequestsOutliveWorkers = true;
        options.workerClockRate = 0.985;
        FakeFleet fleet(options);
        std::mt19937_64 random(seed);
        StepSpec step;
        step.taskCount = 12;
        step.needs = {2000, 500, 0};
        step.estimateMs = 30'000;
        const std::set<int> restarting {0, 1, 2};
        fleet.run(LongestLease + Millis(1000));
        fleet.setDelayedPollShare(0.6);
        fleet.run(Millis(3000));
        fleet.setDelayedPollShare(0);
        for (const auto it : restarting) {
            fleet.setUnresponsive(it, true);
            fleet.restartWorker(it);
        }
        fleet.run(Millis(2000 + random() % 3000));
        for (const auto it : restarting) {
            fleet.setUnresponsive(it, false);
        }
        fleet.run(Millis(random() % 700));
        fleet.submit(fleet.makeJob("j", {step}));
        fleet.run(Millis(300 + random() % 500));
        fleet.killPlanner(Millis(400));
        fleet.run(Millis(380 + random() % 200));
        for (const auto it : restarting) {
            fleet.setUnresponsive(it, true);
        }
        fleet.run(Millis(14'000));
        for (const auto it : restarting) {
            fleet.setUnresponsive(it, false);
        }
        fleet.run(Millis(4000));
        for (const auto &it : fleet.violations()) {
            BOOST_TEST(false, "seed " << seed << ": " << it);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
