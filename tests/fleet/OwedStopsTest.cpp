#include <boost/test/unit_test.hpp>

#include <set>

#include "FakeFleet.h"
#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

const WorkerResponse Refused {WorkerCallOutcome::Unhealthy, 0, "status 503"};
constexpr std::int64_t Reborn = 2;
constexpr int TaskCount = 3;

StepSpec stepOf(bool isGang, bool isLongRunning = false)
{
    StepSpec out;
    out.taskCount = TaskCount;
    out.needs = {300, 300, 0};
    out.estimateMs = 60'000;
    out.isGang = isGang;
    out.isLongRunning = isLongRunning;
    return out;
}

FleetJobRequest jobOf(const PlannerScript &script, std::vector<StepSpec> steps, int repeatCount = 0)
{
    FleetJobRequest out;
    out.id = "j";
    out.queue = script.queue;
    out.steps = std::move(steps);
    out.repeatCount = repeatCount;
    return out;
}

// The stored form of a task with one run at work on "w0".
TaskRecord atWork(int index, int step = 0, int occurrence = 0, std::int64_t attempt = 1)
{
    TaskRecord out;
    out.occurrence = occurrence;
    out.step = step;
    out.index = index;
    out.lastAttempt = attempt;
    out.runs.push_back({attempt, "w0", 1});
    return out;
}

// The stored form of a task whose last run has ended.
TaskRecord ended(int index, bool isDone = false)
{
    auto out = atWork(index);
    out.runs.clear();
    out.isDone = isDone;
    return out;
}

RunningRunInfo listed(const FleetTaskId &task, std::int64_t attempt = 1)
{
    return {task, attempt, {}, 10, 0};
}

// A leader that finds these records, and the worker "w0" that goes on with what runs there.
struct Successor {
    PlannerScript script {0};
    FleetPlanner planner {script.port, script.events, PlannerLimits {}, 8, script.now};
    WorkerReport worker = script.entry("w0");

    Successor(const FleetJobRequest &request, const std::vector<JobRecord> &records, bool isCancelled = false)
    {
        planner.restoreJob(request, 0, script.now);
        for (const auto &it : records) {
            planner.restoreProgress(it, script.now);
        }
        if (isCancelled) {
            planner.jobCancelled(request.id, script.now);
        }
        planner.confirmLeadership(script.now, script.now);
        planner.startPlanning(script.now);
        planner.workerReported(worker, script.now);
        planner.tick(0, script.now);
    }

    void advance(Millis time)
    {
        script.now += time;
        planner.confirmLeadership(script.now, script.now);
        planner.tick(0, script.now);
    }

    // Lets "w0" list these runs and ends.
    void list(const std::vector<RunningRunInfo> &running, const std::vector<EndedRunInfo> &ends = {})
    {
        auto answer = script.list(running);
        answer.ended = ends;
        answer.startedUnixMs = worker.startedUnixMs;
        planner.handlePollResponse(script.lastPoll("w0"), answer, script.now);
        advance(Millis(25));
        planAndStore();
    }

    void planAndStore()
    {
        planner.plan(script.now);
        const auto batch = planner.takeBatch(script.now);
        planner.batchStored(batch.number, script.now);
    }

    // Returns the runs whose stops were sent since the last call, and answers all of them.
    std::set<RunKey> takeStops(const WorkerResponse &answer)
    {
        std::set<RunKey> out;
        const auto stops = std::move(script.port.stops);
        script.port.stops.clear();
        for (const auto &it : stops) {
            out.insert({it.task, it.attempt});
            planner.handleStopResponse(it, answer, script.now);
        }
        return out;
    }
};

std::set<RunKey> runsOf(const std::vector<RunningRunInfo> &rows)
{
    std::set<RunKey> out;
    for (const auto &it : rows) {
        out.insert({it.task, it.attempt});
    }
    return out;
}

std::vector<RunningRunInfo> rowsOf(const std::vector<TaskRecord> &tasks)
{
    std::vector<RunningRunInfo> out;
    for (const auto &task : tasks) {
        for (const auto &run : task.runs) {
            out.push_back(listed({"j", task.occurrence, task.step, task.index}, run.attempt));
        }
    }
    return out;
}

// Checks that these runs, and no others, are stopped until their ends are listed, although their worker refuses the first stops.
void checkStopped(Successor &successor, const std::vector<RunningRunInfo> &owed, const std::vector<RunningRunInfo> &all)
{
    successor.list(all);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((successor.takeStops(Refused) == runsOf(owed)));
        successor.advance(Millis(200));
        successor.list(all);
    }
    BOOST_TEST((successor.takeStops(successor.script.done()) == runsOf(owed)));
}

void setAllSilent(FakeFleet &fleet, bool areSilent)
{
    for (int i = 0; i < FakeFleetOptions {}.workers; ++i) {
        fleet.setUnresponsive(i, areSilent);
    }
}

} // namespace

// What has to be stopped follows from what is stored and listed, so that each leader finds the same. Here the worker refuses the stops of one leader, and the
// next one has only the log and the list of the worker.
BOOST_AUTO_TEST_SUITE(OwedStops)

// Guards against runs of an ended job that are never stopped: their stops were refused, and the leader changed (review/5: a gang that was cancelled).
BOOST_AUTO_TEST_CASE(runsOfAnEndedJobAreStoppedAfterATakeover)
{
    const PlannerScript script(0);
    for (const auto state : {FleetJobState::Cancelled, FleetJobState::Failed, FleetJobState::Completed}) {
        for (const bool isGang : {false, true}) {
            for (const bool isLongRunning : {false, true}) {
                BOOST_TEST_CONTEXT(nameOf(state) << ", gang " << isGang << ", lasting " << isLongRunning)
                {
                    const std::vector<TaskRecord> tasks {atWork(0), atWork(1), atWork(2)};
                    Successor successor(jobOf(script, {stepOf(isGang, isLongRunning)}), {{"j", state, tasks}});
                    checkStopped(successor, rowsOf(tasks), rowsOf(tasks));
                }
            }
        }
    }
}

// Guards against runs that go on: the job was cancelled, and the leader ended before it stored that.
BOOST_AUTO_TEST_CASE(runsAreStoppedIfOnlyTheCancellationIsStored)
{
    const PlannerScript script(0);
    for (const bool isGang : {false, true}) {
        const std::vector<TaskRecord> tasks {atWork(0), atWork(1), atWork(2)};
        Successor successor(jobOf(script, {stepOf(isGang)}), {{"j", FleetJobState::Running, tasks}}, true);
        checkStopped(successor, rowsOf(tasks), rowsOf(tasks));
    }
}

// Guards against runs of the other steps and occurrences of an ended job that are overlooked.
BOOST_AUTO_TEST_CASE(runsOfAllStepsAndOccurrencesOfAnEndedJobAreStopped)
{
    const PlannerScript script(0);
    const std::vector<TaskRecord> tasks {atWork(0), atWork(1, 1), atWork(2, 0, 1), atWork(0, 1, 1)};
    Successor successor(jobOf(script, {stepOf(false), stepOf(true)}, 2), {{"j", FleetJobState::Cancelled, tasks}});
    checkStopped(successor, rowsOf(tasks), rowsOf(tasks));
}

// Guards against members of a broken gang that work on alone for ever, so that the gang never starts again: their stops were refused, and the leader changed.
BOOST_AUTO_TEST_CASE(gangThatBrokeBeforeATakeoverIsStoppedAndStartsAgain)
{
    const PlannerScript script(0);
    for (const bool isLongRunning : {false, true}) {
        const std::vector<TaskRecord> tasks {ended(0), atWork(1), atWork(2)};
        Successor successor(jobOf(script, {stepOf(true, isLongRunning)}), {{"j", FleetJobState::Running, tasks}});
        checkStopped(successor, rowsOf(tasks), rowsOf(tasks));
        BOOST_TEST(successor.script.port.starts.empty());
        successor.list({}, {{1, {"j", 0, 0, 1}, 1, RunEnd::Stopped, {}}, {2, {"j", 0, 0, 2}, 1, RunEnd::Stopped, {}}});
        successor.advance(Millis(200));
        successor.planAndStore();
        BOOST_TEST(successor.script.port.starts.size() == std::size_t(TaskCount));
    }
}

// Guards against a gang that is stopped although all its members are at work.
BOOST_AUTO_TEST_CASE(completeGangRunsOnAfterATakeover)
{
    const PlannerScript script(0);
    const std::vector<TaskRecord> tasks {atWork(0), atWork(1), atWork(2)};
    Successor successor(jobOf(script, {stepOf(true)}), {{"j", FleetJobState::Running, tasks}});
    checkStopped(successor, {}, rowsOf(tasks));
}

// Guards against a gang of an earlier attempt that works on beside the present one.
BOOST_AUTO_TEST_CASE(memberOfAnEarlierAttemptIsStopped)
{
    const PlannerScript script(0);
    std::vector<TaskRecord> tasks {atWork(0, 0, 0, 2), atWork(1, 0, 0, 2), atWork(2, 0, 0, 2)};
    tasks[1].runs.push_back({1, "w0", 1});
    Successor successor(jobOf(script, {stepOf(true)}), {{"j", FleetJobState::Running, tasks}});
    checkStopped(successor, {listed({"j", 0, 0, 1}, 1)}, rowsOf(tasks));
}

// Guards against a second run of a task that goes on after the first one is done.
BOOST_AUTO_TEST_CASE(otherRunOfATaskThatIsDoneIsStoppedAfterATakeover)
{
    const PlannerScript script(0);
    auto step = stepOf(false);
    step.allowsSpeculation = true;
    auto done = atWork(0);
    done.isDone = true;
    const std::vector<TaskRecord> tasks {done, atWork(1)};
    Successor successor(jobOf(script, {step}), {{"j", FleetJobState::Running, tasks}});
    checkStopped(successor, {listed({"j", 0, 0, 0})}, rowsOf(tasks));
}

// Guards against two runs of one task: a worker lists one that the leader never meant to run, refuses its stop, and the next leader takes it for one of its
// own.
BOOST_AUTO_TEST_CASE(runThatAnEarlierLeaderDidNotKnowIsStoppedAfterATakeover)
{
    const PlannerScript script(0);
    for (const bool isGang : {false, true}) {
        const auto request = jobOf(script, {stepOf(isGang)});
        const std::vector<TaskRecord> tasks {atWork(0, 0, 0, 2), atWork(1, 0, 0, 2), atWork(2, 0, 0, 2)};
        const auto unknown = listed({"j", 0, 0, 1}, 1);
        auto all = rowsOf(tasks);
        all.push_back(unknown);
        Successor first(request, {{"j", FleetJobState::Running, tasks}});
        checkStopped(first, {unknown}, all);
        Successor second(request, {*first.planner.progressOf("j")});
        checkStopped(second, {unknown}, all);
    }
}

// Guards against a start that was given up under an earlier leader, and which the next incarnation of its worker carries out under the next leader.
BOOST_AUTO_TEST_CASE(givenUpStartThatARestartedWorkerCarriesOutIsStopped)
{
    const PlannerScript script(0);
    const std::vector<TaskRecord> tasks {atWork(0, 0, 0, 2), atWork(1), atWork(2)};
    Successor successor(jobOf(script, {stepOf(false)}), {{"j", FleetJobState::Running, tasks}});
    successor.list(rowsOf(tasks));
    BOOST_TEST(successor.takeStops(Refused).empty());
    successor.worker.startedUnixMs = Reborn;
    successor.planner.workerReported(successor.worker, successor.script.now);
    const auto givenUp = listed({"j", 0, 0, 0}, 1);
    checkStopped(successor, {givenUp}, {givenUp});
}

// Guards against a run that goes on for ever because its worker has confirmed a stop without carrying it out.
BOOST_AUTO_TEST_CASE(stopThatHasNoEffectIsSentAgain)
{
    const PlannerScript script(0);
    const std::vector<TaskRecord> tasks {atWork(0)};
    Successor successor(jobOf(script, {stepOf(false)}), {{"j", FleetJobState::Cancelled, tasks}});
    successor.list(rowsOf(tasks));
    BOOST_TEST(successor.takeStops(successor.script.done()).size() == 1U);
    successor.advance(PlannerLimits {}.stopTime);
    successor.list(rowsOf(tasks));
    // The list may be older than the end of the run.
    BOOST_TEST(successor.takeStops(successor.script.done()).empty());
    successor.advance(Millis(2000));
    successor.list(rowsOf(tasks));
    successor.advance(Millis(25));
    BOOST_TEST(successor.takeStops(successor.script.done()).size() == 1U);
}

// Guards against a lasting task that stays on a worker until that has left: its stop was refused, and the leader changed.
BOOST_AUTO_TEST_CASE(lastingTaskOnADrainingWorkerIsStoppedAfterATakeover)
{
    const PlannerScript script(0);
    const std::vector<TaskRecord> tasks {atWork(0)};
    Successor successor(jobOf(script, {stepOf(false, true)}), {{"j", FleetJobState::Running, tasks}});
    successor.worker.isDraining = true;
    successor.worker.remainingMs = 2500;
    successor.planner.workerReported(successor.worker, successor.script.now);
    checkStopped(successor, rowsOf(tasks), rowsOf(tasks));
}

// Guards against a task that stands still for ever: its stop was refused, and the leader changed.
BOOST_AUTO_TEST_CASE(taskThatStandsStillIsStoppedAfterATakeover)
{
    const PlannerScript script(0);
    const std::vector<TaskRecord> tasks {atWork(0)};
    auto step = stepOf(false);
    step.estimateMs = 1000;
    Successor successor(jobOf(script, {step}), {{"j", FleetJobState::Running, tasks}});
    for (int i = 0; i < 4; ++i) {
        successor.list(rowsOf(tasks));
        successor.advance(Millis(900));
    }
    checkStopped(successor, rowsOf(tasks), rowsOf(tasks));
}

// Guards against what review/5 found, on a whole fleet: workers are silent for a moment, a job is cancelled, and the leader changes.
BOOST_AUTO_TEST_CASE(cancelledTasksEndAlthoughTheirWorkersWereSilentBeforeATakeover)
{
    for (const bool isGang : {false, true}) {
        for (const bool isLongRunning : {false, true}) {
            FakeFleet fleet({});
            fleet.submit(fleet.makeJob("j", {stepOf(isGang, isLongRunning)}));
            BOOST_REQUIRE(fleet.runUntil(
                [&fleet]() {
                    return fleet.tasksAtWork().size() == std::size_t(TaskCount);
                },
                Millis(3000)));
            setAllSilent(fleet, true);
            fleet.cancel("j");
            fleet.run(Millis(500));
            fleet.killPlanner(Millis(700));
            fleet.run(Millis(1500));
            BOOST_TEST(fleet.tasksAtWork().size() == std::size_t(TaskCount));
            setAllSilent(fleet, false);
            fleet.run(Millis(3000));
            BOOST_TEST(fleet.tasksAtWork().empty());
        }
    }
}

// Guards against a gang that stays broken: one member is lost while the workers of the others are silent, and the leader changes.
BOOST_AUTO_TEST_CASE(brokenGangStartsAgainAlthoughItsWorkersWereSilentBeforeATakeover)
{
    for (const bool isLongRunning : {false, true}) {
        FakeFleet fleet({});
        auto gang = stepOf(true, isLongRunning);
        gang.maxPerWorker = 1;
        fleet.submit(fleet.makeJob("j", {gang}));
        const auto isAtWork = [&fleet]() {
            return fleet.tasksAtWork().size() == std::size_t(TaskCount);
        };
        BOOST_REQUIRE(fleet.runUntil(isAtWork, Millis(3000)));
        const auto lost = fleet.workerOf("j.0.0.1");
        setAllSilent(fleet, true);
        fleet.setUnresponsive(lost, false);
        fleet.restartWorker(lost);
        fleet.run(Millis(500));
        fleet.killPlanner(Millis(700));
        fleet.run(Millis(1500));
        setAllSilent(fleet, false);
        fleet.run(Millis(4000));
        BOOST_TEST(isAtWork());
        for (int i = 0; i < TaskCount; ++i) {
            BOOST_TEST(fleet.startsOf("j.0.0." + std::to_string(i)) == 2);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
