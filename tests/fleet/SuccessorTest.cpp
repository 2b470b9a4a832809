#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr std::int64_t IntervalMs = 1000;

StepSpec oneTask()
{
    StepSpec out;
    out.taskCount = 1;
    out.needs = {500, 500, 0};
    out.estimateMs = 1000;
    return out;
}

FleetJobRequest repeatedJob(const PlannerScript &script, int count)
{
    FleetJobRequest out;
    out.id = "j";
    out.queue = script.queue;
    out.steps.push_back(oneTask());
    out.repeatCount = count;
    out.repeatIntervalMs = IntervalMs;
    return out;
}

// A planner that takes over with the stored state of an earlier one, on a worker that answers.
struct Successor {
    PlannerScript script {0};
    FleetPlanner planner {script.port, script.events, PlannerLimits {}, 8, script.now};

    Successor(const FleetJobRequest &request, const std::vector<JobRecord> &records)
    {
        planner.restoreJob(request, 0, script.now);
        for (const auto &it : records) {
            planner.restoreProgress(it, script.now);
        }
        planner.confirmLeadership(script.now, script.now);
        planner.startPlanning(script.now);
        planner.workerReported(script.entry("w0"), script.now);
    }

    // Lets the worker say that nothing runs there, and returns the tasks that the planner starts at this time.
    std::vector<std::string> startsAt(std::int64_t unixMs)
    {
        planner.tick(unixMs, script.now);
        planner.handlePollResponse(script.lastPoll("w0"), script.list({}), script.now);
        planner.tick(unixMs, script.now);
        planner.plan(script.now);
        const auto batch = planner.takeBatch(script.now);
        planner.batchStored(batch.number, script.now);
        std::vector<std::string> out;
        for (const auto &it : script.port.starts) {
            out.push_back(it.task.toString());
        }
        return out;
    }
};

} // namespace

// What a planner that takes over rebuilds from the log.
BOOST_AUTO_TEST_SUITE(Successors)

// Guards against an occurrence of a repeated job that is never started, because the leader changed before any of its tasks had begun.
BOOST_AUTO_TEST_CASE(occurrenceThatHadNotBegunStartsAfterATakeover)
{
    const PlannerScript script(0);
    const JobRecord onlySecondHasBegun {"j", FleetJobState::Running, {{1, 0, 0, 1, {}, true, "", {}}}};
    Successor successor(repeatedJob(script, 2), {onlySecondHasBegun});
    const auto starts = successor.startsAt(2 * IntervalMs);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts.front() == "j.0.0.0");
}

// Guards against an occurrence that ended before the takeover and is taken for one that has not begun.
BOOST_AUTO_TEST_CASE(occurrenceThatHadEndedDoesNotStartAgainAfterATakeover)
{
    const PlannerScript script(0);
    const JobRecord firstHasEnded {"j", FleetJobState::Running, {{0, 0, 0, 1, {}, true, "", {}}}};
    Successor successor(repeatedJob(script, 3), {firstHasEnded});
    BOOST_TEST(successor.startsAt(IntervalMs / 2).empty());
    const auto starts = successor.startsAt(IntervalMs);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts.front() == "j.1.0.0");
}

// Guards against runs of an outdated part: the log holds the whole progress in one record, as earlier versions wrote it, beside a part from before.
BOOST_AUTO_TEST_CASE(runOfAnOutdatedPartIsNotRestored)
{
    const PlannerScript script(0);
    FleetJobRequest request;
    request.id = "j";
    request.queue = script.queue;
    request.steps.push_back(oneTask());
    request.steps[0].taskCount = FleetJob::TasksPerPart + 1;
    const JobRecord whole {"j", FleetJobState::Running, {{0, 0, FleetJob::TasksPerPart, 3, {}, true, "", {}}}, 0};
    const JobRecord outdated {"j", FleetJobState::Running, {{0, 0, FleetJob::TasksPerPart, 1, {}, false, "", {{1, "w0", 1}}}}, 1};
    Successor successor(request, {whole, outdated});
    BOOST_TEST(successor.planner.runCount() == 0U);
    BOOST_TEST(successor.planner.hasUnstoredChanges());
}

// Guards against a record for each waiting job at every takeover.
BOOST_AUTO_TEST_CASE(jobThatHasNotBegunIsNotStoredAtATakeover)
{
    const PlannerScript script(0);
    FleetJobRequest request;
    request.id = "j";
    request.queue = script.queue;
    request.steps.push_back(oneTask());
    const Successor successor(request, {});
    BOOST_TEST(!successor.planner.hasUnstoredChanges());
}

// Guards against a best-effort task that stands still for good: an earlier leader paced it to 0 percent, and no later one speeds it up.
BOOST_AUTO_TEST_CASE(runThatAnEarlierLeaderPausedIsSpedUpAfterATakeover)
{
    const PlannerScript script(0);
    FleetJobRequest request;
    request.id = "j";
    request.queue = script.queue;
    request.steps.push_back(oneTask());
    request.steps[0].isBestEffort = true;
    Successor successor(request, {{"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}}});
    auto &port = successor.script.port;
    const auto list = [&successor]() {
        successor.script.now += Millis(800);
        successor.planner.confirmLeadership(successor.script.now, successor.script.now);
        successor.planner.tick(0, successor.script.now);
        successor.planner.handlePollResponse(successor.script.lastPoll("w0"), successor.script.list({{{"j", 0, 0, 0}, 1, "", 10, 0}}), successor.script.now);
    };
    list();
    BOOST_REQUIRE(port.throttles.size() == 1U);
    BOOST_TEST(port.throttles.back().percent == 100);
    successor.planner.handleThrottleResponse(port.throttles.back(), {WorkerCallOutcome::Unhealthy, 0, "status 503"}, successor.script.now);
    list();
    BOOST_REQUIRE(port.throttles.size() == 2U);
    BOOST_TEST(port.throttles.back().percent == 100);
    successor.planner.handleThrottleResponse(port.throttles.back(), successor.script.done(), successor.script.now);
    list();
    BOOST_TEST(port.throttles.size() == 2U);
}

// Guards against a lasting task that waits for longer than it must beside a slow log: the former leader can't be confirmed after the successor's claim and
// fence, however long the successor takes to read the state. And against one that starts too early if the time of these is not known.
BOOST_AUTO_TEST_CASE(leasesOfTheFormerLeaderAreCountedFromItsEnd)
{
    constexpr Millis LoadTime {3000};
    constexpr Millis Step {50};
    const PlannerLimits limits;
    const auto longest = LeadershipConfirmation::longestLease(limits.leadershipBound, limits.lease);
    for (const bool isEndKnown : {true, false}) {
        PlannerScript script(0);
        const auto createdAt = script.now;
        FleetPlanner successor(script.port, script.events, limits, 8, createdAt);
        FleetJobRequest request;
        request.id = "j";
        request.queue = script.queue;
        request.steps.push_back(oneTask());
        request.steps[0].isLongRunning = true;
        successor.restoreJob(request, 0, createdAt);
        successor.restoreProgress({"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}}, createdAt);
        if (isEndKnown) {
            successor.earlierLeadersEnded(createdAt);
        }
        script.now += LoadTime;
        successor.confirmLeadership(script.now, script.now);
        successor.startPlanning(script.now);
        for (const char *it : {"w0", "w1"}) {
            successor.workerReported(script.entry(it), script.now);
        }
        const auto end = isEndKnown ? createdAt : script.now;
        while (script.port.starts.empty() && script.now - end < longest * 2) {
            successor.confirmLeadership(script.now, script.now);
            successor.tick(0, script.now);
            successor.handlePollResponse(script.lastPoll("w0"), {}, script.now);
            successor.handlePollResponse(script.lastPoll("w1"), script.list({}), script.now);
            successor.plan(script.now);
            const auto batch = successor.takeBatch(script.now);
            successor.batchStored(batch.number, script.now);
            script.now += Step;
        }
        BOOST_REQUIRE(script.port.starts.size() == 1U);
        BOOST_TEST(script.port.starts.back().worker.id == "w1");
        BOOST_TEST((script.now - end > longest));
        BOOST_TEST((script.now - end <= longest + Step * 4));
    }
}

BOOST_AUTO_TEST_SUITE_END()
