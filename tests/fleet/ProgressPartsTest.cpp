#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr std::size_t MaxRecordBytes = 262'144;

StepSpec stepOf(int taskCount)
{
    StepSpec out;
    out.taskCount = taskCount;
    out.needs = {90, 64, 0};
    out.estimateMs = 3000;
    return out;
}

FleetJobRequest requestOf(std::vector<StepSpec> steps, int repeatCount = 0)
{
    FleetJobRequest out;
    out.id = "j";
    out.steps = std::move(steps);
    out.repeatCount = repeatCount;
    return out;
}

RunRecord locate(const FleetTaskId & /*task*/, std::int64_t attempt)
{
    return {attempt, "i-5d6e541a11", 1'700'000'000'000};
}

// Gives a task its first run, as the planner does.
void place(FleetJob &job, const FleetTaskId &id)
{
    auto *task = job.find(id);
    BOOST_REQUIRE(task != nullptr);
    task->lastAttempt = 1;
    task->activeAttempts = {1};
    job.markChanged(id);
}

void placeAll(FleetJob &job, int step, int taskCount)
{
    for (int i = 0; i < taskCount; ++i) {
        place(job, {"j", 0, step, i});
    }
}

// The tasks of the records that a log holds after the progress was stored there.
using Stored = std::map<std::string, JobRecord>;

void store(Stored &stored, const JobProgress &progress)
{
    for (const auto &it : progress.records) {
        stored[progressKey(it.job, it.part)] = it;
    }
    for (const auto &it : progress.deletedKeys) {
        stored.erase(it);
    }
}

FleetJob restored(const FleetJobRequest &request, const Stored &stored)
{
    FleetJob out(request, atMillis(0));
    for (const auto &[key, record] : stored) {
        out.restore(record);
    }
    return out;
}

bool areEqual(const JobRecord &a, const JobRecord &b)
{
    return encodeJobRecord(a) == encodeJobRecord(b);
}

} // namespace

// The records in which the progress of a job is stored.
BOOST_AUTO_TEST_SUITE(ProgressParts)

// Guards against the progress of a large job in a record that the log does not take.
BOOST_AUTO_TEST_CASE(progressOfALargeJobIsStoredInRecordsThatTheLogTakes)
{
    constexpr int TaskCount = 10'000;
    const auto request = requestOf({stepOf(TaskCount), stepOf(TaskCount)});
    FleetJob job(request, atMillis(0));
    job.occurrence(0);
    job.state = FleetJobState::Running;
    for (int step = 0; step < 2; ++step) {
        placeAll(job, step, TaskCount);
    }
    for (auto &it : job.occurrence(0).steps[0].tasks) {
        it.checkpoint = std::string(PlannerLimits {}.maxCheckpointBytes, 'c');
        it.activeAttempts = {1, 2};
        for (int attempt = 0; attempt < 1000; ++attempt) {
            it.addFailure((1LL << 40) + attempt);
        }
        BOOST_REQUIRE(it.failureCount() == 1000);
    }
    Stored stored;
    store(stored, job.takeProgress(locate));
    for (const auto &[key, record] : stored) {
        BOOST_REQUIRE(1 + key.size() + encodeJobRecord(record).size() <= MaxRecordBytes);
        BOOST_REQUIRE(jobOfProgressKey(key) == "j");
        const auto decoded = decodeJobRecord(encodeJobRecord(record));
        BOOST_REQUIRE((decoded && areEqual(*decoded, record)));
    }
    const auto successor = restored(request, stored);
    BOOST_TEST(areEqual(successor.record(locate), job.record(locate)));
}

BOOST_AUTO_TEST_CASE(changeOfOneTaskIsStoredWithoutTheOtherParts)
{
    constexpr int TaskCount = 8000;
    FleetJob job(requestOf({stepOf(TaskCount)}), atMillis(0));
    job.occurrence(0);
    placeAll(job, 0, TaskCount);
    job.takeProgress(locate);
    BOOST_TEST(!job.hasChanges());
    place(job, {"j", 0, 0, TaskCount - 1});
    const auto progress = job.takeProgress(locate);
    BOOST_REQUIRE(progress.records.size() == 1U);
    BOOST_TEST(progress.records.front().tasks.size() <= static_cast<std::size_t>(FleetJob::TasksPerPart));
    // A job that has ended leaves a single record.
    job.state = FleetJobState::Completed;
    job.releaseTasks();
    const auto released = job.takeProgress(locate);
    BOOST_REQUIRE(released.records.size() == 1U);
    BOOST_TEST(released.records.front().part == 0);
    BOOST_TEST(released.records.front().tasks.empty());
    BOOST_TEST(released.deletedKeys.size() == static_cast<std::size_t>(TaskCount / FleetJob::TasksPerPart - 1));
    BOOST_TEST(!job.hasChanges());
}

BOOST_AUTO_TEST_CASE(partsOfSeveralStepsAndOccurrencesAreRestored)
{
    const auto request = requestOf({stepOf(50), stepOf(7), stepOf(100)}, 3);
    FleetJob job(request, atMillis(0));
    for (const int occurrence : {0, 2}) {
        job.occurrence(occurrence);
        for (int i = 0; i < 100; i += 9) {
            place(job, {"j", occurrence, 2, i});
        }
        place(job, {"j", occurrence, 1, 6});
        place(job, {"j", occurrence, 0, 49});
    }
    Stored stored;
    store(stored, job.takeProgress(locate));
    const auto successor = restored(request, stored);
    BOOST_TEST(areEqual(successor.record(locate), job.record(locate)));
}

// Guards against tasks that run twice or are lost when the log holds the whole progress in one record, as earlier versions wrote it.
BOOST_AUTO_TEST_CASE(progressInOneRecordIsSplitWithoutLoss)
{
    const auto request = requestOf({stepOf(300)});
    FleetJob job(request, atMillis(0));
    job.occurrence(0);
    placeAll(job, 0, 300);
    // A part of an even earlier leader, which the record of the whole progress replaces.
    JobRecord outdated {"j", FleetJobState::Running, {{0, 0, 299, 9, {}, true, "", {}}}, 4};
    Stored stored {{"j", job.record(locate)}, {progressKey("j", 4), outdated}};
    auto successor = restored(request, stored);
    BOOST_TEST(areEqual(successor.record(locate), job.record(locate)));
    BOOST_TEST(successor.hasChanges());
    const auto progress = successor.takeProgress(locate);
    BOOST_REQUIRE(!progress.records.empty());
    // The record that holds all is replaced only after all other parts are stored.
    BOOST_TEST(progress.records.back().part == 0);
    store(stored, progress);
    BOOST_TEST(areEqual(restored(request, stored).record(locate), job.record(locate)));
}

// Guards against a gang that waits for ever, because only some of the parts that say that it is done were stored.
BOOST_AUTO_TEST_CASE(gangWhosePartsDisagreeIsDoneAsAWhole)
{
    auto gang = stepOf(100);
    gang.isGang = true;
    const auto request = requestOf({gang});
    FleetJob job(request, atMillis(0));
    job.occurrence(0);
    placeAll(job, 0, 100);
    Stored stored;
    store(stored, job.takeProgress(locate));
    for (auto &it : job.occurrence(0).steps[0].tasks) {
        it.isDone = true;
        it.activeAttempts.clear();
    }
    job.markStepChanged(0, 0);
    const auto progress = job.takeProgress(locate);
    BOOST_REQUIRE(progress.records.size() == 2U);
    stored[progressKey("j", progress.records.front().part)] = progress.records.front();
    auto successor = restored(request, stored);
    successor.alignGangs();
    BOOST_TEST(successor.occurrence(0).isDone());
}

BOOST_AUTO_TEST_CASE(failureThatIsReportedAgainCountsOnce)
{
    FleetTask task;
    for (int attempt = 1; attempt <= 500; ++attempt) {
        task.addFailure(attempt);
    }
    task.addFailure(1);
    task.addFailure(400);
    task.addFailure(500);
    BOOST_TEST(task.failureCount() == 500);
}

// Guards against a stored row that is larger than its part allows, as earlier versions wrote it, and against a negative number of failures.
BOOST_AUTO_TEST_CASE(restoredFailuresAreBounded)
{
    TaskRecord row {0, 0, 0, 500, {}, false, "", {}, -1};
    for (int attempt = 1; attempt <= 500; ++attempt) {
        row.failedAttempts.push_back(attempt);
    }
    FleetJob job(requestOf({stepOf(1)}), atMillis(0));
    job.restore({"j", FleetJobState::Running, {row}, 0});
    BOOST_TEST(job.find({"j", 0, 0, 0})->failureCount() == 500);
    BOOST_TEST(job.find({"j", 0, 0, 0})->failedAttempts.size() < 100U);
}

// Guards against all work coming to a halt because the log refuses the record of one job.
BOOST_AUTO_TEST_CASE(jobWhoseProgressIsRefusedIsHeldBackAndOthersStart)
{
    PlannerScript script;
    script.submit("bad", 1000);
    script.submit("good", 1000);
    script.planner.plan(script.now);
    const auto batch = script.planner.takeBatch(script.now);
    BOOST_REQUIRE(batch.records.size() == 2U);
    script.planner.batchStored(batch.number, script.now, {"bad"});
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    BOOST_TEST(script.port.starts.front().task.job == "good");
    // Its state in the log is still the old one, and its worker is free for others.
    BOOST_TEST((script.planner.jobState("bad") == FleetJobState::Queued));
    script.submit("other", 1000);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 2U);
    BOOST_TEST(script.port.starts.back().task.job == "other");
    // Its progress is stored again after a pause. Once the log takes it, the job goes on.
    script.planner.jobCancelled("other", script.now);
    script.planner.handleStartResponse(script.port.starts.back(), script.done(), script.now);
    script.advance(Millis(2100));
    for (const std::string worker : {"w0", "w1"}) {
        script.answerPoll(worker, {});
        script.answerPoll(worker, {});
    }
    script.planAndStore();
    script.planAndStore();
    BOOST_TEST(std::any_of(script.port.starts.begin(), script.port.starts.end(), [](const StartRunRequest &it) {
        return it.task.job == "bad";
    }));
}

// Guards against the end of a run that its worker discards although the log has refused the record of it.
BOOST_AUTO_TEST_CASE(endIsNotAcknowledgedWhileTheProgressOfItsJobIsRefused)
{
    PlannerScript script(1);
    script.submit("bad", 1000);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    script.planner.handleStartResponse(script.port.starts.front(), script.done(), script.now);
    auto ended = script.list({});
    ended.ended.push_back({1, script.port.starts.front().task, 1, RunEnd::Done, ""});
    script.advance(Millis(25));
    script.planner.handlePollResponse(script.lastPoll("w0"), ended, script.now);
    const auto batch = script.planner.takeBatch(script.now);
    script.planner.batchStored(batch.number, script.now, {"bad"});
    script.advance(Millis(400));
    BOOST_TEST(script.lastPoll("w0").acknowledged == 0);
    script.planAndStore();
    script.advance(Millis(400));
    BOOST_TEST(script.lastPoll("w0").acknowledged == 0);
    BOOST_TEST((script.planner.jobState("bad") == FleetJobState::Running));
    script.planner.handlePollResponse(script.lastPoll("w0"), ended, script.now);
    script.advance(Millis(2100));
    script.planAndStore();
    script.planner.handlePollResponse(script.lastPoll("w0"), ended, script.now);
    script.advance(Millis(400));
    BOOST_TEST((script.planner.jobState("bad") == FleetJobState::Completed));
    BOOST_TEST(script.lastPoll("w0").acknowledged == 1);
}

// Guards against a record that grows without limit with what a worker reports.
BOOST_AUTO_TEST_CASE(checkpointThatIsTooLongToStoreIsNotUsed)
{
    PlannerScript script(1);
    StepSpec step = stepOf(1);
    step.checkpoints = true;
    script.submitStep("j", step);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 1U);
    script.planner.handleStartResponse(script.port.starts.front(), script.done(), script.now);
    auto ended = script.list({});
    ended.ended.push_back({1, script.port.starts.front().task, 1, RunEnd::Stopped, std::string(PlannerLimits {}.maxCheckpointBytes + 1, 'c')});
    script.advance(Millis(25));
    script.planner.handlePollResponse(script.lastPoll("w0"), ended, script.now);
    script.planAndStore();
    BOOST_REQUIRE(script.port.starts.size() == 2U);
    BOOST_TEST(script.port.starts.back().checkpoint.empty());
}

BOOST_AUTO_TEST_SUITE_END()
