#include <boost/test/unit_test.hpp>

#include <set>
#include <sstream>

#include "LinkedFleet.h"
#include "marjoramhaven/fleet/LeadershipConfirmation.h"
#include "marjoramhaven/fleet/PlannerLimits.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;
using platform::Json;

namespace {

constexpr PlannerLimits Limits;
constexpr int WithinMs = 5000;
// More than any wait that has a deadline of its own: the timers of waitFor() may end some percent early.
constexpr int LimitMs = 20'000;
constexpr Millis LongTask {60'000};
constexpr Millis TaskEndingBehindCut {7000};
// How long a task may wait for its next start once its run is known to be gone.
constexpr Millis StartWithin {2000};
// The longest lease on the clock of a leader.
constexpr Millis LongestLease {Limits.maxLease.count() * 100 / 98};
// How long before the longest lease ends a worker is reached again. Its successor has to learn of ends until then.
constexpr Millis RestoredBeforeLapse {450};
constexpr Millis PlacingTime {150};
// A successor that opens earlier than this after the call that granted the longest lease, and knows only of the leases of its predecessor, gives runs up and
// starts them elsewhere before the worker is reached again.
const Millis Window = Limits.maxLease - LeadershipConfirmation::longestLease(Limits.leadershipBound, Limits.lease) - RestoredBeforeLapse - PlacingTime;
const std::string WholeWorker = R"({"spec":"s","phases":[{"count":1,"cpu":8000,"mem-mb":100,"estimate-ms":60000}]})";

TaskBehaviour wholeWorkerFor(Millis duration)
{
    TaskBehaviour out;
    out.needs = {8000, 100, 0};
    out.duration = duration;
    return out;
}

void waitUntil(TimePoint time)
{
    waitFor(
        [time]() {
            return monotonicNow() >= time;
        },
        LimitMs);
}

// Returns how much later a worker's next start has to be for its clock to stand lower, so that the ends of leases that were sent before lie ahead.
Millis bornChangeToLowerClock(WorkerReport report)
{
    const auto clockMs = [&report]() {
        return FleetWorkerModel(report, {}, {}, {}).reportAt(TimePoint {}).clockMs;
    };
    const auto before = clockMs();
    Millis out {0};
    while (clockMs() >= before) {
        ++out;
        ++report.startedUnixMs;
    }
    return out;
}

// Returns the runs of a task with their times since an event, in milliseconds.
std::string describe(const std::vector<RunsAtWork::Run> &runs, TimePoint since)
{
    std::ostringstream out;
    for (const auto &it : runs) {
        out << "[" << it.worker << " from " << (it.startedAt - since).count();
        if (it.endedAt) {
            out << " to " << (*it.endedAt - since).count() << " " << nameOf(it.end);
        }
        out << "] ";
    }
    return out.str();
}

enum class LeaderFate {
    Ends,
    // It is cut off from the store and from its peer, together with the worker that its successor doesn't reach.
    LivesOn,
};

// A job with one task, and when its worker is cut off from the successor.
enum CutOffJob : std::size_t {
    // Before the successor reaches it.
    Unreached,
    // After the successor has had its list.
    Listed,
    // The same, and the run ends behind the cut, which ends before the lease.
    EndsBehindCut,
};

// All workers start again under their ids and carry out calls to their earlier incarnations, which grant them the longest lease. The three tasks are placed
// there, and their workers are cut off when the other process takes over.
struct CutOffAfterTakeover : LinkedFleet {
    struct Polls {
        int ofSuccessor = 0;
        TimePoint newestOfLeader {};
    };

    const std::vector<std::string> jobs {"00000000000000a1", "00000000000000a2", "00000000000000a3"};
    // By worker, since the takeover began.
    std::map<std::size_t, Polls> polls;
    std::size_t openedNode = 0;
    TimePoint lateCallsAt {};
    TimePoint openedAt {};

    CutOffAfterTakeover()
        : LinkedFleet(6)
    {
        platform.taskBehaviour = [this](const FleetTaskId &task) {
            return wholeWorkerFor(task.toString() == taskOf(jobs[EndsBehindCut]) ? TaskEndingBehindCut : LongTask);
        };
    }

    const std::vector<RunsAtWork::Run> &runsOf(std::size_t job) { return runs.runsOf[taskOf(jobs[job])]; }
    std::size_t firstWorkerOf(std::size_t job) { return static_cast<std::size_t>(std::stoi(runsOf(job).front().worker.substr(2))); }
    bool isElsewhere(std::size_t job) { return runsOf(job).size() == 2 && runsOf(job).front().endedAt && !runsOf(job).back().endedAt; }
    TimePoint lapsesAt() const { return lateCallsAt + Limits.maxLease; }
    // Where its successor doesn't reach the worker, it doesn't know whether the start was answered before it opened, so it may still be carried out.
    TimePoint startsElsewhereBy(std::size_t job) const
    {
        return openedAt + (job == Unreached ? std::max(LongestLease, Limits.maxExecutionDelay) : LongestLease) + StartWithin;
    }

    // Each worker keeps a poll that extends its lease, and carries it out as the first call of its next incarnation. The restart closes its connections.
    void restartWithLateLeases()
    {
        std::set<std::size_t> keeping;
        platform.isCallKept = [&keeping](std::size_t worker, const HttpRequest &call) {
            const bool isGranting = call.path == "/v1/hold" && Json::parse(call.body.toStdString()).value("deadline-ms", std::int64_t(0)) > 0;
            return isGranting && keeping.insert(worker).second;
        };
        BOOST_REQUIRE(waitFor(
            [&]() {
                return keeping.size() == platform.workerCount();
            },
            WithinMs));
        platform.isCallKept = {};
        lateCallsAt = monotonicNow();
        platform.isKeptCallDue = [this](std::size_t worker, const HttpRequest &) {
            platform.restartWorker(worker, bornChangeToLowerClock(platform.worker(worker).report()));
            return true;
        };
        BOOST_REQUIRE(waitFor(
            [&]() {
                return platform.lateCallCount() == static_cast<int>(platform.workerCount());
            },
            WithinMs));
        for (auto &it : workerLinks[leader]) {
            it->resetConnections();
        }
    }

    void placeTasks()
    {
        for (const auto &it : jobs) {
            BOOST_REQUIRE_EQUAL(fleet.call(leader, "POST", "/q/" + it, WholeWorker).status, 200);
        }
        BOOST_REQUIRE(waitFor(
            [this]() {
                return std::all_of(jobs.begin(), jobs.end(), [this](const auto &it) {
                    return runs.countOf(taskOf(it)) == 1;
                });
            },
            WithinMs));
    }

    void takeOver(LeaderFate fate)
    {
        setCutOff(firstWorkerOf(Unreached), true);
        openedNode = fate == LeaderFate::Ends ? 0 : successor;
        if (fate == LeaderFate::Ends) {
            fleet.removeLeader();
        } else {
            cutOffWith(firstWorkerOf(Unreached));
        }
        countPolls();
        BOOST_REQUIRE(waitFor(
            [this]() {
                return fleet.isLeading(openedNode);
            },
            WithinMs));
        openedAt = monotonicNow();
    }

    // The fencing tokens of a successor are higher than the number of records in the topic of the leadership before its claim.
    void countPolls()
    {
        const auto recordCount = static_cast<std::int64_t>(platform.store().topicSize("keyed.leadership"));
        platform.isCallKept = [this, recordCount](std::size_t worker, const HttpRequest &call) {
            const bool isPoll = call.path == "/v1/hold";
            if (isPoll && Json::parse(call.body.toStdString()).value("fencing-token", std::int64_t(0)) > recordCount) {
                ++polls[worker].ofSuccessor;
            } else if (isPoll) {
                polls[worker].newestOfLeader = monotonicNow();
            }
            return false;
        };
    }

    // A second poll shows that the successor has had the answer to the first.
    void cutOffOnceListed()
    {
        BOOST_REQUIRE(waitFor(
            [this]() {
                return polls[firstWorkerOf(Listed)].ofSuccessor > 1 && polls[firstWorkerOf(EndsBehindCut)].ofSuccessor > 1;
            },
            WithinMs));
        setCutOff(firstWorkerOf(Listed), true);
        setCutOff(firstWorkerOf(EndsBehindCut), true);
    }

    void awaitStartsElsewhere()
    {
        const auto until = std::max(startsElsewhereBy(Unreached), startsElsewhereBy(Listed));
        waitFor(
            [this, until]() {
                return (isElsewhere(Unreached) && isElsewhere(Listed)) || monotonicNow() >= until;
            },
            LimitMs);
    }
};

// Returns a fleet whose successor opened early enough after the late calls.
std::unique_ptr<CutOffAfterTakeover> takenOverInTime(LeaderFate fate)
{
    constexpr int Attempts = 8;
    std::unique_ptr<CutOffAfterTakeover> out;
    for (int i = 0; i < Attempts && (!out || out->openedAt - out->lateCallsAt >= Window); ++i) {
        out = std::make_unique<CutOffAfterTakeover>();
        out->restartWithLateLeases();
        out->placeTasks();
        out->takeOver(fate);
    }
    BOOST_REQUIRE(out->openedAt - out->lateCallsAt < Window);
    return out;
}

void requireOneRunAtOnce(LeaderFate fate)
{
    const auto it = takenOverInTime(fate);
    it->cutOffOnceListed();
    waitUntil(it->lapsesAt() - RestoredBeforeLapse);
    it->setCutOff(it->firstWorkerOf(EndsBehindCut), false);
    it->awaitStartsElsewhere();
    for (const auto job : {Unreached, Listed}) {
        BOOST_TEST_CONTEXT(describe(it->runsOf(job), it->lateCallsAt) << "opened " << (it->openedAt - it->lateCallsAt).count())
        {
            BOOST_TEST(it->runs.mostAtOnceOf(taskOf(it->jobs[job])) == 1);
            BOOST_TEST(it->isElsewhere(job));
            BOOST_TEST((it->runsOf(job).back().startedAt <= it->startsElsewhereBy(job)));
            BOOST_TEST((it->runsOf(job).front().end == RunEnd::LeaseExpired && it->runsOf(job).front().endedAt >= it->lapsesAt()));
        }
    }
    BOOST_TEST(it->polls[it->firstWorkerOf(Unreached)].ofSuccessor == 0);
    BOOST_TEST((it->polls[it->firstWorkerOf(Unreached)].newestOfLeader > it->openedAt) == (fate == LeaderFate::LivesOn));
    BOOST_TEST_CONTEXT(describe(it->runsOf(EndsBehindCut), it->lateCallsAt) << "opened " << (it->openedAt - it->lateCallsAt).count())
    {
        const auto &first = it->runsOf(EndsBehindCut).front();
        BOOST_TEST(it->runsOf(EndsBehindCut).size() == 1);
        BOOST_TEST((first.end == RunEnd::Done && first.endedAt < it->lapsesAt() - RestoredBeforeLapse));
        BOOST_TEST((it->platform.worker(it->firstWorkerOf(EndsBehindCut)).leaseExpiredAt() < first.startedAt));
        BOOST_TEST(it->fleet.isCompleted(it->openedNode, it->jobs[EndsBehindCut]));
    }
}

} // namespace

// Runs on workers that hold the longest lease, since their present incarnation has carried out a call to an earlier one.
BOOST_AUTO_TEST_SUITE(LateLeases)

// Guards against two runs of a task: the successor of a leader that ended gave its run up before the lease was over, with or without the worker's list.
BOOST_AUTO_TEST_CASE(successorKeepsRunsForTheLongestLeaseAfterTheLeaderHasEnded)
{
    requireOneRunAtOnce(LeaderFate::Ends);
}

// Guards against the same while the former leader lives on behind the cut, together with the worker.
BOOST_AUTO_TEST_CASE(successorKeepsRunsForTheLongestLeaseWhileTheFormerLeaderLivesOn)
{
    requireOneRunAtOnce(LeaderFate::LivesOn);
}

// Guards against two runs of a task: the next incarnation of its worker answered the start, and was cut off before it listed the run.
BOOST_AUTO_TEST_CASE(runIsKeptForTheLongestLeaseIfTheNextIncarnationAnsweredItsStart)
{
    LinkedFleet linked(3);
    auto &platform = linked.platform;
    platform.taskBehaviour = [](const FleetTaskId &) {
        return wholeWorkerFor(LongTask);
    };
    // A leader assumes the longest lease of all workers at first.
    waitUntil(monotonicNow() + LongestLease);
    std::optional<std::size_t> restarted;
    int startCalls = 0;
    platform.setHoldingEntriesBack(true);
    platform.isCallKept = [&](std::size_t worker, const HttpRequest &call) {
        const bool isStart = call.path == "/v1/run-start";
        const bool isFirstStart = isStart && !restarted;
        if (isFirstStart) {
            platform.restartWorker(worker, bornChangeToLowerClock(platform.worker(worker).report()));
            restarted = worker;
        }
        startCalls += isStart && worker == restarted ? 1 : 0;
        return !isFirstStart && worker == restarted;
    };
    const std::string job = "00000000000000a1";
    BOOST_REQUIRE_EQUAL(linked.fleet.call(linked.leader, "POST", "/q/" + job, WholeWorker).status, 200);
    const auto &runs = linked.runs.runsOf[taskOf(job)];
    BOOST_REQUIRE(waitFor(
        [&]() {
            return !runs.empty();
        },
        WithinMs));
    const auto startedAt = runs.front().startedAt;
    waitFor(
        [&]() {
            return (runs.size() > 1 && runs.front().endedAt) || monotonicNow() >= startedAt + LongestLease + StartWithin;
        },
        LimitMs);
    BOOST_TEST_CONTEXT(describe(runs, startedAt))
    {
        BOOST_TEST(linked.runs.mostAtOnceOf(taskOf(job)) == 1);
        BOOST_TEST(runs.size() == 2);
        BOOST_TEST(startCalls == 1, "a start without an answer would have been sent again");
        BOOST_TEST((runs.front().end == RunEnd::LeaseExpired && runs.front().endedAt >= startedAt + Limits.maxLease));
    }
}

BOOST_AUTO_TEST_SUITE_END()
