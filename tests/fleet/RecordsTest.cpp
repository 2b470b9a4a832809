#include <boost/test/unit_test.hpp>

#include "PlannerScript.h"
#include "marjoramhaven/fleet/PlannerElection.h"
#include "support/Mutator.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

FleetJobRequest sampleRequest()
{
    FleetJobRequest out;
    out.id = "j";
    out.queue.service = "svc";
    StepSpec step;
    step.taskCount = 3;
    step.needs = {500, 500, 0};
    step.estimateMs = 100;
    out.steps = {step, step};
    out.steps[1].after = {0};
    return out;
}

JobRecord sampleRecord()
{
    return {"j", FleetJobState::Running, {{0, 0, 1, 2, {1}, false, "c", {{2, "w0", 1}}}, {0, 1, 2, 0, {}, true, "", {}}}};
}

// Opens a planner on a stored job and its stored progress, and lets it plan.
void restore(const FleetJobRequest &request, const JobRecord &record)
{
    PlannerScript script(0);
    FleetPlanner planner(script.port, script.events, PlannerLimits {}, 8, script.now);
    planner.restoreJob(request, 0, script.now);
    planner.restoreProgress(record, script.now);
    planner.startPlanning(script.now);
    planner.workerReported(script.entry("w0"), script.now);
    planner.tick(0, script.now);
    planner.plan(script.now);
}

} // namespace

// Stored records that another version or another writer has left.
BOOST_AUTO_TEST_SUITE(Records)

BOOST_AUTO_TEST_CASE(storedJobThatIsInconsistentIsRefused)
{
    BOOST_TEST(decodeJobRequest(encodeJobRequest(sampleRequest())).has_value());
    auto request = sampleRequest();
    request.steps[0].taskCount = -1;
    BOOST_TEST(!decodeJobRequest(encodeJobRequest(request)));
    request = sampleRequest();
    request.steps[1].after = {5};
    BOOST_TEST(!decodeJobRequest(encodeJobRequest(request)));
    request = sampleRequest();
    request.steps.clear();
    BOOST_TEST(!decodeJobRequest(encodeJobRequest(request)));
}

BOOST_AUTO_TEST_CASE(progressOfTasksThatTheJobDoesNotHaveIsIgnored)
{
    for (const int odd : {-1, 7, 2'000'000'000}) {
        auto record = sampleRecord();
        record.tasks[0].step = odd;
        restore(sampleRequest(), record);
        record = sampleRecord();
        record.tasks[0].occurrence = odd;
        restore(sampleRequest(), record);
        record = sampleRecord();
        record.tasks[0].index = odd;
        restore(sampleRequest(), record);
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(leadershipRecordWithAPortOutOfRangeIsRefused)
{
    LeadershipRecord record;
    record.node = "n";
    record.host = "127.0.0.1";
    record.port = 7720;
    BOOST_TEST(decodeLeadership(encodeLeadership(record)).has_value());
    record.port = 65536;
    BOOST_TEST(!decodeLeadership(encodeLeadership(record)));
}

BOOST_AUTO_TEST_CASE(mutatedRecordsAreDecodedOrRefused)
{
    Mutator mutator(3);
    LeadershipRecord leadership;
    leadership.node = "n";
    leadership.port = 1;
    for (int i = 0; i < fuzzCount(); ++i) {
        const auto request = decodeJobRequest(mutator.mutate(encodeJobRequest(sampleRequest())));
        const auto record = decodeJobRecord(mutator.mutate(encodeJobRecord(sampleRecord())));
        decodeLeadership(mutator.mutate(encodeLeadership(leadership)));
        if (request || record) {
            restore(request.value_or(sampleRequest()), record.value_or(sampleRecord()));
        }
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()
