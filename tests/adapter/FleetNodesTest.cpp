#include <boost/test/unit_test.hpp>

#include "FleetProcesses.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

const std::string Job = R"({"spec":"s","phases":[{"count":3,"cpu":1000,"mem-mb":100,"estimate-ms":150},)"
                        R"({"count":2,"cpu":1000,"mem-mb":100,"estimate-ms":150,"after":[0]}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(FleetNodes)

BOOST_AUTO_TEST_CASE(jobIsSubmittedAndQueriedThroughAnyProcess)
{
    Fleet fleet(3);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    for (std::size_t i = 0; i < 3; ++i) {
        const auto id = "000000000000000" + std::to_string(i);
        BOOST_TEST(fleet.call(i, "POST", "/q/" + id, Job).status == 200);
        bool isDone = false;
        for (int tries = 0; tries < 40 && !isDone; ++tries) {
            isDone = fleet.isCompleted((i + 1) % 3, id);
            waitFor(
                []() {
                    return false;
                },
                50);
        }
        BOOST_TEST(isDone);
        BOOST_TEST(fleet.platform.startCountOf(id + ".0.1.1") == 1);
    }
    BOOST_TEST(fleet.call(0, "GET", "/q/").body == R"({"pending":0})");
    BOOST_TEST(fleet.call(1, "GET", "/q/ffffffffffffffff").status == 410);
    BOOST_TEST(fleet.call(1, "GET", "/other/").status == 404);
    BOOST_TEST(fleet.call(1, "GET", "/q/", {}, "elsewhere.example").status == 404);
    BOOST_TEST(fleet.call(1, "POST", "/q/00000000000000aa", "{}").status == 400);
}

BOOST_AUTO_TEST_CASE(anotherProcessTakesOverWhenThePlannerIsGone)
{
    Fleet fleet(3);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000b0", Job).status == 200);
    // Removes two of the three processes. The last one takes over if the planner ran in one of them, and otherwise continues to plan.
    fleet.nodes.erase(fleet.nodes.begin(), fleet.nodes.begin() + 2);
    bool isDone = false;
    for (int tries = 0; tries < 100 && !isDone; ++tries) {
        isDone = fleet.isCompleted(0, "00000000000000b0");
        waitFor(
            []() {
                return false;
            },
            50);
    }
    BOOST_TEST(isDone);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(fleet.platform.startCountOf("00000000000000b0.0.0." + std::to_string(i)) == 1);
    }
}

BOOST_AUTO_TEST_CASE(jobThatCannotBeStoredIsRefusedAndNeverRuns)
{
    Fleet fleet(2);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    fleet.platform.store().setDown(true);
    const auto answer = fleet.call(0, "POST", "/q/00000000000000c0", Job);
    BOOST_TEST(answer.status == 503);
    fleet.platform.store().setDown(false);
    waitFor(
        []() {
            return false;
        },
        1000);
    BOOST_TEST(fleet.platform.startCount() == 0);
}

// Guards against a second attempt that is answered 503, which promises that the job never runs, while the first attempt stored it without an answer.
BOOST_AUTO_TEST_CASE(secondAttemptIsNotRefusedWhenTheFirstWasStoredWithoutAnAnswer)
{
    Fleet fleet(2);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    fleet.platform.store().setLosingAppendAnswers(true);
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000d0", Job).status == 504);
    fleet.platform.store().setLosingAppendAnswers(false);
    fleet.platform.store().setDown(true);
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000d0", Job).status == 504);
    fleet.platform.store().setDown(false);
    BOOST_TEST(waitFor(
        [&]() {
            return fleet.platform.startCount() > 0;
        },
        8000));
}

// Guards against a second attempt that a stopping process refuses at once, while the first attempt may be stored.
BOOST_AUTO_TEST_CASE(stoppingProcessDoesNotRefuseAnAttemptWhenAnEarlierOneMayBeStored)
{
    Fleet fleet(1);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    fleet.platform.store().setLosingAppendAnswers(true);
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000f0", Job).status == 504);
    fleet.nodes[0]->api.setEnd(monotonicNow());
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000f0", Job).status == 504);
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000f1", Job).status == 503);
}

// Guards against a cancellation that is answered 503, as not stored, though the append had no answer and the job is cancelled.
BOOST_AUTO_TEST_CASE(cancellationThatMayBeStoredIsNotRefused)
{
    Fleet fleet(2);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    fleet.platform.store().setLosingAppendAnswers(true);
    BOOST_TEST(fleet.call(0, "DELETE", "/q/00000000000000e0").status == 504);
    fleet.platform.store().setLosingAppendAnswers(false);
    fleet.platform.store().setDown(true);
    BOOST_TEST(fleet.call(0, "DELETE", "/q/00000000000000e0").status == 504);
    // One that was never sent is refused.
    BOOST_TEST(fleet.call(0, "DELETE", "/q/00000000000000e1").status == 503);
}

BOOST_AUTO_TEST_CASE(configurationVersionNeverDecreases)
{
    Fleet fleet(1);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    fleet.platform.putConfiguration(9, "host.example", {"/new/"}, false);
    BOOST_TEST(waitFor(
        [&]() {
            return fleet.nodes[0]->node.configuration()->version == 9;
        },
        2500));
    fleet.platform.putConfiguration(4, "host.example", {"/q/"}, true);
    waitFor(
        []() {
            return false;
        },
        1300);
    BOOST_TEST(fleet.nodes[0]->node.configuration()->version == 9);
    BOOST_TEST(fleet.call(0, "GET", "/q/").status == 404);
    BOOST_TEST(fleet.call(0, "GET", "/new/").status == 200);
}

// Guards against all work coming to a halt: the progress of a large job does not fit into one record of the store.
BOOST_AUTO_TEST_CASE(jobLargerThanARecordRunsAndStopsNoOtherJob)
{
    constexpr std::int64_t MaxRecordBytes = 8192;
    Fleet fleet(1, MaxRecordBytes);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    const std::string large = R"({"spec":"s","phases":[{"count":1200,"cpu":10,"mem-mb":10,"estimate-ms":150}]})";
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000b7", large).status == 200);
    BOOST_TEST(fleet.call(0, "POST", "/q/00000000000000c0", Job).status == 200);
    for (const std::string id : {"00000000000000c0", "00000000000000b7"}) {
        bool isDone = false;
        for (int tries = 0; tries < 150 && !isDone; ++tries) {
            isDone = fleet.isCompleted(0, id);
            waitFor(
                []() {
                    return false;
                },
                100);
        }
        BOOST_TEST(isDone, id);
    }
}

// Guards against a job that is accepted, or refused as if it could be accepted later, though the store can never hold it.
BOOST_AUTO_TEST_CASE(jobThatCanNeverBeStoredGetsAnErrorThatNamesTheLimit)
{
    constexpr std::int64_t MaxRecordBytes = 8192;
    Fleet fleet(1, MaxRecordBytes);
    BOOST_REQUIRE(waitFor(
        [&]() {
            return fleet.areReady();
        },
        3000));
    const auto body = R"({"spec":")" + std::string(MaxRecordBytes, 's') + R"(","phases":[{"count":1,"cpu":10,"mem-mb":10,"estimate-ms":150}]})";
    const auto answer = fleet.call(0, "POST", "/q/00000000000000b7", body);
    BOOST_TEST(answer.status == 400);
    BOOST_TEST(answer.body.find("8192") != std::string::npos);
}

// Guards against what review/5 found: a gang that works on for ever, because its workers refused the stops of one leader and the next one sent none.
BOOST_AUTO_TEST_CASE(gangWhoseStopsWereRefusedIsStoppedByTheNextLeader)
{
    constexpr std::size_t GangSize = 3;
    enum class Reason { Cancelled, Broken };
    for (const auto reason : {Reason::Cancelled, Reason::Broken}) {
        Fleet fleet(3);
        std::set<std::string> atWork;
        fleet.platform.onRunEvent = [&atWork](const RunEvent &it) {
            if (it.kind == RunEvent::Kind::Started) {
                atWork.insert(it.task.toString());
            } else {
                atWork.erase(it.task.toString());
            }
        };
        fleet.platform.taskBehaviour = [&](const FleetTaskId &task) {
            TaskBehaviour out;
            const bool isMemberFailing = reason == Reason::Broken && task.index == 0 && fleet.platform.startCountOf(task.toString()) == 0;
            out.duration = isMemberFailing ? Millis(800) : Millis(60'000);
            out.fails = isMemberFailing;
            return out;
        };
        BOOST_REQUIRE(waitFor(
            [&]() {
                return fleet.areReady();
            },
            3000));
        fleet.platform.setRefusingStops(true);
        const std::string id = "00000000000000f8";
        const auto body = R"({"spec":"s","phases":[{"count":3,"cpu":1000,"mem-mb":100,"estimate-ms":60000,"gang":true}]})";
        BOOST_REQUIRE(fleet.call(0, "POST", "/q/" + id, body).status == 200);
        BOOST_REQUIRE(waitFor(
            [&]() {
                return atWork.size() == GangSize;
            },
            3000));
        if (reason == Reason::Cancelled) {
            BOOST_TEST(fleet.call(0, "DELETE", "/q/" + id).status == 200);
        }
        const auto left = reason == Reason::Cancelled ? GangSize : GangSize - 1;
        BOOST_REQUIRE(waitFor(
            [&]() {
                return atWork.size() == left;
            },
            3000));
        // The leader learns why the members have to stop, and stores what it has to.
        waitFor(
            []() {
                return false;
            },
            300);
        fleet.removeLeader();
        fleet.platform.setRefusingStops(false);
        BOOST_TEST(waitFor(
            [&]() {
                const bool hasStartedAgain = atWork.size() == GangSize && fleet.platform.startCountOf(id + ".0.0.1") == 2;
                return reason == Reason::Cancelled ? atWork.empty() : hasStartedAgain;
            },
            8000));
    }
}

BOOST_AUTO_TEST_SUITE_END()
