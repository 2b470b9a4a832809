#include <boost/test/unit_test.hpp>

#include "FleetProcesses.h"
#include "RunsAtWork.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;
using platform::Json;

namespace {

const std::string OneTask = R"({"spec":"s","phases":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":150}]})";
const std::string First = "00000000000000a1";
const std::string Second = "00000000000000a2";
constexpr Millis LongTask {60'000};
constexpr int ReadyWithinMs = 3000;
constexpr int StartWithinMs = 5000;

void wait(Millis time)
{
    waitFor(
        []() {
            return false;
        },
        static_cast<int>(time.count()));
}

// One process and some workers, which may carry out calls late.
struct LateFleet {
    RunsAtWork runs;
    Fleet fleet;
    WireStandIn &platform = fleet.platform;

    explicit LateFleet(int workerCount)
        : fleet(1, 262'144, workerCount)
    {
        platform.onRunEvent = [this](const RunEvent &it) {
            runs.record(it);
        };
        BOOST_REQUIRE(waitFor(
            [this]() {
                return fleet.areReady();
            },
            ReadyWithinMs));
    }

    void submit(const std::string &job) { BOOST_REQUIRE_EQUAL(fleet.call(0, "POST", "/q/" + job, OneTask).status, 200); }

    bool isCompletedWithin(const std::string &job, Millis limit)
    {
        const auto until = monotonicNow() + limit;
        bool isCompleted = fleet.isCompleted(0, job);
        while (!isCompleted && monotonicNow() < until) {
            wait(Millis(50));
            isCompleted = fleet.isCompleted(0, job);
        }
        return isCompleted;
    }

    // Lets every task run on until the test ends.
    void useLongTasks()
    {
        platform.taskBehaviour = [](const FleetTaskId &) {
            TaskBehaviour out;
            out.needs = {1000, 100, 0};
            out.duration = LongTask;
            return out;
        };
    }

    bool isAtWork(const std::string &job) const { return runs.countOf(taskOf(job)) == 1; }

    // Submits a job whose start request has no answer, and returns the worker that keeps the request, once the task is at work.
    std::size_t loseStartOf(const std::string &job)
    {
        std::optional<std::size_t> out;
        platform.isCallKept = [&out](std::size_t worker, const HttpRequest &call) {
            const bool isFirst = call.path == "/v1/run-start" && !out;
            out = isFirst ? worker : out;
            return isFirst;
        };
        submit(job);
        BOOST_REQUIRE(waitFor(
            [&]() {
                return isAtWork(job);
            },
            StartWithinMs));
        platform.isCallKept = {};
        return out.value();
    }

    // Submits a job whose task runs on the first worker until the test ends.
    void startOnFirstWorker()
    {
        useLongTasks();
        waitForPolls(0);
        submit(First);
        BOOST_REQUIRE(waitFor(
            [this]() {
                return isAtWork(First);
            },
            StartWithinMs));
        BOOST_REQUIRE_EQUAL(runs.runsOf[taskOf(First)].front().worker, "i-0");
    }

    // Returns the entry of the first worker, but with the address of the second and a start that is so much later.
    std::string entryAtOtherAddress(Millis bornChange) const
    {
        auto out = Json::parse(platform.store().newestValue("keyed.servers", "i-0").value());
        out["address"] = "127.0.0.1:" + std::to_string(platform.workerPort(1));
        out["born"] = out["born"].get<std::int64_t>() + bornChange.count();
        return out.dump();
    }

    // Lets the workers carry out what they have kept.
    void carryOutLateCalls()
    {
        platform.isKeptCallDue = [](std::size_t, const HttpRequest &) {
            return true;
        };
    }

    // Returns once a worker has had some polls from now on.
    void waitForPolls(std::size_t worker)
    {
        constexpr int Enough = 3;
        int polls = 0;
        platform.isCallKept = [&polls, worker](std::size_t called, const HttpRequest &call) {
            polls += called == worker && call.path == "/v1/hold" ? 1 : 0;
            return false;
        };
        BOOST_REQUIRE(waitFor(
            [&polls]() {
                return polls >= Enough;
            },
            StartWithinMs));
        platform.isCallKept = {};
    }
};

} // namespace

// Calls that a worker carries out seconds after they were sent, when it may have started again, and what its new incarnation says of itself.
BOOST_AUTO_TEST_SUITE(LateCalls)

// Guards against two runs of a task: its start was given up, the worker started again and carried it out, after the planner had called the new incarnation.
BOOST_AUTO_TEST_CASE(givenUpStartIsRefusedByTheNextIncarnationOnceItWasCalled)
{
    LateFleet late(2);
    late.useLongTasks();
    const auto worker = late.loseStartOf(First);
    late.platform.restartWorker(worker);
    late.waitForPolls(worker);
    late.carryOutLateCalls();
    wait(Millis(1000));
    BOOST_TEST(late.platform.lateCallCount() == 1);
    BOOST_TEST(late.runs.mostAtOnceOf(taskOf(First)) == 1);
}

// Guards against a second run of a task at work: an entry from before its worker's restart named another worker's address, which answered for itself.
BOOST_AUTO_TEST_CASE(answerAtTheAddressOfAStaleEntryStartsNothingAgain)
{
    LateFleet late(2);
    const auto stale = late.entryAtOtherAddress(Millis(0));
    late.platform.restartWorker(0);
    late.startOnFirstWorker();
    late.platform.store().put("keyed.servers", "i-0", stale);
    wait(Millis(3000));
    BOOST_TEST(late.runs.mostAtOnceOf(taskOf(First)) == 1);
}

// Guards against a task that runs twice because the end of its run was deleted, unread, by a poll that acknowledged ends of the incarnation before.
BOOST_AUTO_TEST_CASE(lateAcknowledgementDeletesNoEndOfTheNextIncarnation)
{
    LateFleet late(1);
    late.submit(First);
    BOOST_REQUIRE(late.isCompletedWithin(First, Millis(StartWithinMs)));
    bool isKept = false;
    late.platform.isCallKept = [&isKept](std::size_t, const HttpRequest &call) {
        const bool isAcknowledging = call.path == "/v1/hold" && Json::parse(call.body.toStdString()).value("ack-cursor", 0) > 0;
        const bool keeps = isAcknowledging && !isKept;
        isKept = isKept || isAcknowledging;
        return keeps;
    };
    BOOST_REQUIRE(waitFor(
        [&isKept]() {
            return isKept;
        },
        ReadyWithinMs));
    late.platform.restartWorker(0);
    late.platform.isKeptCallDue = [&late](std::size_t worker, const HttpRequest &) {
        return late.platform.startCountOf(taskOf(Second)) > 0 && late.platform.worker(worker).hasEndAfter(0);
    };
    late.submit(Second);
    BOOST_TEST(late.isCompletedWithin(Second, Millis(StartWithinMs)));
    BOOST_TEST(late.platform.lateCallCount() == 1);
    BOOST_TEST(late.platform.startCountOf(taskOf(Second)) == 1);
}

// Guards against two runs of a task: its start was given up, and is the first call that the next incarnation of the worker carries out.
BOOST_AUTO_TEST_CASE(givenUpStartThatTheNextIncarnationCarriesOutFirstIsTheOnlyRun)
{
    LateFleet late(2);
    late.useLongTasks();
    const auto worker = late.loseStartOf(First);
    late.carryOutLateCalls();
    late.platform.restartWorker(worker);
    wait(Millis(1000));
    BOOST_TEST(late.platform.lateCallCount() == 1);
    BOOST_TEST(late.runs.mostAtOnceOf(taskOf(First)) == 1);
}

// Guards against a worker whose runs and ends are ignored for ever, because the clock that its start is read from went back.
BOOST_AUTO_TEST_CASE(workerThatSaysItStartedEarlierThanBeforeIsTakenUpAgain)
{
    LateFleet late(1);
    late.submit(First);
    BOOST_REQUIRE(late.isCompletedWithin(First, Millis(StartWithinMs)));
    late.platform.restartWorker(0, Millis(-500));
    late.submit(Second);
    BOOST_TEST(late.isCompletedWithin(Second, Millis(5000)));
    BOOST_TEST(late.platform.startCountOf(taskOf(Second)) == 1);
}

// Guards against a second run of a task at work: an entry with a later start named another worker's address, which answered for itself.
BOOST_AUTO_TEST_CASE(answerAtTheAddressOfAWrongLaterEntryStartsNothingAgain)
{
    LateFleet late(2);
    late.startOnFirstWorker();
    late.platform.store().put("keyed.servers", "i-0", late.entryAtOtherAddress(Millis(100)));
    wait(Millis(3000));
    BOOST_TEST(late.runs.mostAtOnceOf(taskOf(First)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
