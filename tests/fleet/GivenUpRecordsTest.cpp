#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include <msgpack.hpp>

#include "FakeFleet.h"
#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis LongestDelay = PlannerLimits {}.maxExecutionDelay;

StepSpec oneTask(bool isLongRunning)
{
    StepSpec out;
    out.taskCount = 1;
    out.needs = {500, 500, 0};
    out.estimateMs = 4000;
    out.isLongRunning = isLongRunning;
    return out;
}

// Lets a leader give up the start of "j.0.0.0" on "w0", which doesn't answer any more, and returns the stored progress.
JobRecord giveUpStart(PlannerScript &leader, bool isLongRunning = false)
{
    leader.submitStep("j", oneTask(isLongRunning));
    leader.planAndStore();
    BOOST_REQUIRE_EQUAL(leader.port.starts.size(), 1U);
    leader.advance(Millis(600));
    leader.planner.handleStartResponse(leader.port.starts.front(), {}, leader.now);
    leader.refuseRepetitionsUntilStopped("w0");
    BOOST_REQUIRE_EQUAL(leader.port.stops.size(), 1U);
    leader.planner.handleStopResponse(leader.port.stops.back(), leader.done(), leader.now);
    leader.answerPoll("w0", {});
    leader.answerPoll("w0", {});
    leader.planner.batchStored(leader.planner.takeBatch(leader.now).number, leader.now);
    BOOST_REQUIRE_EQUAL(leader.planner.runCount(), 0U);
    const auto progress = leader.planner.progressOf("j");
    BOOST_REQUIRE(progress);
    return *decodeJobRecord(encodeJobRecord(*progress));
}

// Returns how long a successor that finds this progress waits before it starts the task: again on "w0" if that answers, on "w1" if it is silent.
Millis waitOfSuccessor(const JobRecord &progress, bool isLongRunning, bool isAnswering)
{
    PlannerScript script(0);
    FleetPlanner planner(script.port, script.events, PlannerLimits {}, 1000, script.now);
    FleetJobRequest request;
    request.id = "j";
    request.queue = script.queue;
    request.steps.push_back(oneTask(isLongRunning));
    planner.restoreJob(request, 0, script.now);
    planner.restoreProgress(progress, script.now);
    auto entry = script.entry("w0");
    entry.isDraining = !isAnswering;
    entry.remainingMs = 60'000;
    planner.workerReported(entry, script.now);
    planner.workerReported(script.entry("w1"), script.now);
    planner.startPlanning(script.now);
    const auto openedAt = script.now;
    while (script.port.starts.empty() && script.now - openedAt < LongestDelay * 2) {
        planner.confirmLeadership(script.now, script.now);
        planner.tick(0, script.now);
        planner.handlePollResponse(script.lastPoll("w0"), isAnswering ? script.list({}) : PollWorkerResponse {}, script.now);
        planner.handlePollResponse(script.lastPoll("w1"), script.list({}), script.now);
        planner.plan(script.now);
        planner.batchStored(planner.takeBatch(script.now).number, script.now);
        script.now += Millis(25);
    }
    BOOST_REQUIRE(!script.port.starts.empty());
    BOOST_TEST(script.port.starts.front().worker.id == (isAnswering ? "w0" : "w1"));
    return script.now - openedAt;
}

// Number of seeds for each scenario, as in FaultsTest.
std::uint64_t seedCount()
{
    const char *text = std::getenv("FLEET_SEEDS");
    return text == nullptr ? 6 : std::strtoull(text, nullptr, 10);
}

class TakeoverScenario
{
public:
    explicit TakeoverScenario(std::uint64_t seed)
        : m_fleet(optionsOf(seed))
        , m_random(seed)
    {
    }

    // Starts of one job are late, and three workers fall silent this much later. They start again after a takeover and are reached again after the longest
    // lease of the last leader, but before a start request is too old to be carried out. Returns the violations of several such series.
    std::vector<std::string> play(Millis settleTime, bool isFrozen)
    {
        for (int i = 0; i < 4; ++i) {
            submitWithLateStarts("j" + std::to_string(i));
            m_fleet.run(settleTime + upTo(600));
            const auto first = static_cast<int>(m_random() % Workers);
            const std::set<int> silent {first, (first + 1) % Workers, (first + 2) % Workers};
            setSilent(silent, true);
            m_fleet.run(upTo(200));
            if (isFrozen) {
                m_fleet.freezePlanner(Millis(1500), Millis(2000) + upTo(3000));
            } else {
                m_fleet.killPlanner(Millis(400) + upTo(800));
            }
            m_fleet.run(Millis(1300) + upTo(700));
            for (const auto it : silent) {
                m_fleet.restartWorker(it);
            }
            m_fleet.run(Millis(10'000) + upTo(1300));
            setSilent(silent, false);
            m_fleet.run(Millis(8000) + upTo(4000));
        }
        return m_fleet.violations();
    }

private:
    static constexpr int Workers = 6;

    static FakeFleetOptions optionsOf(std::uint64_t seed)
    {
        FakeFleetOptions out;
        out.seed = seed;
        out.workers = Workers;
        out.delayedRequestsOutliveWorkers = true;
        return out;
    }

    Millis upTo(std::uint64_t ms) { return Millis(static_cast<std::int64_t>(m_random() % ms)); }

    // Only the first starts of the job are late; the others are carried out at once.
    void submitWithLateStarts(const std::string &id)
    {
        StepSpec step;
        step.taskCount = 12;
        step.needs = {500, 500, 0};
        step.estimateMs = 6000 + upTo(6000).count();
        m_fleet.setDelayedRequestShare(0.6);
        m_fleet.submit(m_fleet.makeJob(id, {step}));
        m_fleet.run(Millis(300));
        m_fleet.setDelayedRequestShare(0);
    }

    void setSilent(const std::set<int> &workers, bool isSilent)
    {
        for (const auto it : workers) {
            m_fleet.setUnresponsive(it, isSilent);
        }
    }

    FakeFleet m_fleet;
    std::mt19937_64 m_random;
};

// A record whose tasks have the longest checkpoints, all failures that are listed, and as many starts that were given up as one leader can send in 13 s.
JobRecord largestRecord()
{
    constexpr int GivenUpStarts = 13;
    JobRecord out {"j", FleetJobState::Running, {}, 0};
    for (int i = 0; i < FleetJob::TasksPerPart; ++i) {
        TaskRecord row {0, 0, i, 1000, {}, false, std::string(PlannerLimits {}.maxCheckpointBytes, 'c'), {{1000, "i-5d6e541a11", 1'700'000'000'000}}, 0};
        for (int attempt = 1; attempt <= 64; ++attempt) {
            row.failedAttempts.push_back(attempt + 900);
        }
        for (int attempt = 0; attempt < GivenUpStarts; ++attempt) {
            row.givenUpStarts.push_back({987 + attempt, "i-5d6e541a11"});
        }
        out.tasks.push_back(std::move(row));
    }
    return out;
}

// Returns the encoded record with one more element in each row, as a later version may write it.
std::string withUnknownField(const std::string &record)
{
    const auto handle = msgpack::unpack(record.data(), record.size());
    const auto fields = handle.get().as<std::vector<msgpack::object>>();
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(static_cast<std::uint32_t>(fields.size()));
    for (std::size_t i = 0; i < fields.size(); ++i) {
        if (i != 2) {
            out.pack(fields[i]);
            continue;
        }
        const auto rows = fields[i].as<std::vector<msgpack::object>>();
        out.pack_array(static_cast<std::uint32_t>(rows.size()));
        for (const auto &row : rows) {
            auto cells = row.as<std::vector<msgpack::object>>();
            cells.push_back(cells.back());
            out.pack(cells);
        }
    }
    return {buf.data(), buf.size()};
}

} // namespace

// Starts that an earlier leader gave up, and what its successor knows of them.
BOOST_AUTO_TEST_SUITE(GivenUpRecords)

// Guards against a task that runs twice: a successor places it while the next incarnation of a silent worker may carry out a start that was given up.
BOOST_AUTO_TEST_CASE(successorWaitsForAStartThatItsPredecessorGaveUp)
{
    PlannerScript leader(1);
    const auto progress = giveUpStart(leader);
    const auto waited = waitOfSuccessor(progress, false, false);
    BOOST_TEST(waited > LongestDelay);
    BOOST_TEST(waited < LongestDelay + Millis(500));
}

// Guards against a takeover that keeps tasks waiting although the worker refuses the start: it has answered under the token of the successor.
BOOST_AUTO_TEST_CASE(successorDoesNotWaitWhereTheWorkerRefusesTheGivenUpStart)
{
    PlannerScript leader(1);
    BOOST_TEST(waitOfSuccessor(giveUpStart(leader), false, true) < Millis(500));
}

// Guards against a lasting task that is away for too long after a takeover.
BOOST_AUTO_TEST_CASE(successorKeepsALastingTaskWaitingForAsLongAsItsPredecessor)
{
    PlannerScript leader(1);
    const auto waited = waitOfSuccessor(giveUpStart(leader, true), true, false);
    BOOST_TEST(waited >= Millis(4500));
    BOOST_TEST(waited < Millis(5000));
}

// Guards against tasks that wait after each takeover for starts that can't be carried out any more.
BOOST_AUTO_TEST_CASE(givenUpStartIsRemovedFromTheRecordOnceItCannotBeCarriedOut)
{
    PlannerScript leader(1);
    const auto progress = giveUpStart(leader);
    BOOST_REQUIRE_EQUAL(progress.tasks.size(), 1U);
    BOOST_REQUIRE_EQUAL(progress.tasks.front().givenUpStarts.size(), 1U);
    BOOST_TEST(progress.tasks.front().givenUpStarts.front().worker == "w0");
    BOOST_TEST(progress.tasks.front().givenUpStarts.front().attempt == 1);
    BOOST_TEST(!leader.planner.hasUnstoredChanges());
    leader.advance(LongestDelay);
    BOOST_TEST(leader.planner.hasUnstoredChanges());
    BOOST_TEST(leader.planner.progressOf("j")->tasks.front().givenUpStarts.empty());
}

// Guards against tasks that run twice: leaders change between the time at which starts are given up and the restart of their workers, which carry them out.
BOOST_AUTO_TEST_CASE(workersThatRestartAfterATakeoverAndCarryOutGivenUpStartsCauseNoViolation)
{
    for (const bool isFrozen : {false, true}) {
        for (std::uint64_t seed = 1; seed <= seedCount() * 4; ++seed) {
            for (const auto &it : TakeoverScenario(seed).play(Millis(2500), isFrozen)) {
                BOOST_TEST(false, (isFrozen ? "frozen, seed " : "killed, seed ") << seed << ": " << it);
            }
        }
    }
}

// Guards against the same where the start was not answered before the takeover: the worker is not reached, and its entry doesn't tell that it started again.
BOOST_AUTO_TEST_CASE(workersWhoseRestartNoLeaderNoticesAndThatCarryOutStartsLateCauseNoViolation)
{
    for (const bool isFrozen : {false, true}) {
        for (std::uint64_t seed = 1; seed <= seedCount() * 4; ++seed) {
            for (const auto &it : TakeoverScenario(seed).play(Millis(100), isFrozen)) {
                BOOST_TEST(false, (isFrozen ? "frozen, seed " : "killed, seed ") << seed << ": " << it);
            }
        }
    }
}

// Guards against the same, and against a wait without need: the record tells whether the worker had listed the run and no start of it was unanswered.
BOOST_AUTO_TEST_CASE(successorWaitsForAStartOnlyUntilItsPredecessorHadListedTheRun)
{
    const auto granted = LeadershipConfirmation::longestLease(PlannerLimits {}.leadershipBound, PlannerLimits {}.lease);
    for (const bool isSettled : {false, true}) {
        PlannerScript leader(1);
        // Late calls to earlier incarnations can't have granted any lease that is left.
        for (int i = 0; i < 50; ++i) {
            leader.advance(Millis(250));
            leader.answerPoll("w0", {});
        }
        leader.submitStep("j", oneTask(false));
        leader.planAndStore();
        BOOST_REQUIRE_EQUAL(leader.port.starts.size(), 1U);
        leader.planner.handleStartResponse(leader.port.starts.back(), leader.done(), leader.now);
        leader.answerPoll("w0", {{{"j", 0, 0, 0}, 1, {}, 1, 0}});
        leader.planner.batchStored(leader.planner.takeBatch(leader.now).number, leader.now);
        leader.advance(Millis(isSettled ? 3500 : 0));
        BOOST_TEST(leader.planner.hasUnstoredChanges() == isSettled);
        const auto progress = leader.planner.progressOf("j");
        BOOST_REQUIRE(progress);
        const auto waited = waitOfSuccessor(*decodeJobRecord(encodeJobRecord(*progress)), false, false);
        BOOST_TEST(waited > (isSettled ? granted : LongestDelay));
        BOOST_TEST(waited < (isSettled ? granted : LongestDelay) + Millis(500));
    }
}

// Guards against a job that is held back because the starts that were given up make its record too large.
BOOST_AUTO_TEST_CASE(recordWithManyGivenUpStartsIsNotTooLarge)
{
    constexpr std::size_t MaxRecordBytes = 262'144;
    const auto bytes = encodeJobRecord(largestRecord()).size();
    BOOST_TEST_MESSAGE("largest record: " << bytes << " bytes");
    BOOST_TEST(bytes < MaxRecordBytes);
}

// Guards against an upgrade or a downgrade that loses progress: another version has written more fields.
BOOST_AUTO_TEST_CASE(rowWithAFieldThatIsNotKnownIsRead)
{
    const auto record = encodeJobRecord(largestRecord());
    const auto longer = decodeJobRecord(withUnknownField(record));
    BOOST_REQUIRE(longer);
    BOOST_TEST(encodeJobRecord(*longer) == record);
}

BOOST_AUTO_TEST_SUITE_END()
