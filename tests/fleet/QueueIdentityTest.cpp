#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr std::int64_t EstimateMs = 1000;

QueuePolicy queueOf(const std::string &name, const std::string &prefix, const std::string &service)
{
    QueuePolicy out;
    out.name = name;
    out.host = "host";
    out.prefix = prefix;
    out.service = service;
    out.maxAttempts = 3;
    return out;
}

const QueuePolicy Stamps = queueOf("stamps", "/desk/", "svc");
const QueuePolicy Copies = queueOf("copies", "/desk/", "copy-svc");

FleetConfiguration configurationWith(const QueuePolicy &queue)
{
    FleetConfiguration out;
    out.add(queue);
    return out;
}

// Adds the worker "w1" of the service "copy-svc".
void addCopyWorker(PlannerScript &script, FleetPlanner &planner)
{
    auto entry = script.entry("w1");
    entry.service = "copy-svc";
    planner.workerReported(entry, script.now);
    planner.tick(0, script.now);
    planner.handlePollResponse(script.lastPoll("w1"), script.list({}), script.now);
}

FleetJobRequest jobOf(const QueuePolicy &queue)
{
    FleetJobRequest out;
    out.id = "j";
    out.queue = queue;
    out.steps.emplace_back();
    out.steps.back().taskCount = 1;
    out.steps.back().needs = {500, 500, 0};
    out.steps.back().estimateMs = EstimateMs;
    return out;
}

} // namespace

// A queue is known by its name, wherever callers address it.
BOOST_AUTO_TEST_SUITE(QueueIdentity)

// Guards against a job of a removed queue that runs on the service of another queue, which took over its host and prefix.
BOOST_AUTO_TEST_CASE(jobOfARemovedQueueKeepsItsServiceWhenAnotherQueueTakesItsPlace)
{
    PlannerScript script(1);
    addCopyWorker(script, script.planner);
    script.planner.configurationChanged(configurationWith(Stamps));
    script.planner.jobAccepted(jobOf(Stamps), script.now);
    script.planner.configurationChanged(configurationWith(Copies));
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.starts.back().worker.id == "w0");
}

// Guards against the same under a leader that has never seen the removed queue.
BOOST_AUTO_TEST_CASE(jobOfARemovedQueueKeepsItsServiceAfterATakeover)
{
    PlannerScript script(0);
    FleetPlanner successor(script.port, script.events, PlannerLimits {}, 8, script.now);
    successor.configurationChanged(configurationWith(Copies));
    successor.restoreJob(jobOf(Stamps), 0, script.now);
    successor.confirmLeadership(script.now, script.now);
    successor.startPlanning(script.now);
    addCopyWorker(script, successor);
    successor.plan(script.now);
    const auto batch = successor.takeBatch(script.now);
    successor.batchStored(batch.number, script.now);
    BOOST_TEST(script.port.starts.empty());
}

// Guards against a queue that loses its jobs, or its new policy, as its place changes.
BOOST_AUTO_TEST_CASE(queueKeepsItsJobsWhenItsPlaceAndServiceChange)
{
    PlannerScript script(1);
    addCopyWorker(script, script.planner);
    script.planner.jobAccepted(jobOf(Stamps), script.now);
    script.planner.configurationChanged(configurationWith(queueOf("stamps", "/elsewhere/", "copy-svc")));
    BOOST_TEST(script.planner.pendingJobCount("host", "/elsewhere/") == 1);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.starts.back().worker.id == "w1");
}

// Guards against a number of waiting jobs that contains those of a queue which was at the same place before.
BOOST_AUTO_TEST_CASE(jobsOfARemovedQueueDoNotCountForTheOneThatTakesItsPlace)
{
    PlannerScript script(0);
    script.planner.configurationChanged(configurationWith(Stamps));
    script.planner.jobAccepted(jobOf(Stamps), script.now);
    BOOST_TEST(script.planner.pendingJobCount("host", "/desk/") == 1);
    script.planner.configurationChanged(configurationWith(Copies));
    BOOST_TEST(script.planner.pendingJobCount("host", "/desk/") == 0);
}

// Guards against a job that can't be asked for or cancelled any more, since its queue is gone: its id names it, not the place where it was handed in.
BOOST_AUTO_TEST_CASE(jobOfARemovedQueueIsKnownAndCanBeCancelled)
{
    PlannerScript script(1);
    script.planner.configurationChanged(configurationWith(Stamps));
    script.planner.jobAccepted(jobOf(Stamps), script.now);
    script.planner.configurationChanged(configurationWith(Copies));
    BOOST_TEST((script.planner.jobState("j") == FleetJobState::Queued));
    script.planner.jobCancelled("j", script.now);
    script.planAndStore();
    BOOST_TEST((script.planner.jobState("j") == FleetJobState::Cancelled));
    BOOST_TEST(script.port.starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
