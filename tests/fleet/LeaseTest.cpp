#include <boost/test/unit_test.hpp>

#include "FakeFleet.h"
#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Bound = PlannerLimits {}.leadershipBound;
// The longest lease of a worker, on the clock of a planner that runs faster by as much as it may.
constexpr Millis LongestLease(PlannerLimits {}.maxLease.count() * 100 / 98);

// A fleet in which twelve tasks run for longer than any test lasts, with room for more.
std::unique_ptr<FakeFleet> busyFleet(FakeFleetOptions options)
{
    options.capacity = {16000, 16000, 0};
    auto out = std::make_unique<FakeFleet>(options);
    // Late calls to earlier incarnations can't have granted any lease that is left.
    out->run(LongestLease + Millis(1000));
    StepSpec step;
    step.taskCount = 12;
    step.needs = {4000, 1000, 0};
    step.estimateMs = 300'000;
    step.checkpoints = true;
    out->submit(out->makeJob("j", {step}));
    BOOST_REQUIRE(out->runUntil(
        [&out]() {
            return out->startCount() == 12;
        },
        Millis(3000)));
    return out;
}

int expiredRuns(const FakeFleet &fleet)
{
    int out = 0;
    for (int i = 0; i < 12; ++i) {
        out += fleet.endsOf("j.0.0." + std::to_string(i), RunEnd::LeaseExpired);
    }
    return out;
}

// A planner with one worker whose process was confirmed to be the leader this long ago, and not since.
std::unique_ptr<PlannerScript> unconfirmedFor(Millis age)
{
    auto out = std::make_unique<PlannerScript>(1);
    out->isCutFromLog = true;
    out->advance(age);
    return out;
}

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

// How long a leader that can't confirm its leadership grants leases, and how long its successor waits for them.
BOOST_AUTO_TEST_SUITE(Leases)

// Guards against tasks that run twice: a leader behind a cut extends leases that its successor takes for lapsed.
BOOST_AUTO_TEST_CASE(leaderBehindACutDoesNotExtendLeasesThatItsSuccessorTakesForLapsed)
{
    for (const double clockRate : {1.0, 0.98}) {
        for (const Millis takeover : {Millis(0), Millis(400), Millis(800), Millis(2000)}) {
            FakeFleetOptions options;
            options.workerClockRate = clockRate;
            const auto fleet = busyFleet(options);
            fleet->cutOffPlanner({fleet->workerOf("j.0.0.0"), fleet->workerOf("j.0.0.11")}, takeover);
            fleet->run(takeover + Millis(9000));
            // The work of the workers behind the cut has been started elsewhere.
            BOOST_TEST(fleet->startCount() > 12);
            fleet->run(Millis(3000));
            fleet->healCut();
            fleet->run(Millis(3000));
            BOOST_TEST(fleet->violations().empty(),
                       "clock rate " << clockRate << ", takeover after " << takeover.count()
                                     << " ms: " << (fleet->violations().empty() ? std::string() : fleet->violations().front()));
        }
    }
}

// Guards against leases that a leader extends without a recent proof that it leads.
BOOST_AUTO_TEST_CASE(pollExtendsTheLeaseOnlyWhileLeadershipWasConfirmedWithinTheBound)
{
    BOOST_TEST(unconfirmedFor(Bound - Millis(1))->lastPoll("w0").leaseUntilMs > 0);
    const auto script = unconfirmedFor(Bound);
    const auto poll = script->lastPoll("w0");
    BOOST_TEST(poll.leaseUntilMs == 0);
    script->planner.handlePollResponse(poll, script->list({}), script->now);
    script->isCutFromLog = false;
    script->advance(Millis(1));
    BOOST_TEST(script->lastPoll("w0").leaseUntilMs > 0);
}

// Guards against a successor that waits for less than the longest lease of its predecessor: granted when its confirmation is about to expire, on a clock that
// is 2 % slow, for a worker whose clock is 2 % slow.
BOOST_AUTO_TEST_CASE(successorWaitsUntilTheLongestLeaseOfItsPredecessorHasExpired)
{
    PlannerScript leader(1);
    const auto confirmedAt = leader.now;
    leader.isCutFromLog = true;
    leader.advance(Bound - Millis(25));
    leader.planner.handlePollResponse(leader.lastPoll("w0"), leader.list({}), leader.now);
    leader.advance(Millis(24));
    const auto granted = Millis(leader.lastPoll("w0").leaseUntilMs - millisOf(leader.now));
    BOOST_TEST(granted.count() >= PlannerLimits {}.lease.count() - 1);
    const auto expiry = static_cast<double>((leader.now - confirmedAt + granted).count()) / MinClockRate;

    PlannerScript script(0);
    FleetPlanner successor(script.port, script.events, PlannerLimits {}, 8, script.now);
    FleetJobRequest request;
    request.id = "j";
    request.queue.service = "svc";
    request.steps.emplace_back().taskCount = 1;
    successor.restoreJob(request, 0, script.now);
    successor.restoreProgress({"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}}, script.now);
    successor.startPlanning(script.now);
    int waitedMs = 0;
    while (successor.runCount() > 0 && waitedMs < 20'000) {
        successor.tick(0, script.now + Millis(++waitedMs));
    }
    BOOST_TEST(waitedMs > expiry);
    BOOST_TEST(waitedMs < expiry + 10);
}

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

// Guards against a confirmation that was under way for long and counts from when it arrived.
BOOST_AUTO_TEST_CASE(confirmationCountsFromWhenItsCallWasSent)
{
    PlannerScript script(1);
    script.isCutFromLog = true;
    const auto sentAt = script.now + Millis(1);
    script.now += Bound + Millis(1);
    script.planner.confirmLeadership(sentAt, script.now);
    script.planner.tick(0, script.now);
    BOOST_TEST(script.lastPoll("w0").leaseUntilMs == 0);
}

// Guards against a start that a planner decided before its process was paused and sends when another may have taken over.
BOOST_AUTO_TEST_CASE(startThatWasDecidedBeforeAPauseIsNotSentAfterIt)
{
    PlannerScript script(1);
    script.isCutFromLog = true;
    script.submit("j", 4000);
    script.planner.plan(script.now);
    const auto batch = script.planner.takeBatch(script.now);
    script.now += Bound;
    script.planner.batchStored(batch.number, script.now);
    BOOST_TEST(script.port.starts.empty());
    BOOST_TEST(script.planner.runCount() == 0U);
    script.isCutFromLog = false;
    script.advance(Millis(100));
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    BOOST_TEST(script.port.starts.front().leaseUntilMs > 0);
}

// Guards against a task that runs twice: a restarted worker whose clock is slow carries out a start from before, under the longest lease, and falls silent.
BOOST_AUTO_TEST_CASE(leaseOfARestartedWorkerIsMeasuredOnItsClock)
{
    PlannerScript script(1);
    script.submit("j", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    const auto restartedAt = script.now;
    script.answerPoll("w0", {}, 2);
    script.planner.handleStartResponse(script.port.starts.front(), {}, script.now);
    constexpr Millis Step {25};
    const auto passTimeUntil = [&](Millis time) {
        while (script.now - restartedAt < time) {
            script.planner.handlePollResponse(script.lastPoll("w0"), {}, script.now);
            script.advance(Step);
        }
    };
    const Millis slowest(PlannerLimits {}.maxLease.count() * 100 / 98);
    passTimeUntil(slowest - Step);
    BOOST_TEST(script.planner.runCount() == 1U);
    passTimeUntil(slowest + Millis(100));
    BOOST_TEST(script.planner.runCount() == 0U);
}

BOOST_AUTO_TEST_CASE(runsAreStoppedWithoutAConfirmation)
{
    PlannerScript script(1);
    script.submit("j", 4000);
    script.planAndStore();
    BOOST_REQUIRE_EQUAL(script.port.starts.size(), 1U);
    script.planner.handleStartResponse(script.port.starts.front(), script.done(), script.now);
    script.isCutFromLog = true;
    script.advance(Bound);
    script.planner.jobCancelled("j", script.now);
    BOOST_TEST(script.port.stops.size() == 1U);
}

// Guards against running work that ends because the log did not answer for a few seconds.
BOOST_AUTO_TEST_CASE(runsOutliveAnOutageOfTheLog)
{
    for (const auto delay : {Millis(5), Millis(80)}) {
        for (Millis phase(0); phase < Millis(1200); phase += Millis(60)) {
            FakeFleetOptions options;
            options.delay = delay;
            const auto fleet = busyFleet(options);
            fleet->run(phase);
            fleet->setLogUp(false);
            fleet->run(Millis(6500));
            fleet->setLogUp(true);
            fleet->run(Millis(5000));
            BOOST_TEST(expiredRuns(*fleet) == 0, "delay " << delay.count() << " ms, phase " << phase.count() << " ms");
        }
    }
}

// Guards against tasks that run twice: workers start again, carry out polls that were meant for their former lives, and are cut off right after a takeover.
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
