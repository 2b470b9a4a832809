#include <boost/test/unit_test.hpp>

#include "FakeFleet.h"
#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Bound = PlannerLimits {}.leadershipBound;

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
            // A start that has just been sent may still be carried out late, for which a successor would wait longer.
            fleet->run(Millis(4000));
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

BOOST_AUTO_TEST_SUITE_END()
