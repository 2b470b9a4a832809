#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr std::int64_t EstimateMs = 4000;

std::int64_t pendingJobs(const FleetPlanner &planner, const QueuePolicy &queue)
{
    return planner.pendingJobCount(queue.host, queue.prefix);
}

} // namespace

// The number of accepted jobs none of whose tasks has started.
BOOST_AUTO_TEST_SUITE(PendingJobs)

// Guards against jobs that are left out of the number because a start was sent, which the worker refused.
BOOST_AUTO_TEST_CASE(jobWhoseStartsAreRefusedIsPending)
{
    PlannerScript script(1);
    script.submit("j", EstimateMs);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    BOOST_TEST(pendingJobs(script.planner, script.queue) == 1);
    script.planner.handleStartResponse(script.port.starts.back(), {WorkerCallOutcome::Unhealthy, 0, "status 503"}, script.now);
    script.advance(Millis(1000));
    BOOST_TEST(pendingJobs(script.planner, script.queue) == 1);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 2U);
    script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
    BOOST_TEST(pendingJobs(script.planner, script.queue) == 0);
}

// Guards against a job that counts as pending although its run has begun, and whose start was not answered.
BOOST_AUTO_TEST_CASE(jobWhoseRunIsListedOrHasEndedIsNotPending)
{
    for (const bool hasEnded : {false, true}) {
        PlannerScript script(1);
        script.submit("j", EstimateMs);
        script.planAndStore();
        BOOST_REQUIRE(script.port.starts.size() == 1U);
        auto list = script.list({});
        if (hasEnded) {
            list.ended = {{1, {"j", 0, 0, 0}, 1, RunEnd::Failed, {}}};
        } else {
            list.running = {{{"j", 0, 0, 0}, 1, {}, 5, 0}};
        }
        script.planner.handleStartResponse(script.port.starts.back(), {}, script.now);
        script.planner.handlePollResponse(script.lastPoll("w0"), list, script.now);
        BOOST_TEST(pendingJobs(script.planner, script.queue) == 0);
    }
}

// Guards against jobs that are left out of the number after a takeover because a start of them was stored.
BOOST_AUTO_TEST_CASE(jobWhoseStartWasOnlyStoredIsPendingAfterATakeover)
{
    const FleetTaskId task {"j", 0, 0, 0};
    for (const bool isListed : {false, true}) {
        PlannerScript script(0);
        FleetPlanner successor(script.port, script.events, PlannerLimits {}, 8, script.now);
        FleetJobRequest request;
        request.id = "j";
        request.queue = script.queue;
        request.steps.emplace_back();
        request.steps.back().taskCount = 1;
        successor.restoreJob(request, 0, script.now);
        successor.restoreProgress({"j", FleetJobState::Running, {{0, 0, 0, 1, {}, false, "", {{1, "w0", 1}}}}}, script.now);
        successor.confirmLeadership(script.now, script.now);
        successor.startPlanning(script.now);
        successor.workerReported(script.entry("w0"), script.now);
        successor.tick(0, script.now);
        successor.handlePollResponse(
            script.lastPoll("w0"), script.list(isListed ? std::vector<RunningRunInfo> {{task, 1, {}, 5, 0}} : std::vector<RunningRunInfo> {}), script.now);
        BOOST_TEST(pendingJobs(successor, script.queue) == (isListed ? 0 : 1));
    }
}

// Guards against a job that counts as pending after a takeover although a task of it is done, has failed or has a checkpoint.
BOOST_AUTO_TEST_CASE(jobWithStoredWorkIsNotPendingAfterATakeover)
{
    const std::vector<TaskRecord> rows {{0, 0, 0, 1, {}, true, "", {}}, {0, 0, 0, 1, {1}, false, "", {}}, {0, 0, 0, 1, {}, false, "c", {}}};
    for (const auto &row : rows) {
        PlannerScript script(0);
        FleetPlanner successor(script.port, script.events, PlannerLimits {}, 8, script.now);
        FleetJobRequest request;
        request.id = "j";
        request.queue = script.queue;
        request.steps.emplace_back();
        request.steps.back().taskCount = 2;
        successor.restoreJob(request, 0, script.now);
        successor.restoreProgress({"j", FleetJobState::Running, {row}}, script.now);
        successor.startPlanning(script.now);
        BOOST_TEST(pendingJobs(successor, script.queue) == 0);
    }
}

// Guards against an ended job that is counted while its runs are being stopped.
BOOST_AUTO_TEST_CASE(endedJobIsNotPending)
{
    PlannerScript script(1);
    script.submit("j", EstimateMs);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    script.planner.jobCancelled("j", script.now);
    BOOST_TEST(pendingJobs(script.planner, script.queue) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
