#include <boost/test/unit_test.hpp>

#include <memory>
#include <unistd.h>

#include <QJsonDocument>
#include <QJsonObject>

#include "PlannerScript.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr std::int64_t Reborn = 2;

// A scripted planner whose events can be read once it has gone.
struct LoggedScript {
    int ends[2] = {-1, -1};
    std::unique_ptr<PlannerScript> script;

    explicit LoggedScript(int workers)
    {
        BOOST_REQUIRE(pipe(ends) == 0);
        script = std::make_unique<PlannerScript>(workers, ends[1]);
    }
    ~LoggedScript()
    {
        script.reset();
        closeEnd(1);
        closeEnd(0);
    }
    PlannerScript *operator->() const { return script.get(); }

    void closeEnd(int end)
    {
        if (ends[end] >= 0) {
            close(ends[end]);
            ends[end] = -1;
        }
    }

    // Ends the planner and returns its last event of a kind.
    QJsonObject lastEvent(const char *kind)
    {
        script.reset();
        closeEnd(1);
        QByteArray text;
        char buffer[4096];
        for (auto size = read(ends[0], buffer, sizeof buffer); size > 0; size = read(ends[0], buffer, sizeof buffer)) {
            text.append(buffer, size);
        }
        QJsonObject out;
        for (const auto &line : text.split('\n')) {
            const auto event = QJsonDocument::fromJson(line).object();
            out = event["event"] == kind ? event : out;
        }
        return out;
    }
};

FleetTaskId taskOf(const std::string &job)
{
    return {job, 0, 0, 0};
}

// Starts the task of a new job on "w0", which then lists it.
void runOnWorker(LoggedScript &script, const std::string &job, std::int64_t born)
{
    script->submit(job, 1000);
    script->planAndStore();
    BOOST_REQUIRE(script->port.starts.back().task == taskOf(job));
    script->planner.handleStartResponse(script->port.starts.back(), script->done(), script->now);
    script->answerPoll("w0", {{taskOf(job), 1, "", 10, 0}}, born);
}

// Lets a poll that acknowledges an end of "w0" go unanswered, or one that acknowledges none. Then "w0" starts again, lists a run, and lists it no longer.
QJsonObject vanishedRunAfter(bool hasAcknowledgedAnEnd)
{
    LoggedScript script(1);
    if (hasAcknowledgedAnEnd) {
        runOnWorker(script, "a", 1);
        auto answer = script->list({});
        answer.ended.push_back({1, taskOf("a"), 1, RunEnd::Done, ""});
        script->planner.handlePollResponse(script->lastPoll("w0"), answer, script->now);
        script->planAndStore();
        script->advance(Millis(400));
        BOOST_REQUIRE_EQUAL(script->lastPoll("w0").acknowledged, 1);
    }
    script->planner.handlePollResponse(script->lastPoll("w0"), {}, script->now);
    auto entry = script->entry("w0");
    entry.startedUnixMs = Reborn;
    script->planner.workerReported(entry, script->now);
    script->advance(Millis(200));
    script->answerPoll("w0", {}, Reborn);
    script->answerPoll("w0", {}, Reborn);
    runOnWorker(script, "b", Reborn);
    script->answerPoll("w0", {}, Reborn);
    return script.lastEvent("run_vanished");
}

// The stop of a run that a worker lists and the planner does not know, while its task is at work elsewhere or not.
QJsonObject foreignStopWhile(bool isAtWorkElsewhere)
{
    LoggedScript script(2);
    script->submit("a", 1000);
    if (isAtWorkElsewhere) {
        script->planAndStore();
        BOOST_REQUIRE_EQUAL(script->port.starts.back().worker.id, "w0");
        script->planner.handleStartResponse(script->port.starts.back(), script->done(), script->now);
    }
    script->answerPoll("w1", {{taskOf("a"), 2, "", 10, 0}});
    return script.lastEvent("run_stop");
}

// The loss of a run after a poll that granted its worker a lease and had no answer.
QJsonObject lostRun(Millis unansweredAfter)
{
    LoggedScript script(1);
    runOnWorker(script, "a", 1);
    script->answerPoll("w0", {{taskOf("a"), 1, "", 20, 0}});
    script->advance(unansweredAfter);
    script->planner.handlePollResponse(script->lastPoll("w0"), {}, script->now);
    for (int i = 0; i < 100; ++i) {
        script->advance(Millis(100));
        script->planner.handlePollResponse(script->lastPoll("w0"), {}, script->now);
    }
    return script.lastEvent("run_lost");
}

} // namespace

// What a line of the event log says by itself about how a task may have run twice.
BOOST_AUTO_TEST_SUITE(EventEvidence)

// Guards against a line that doesn't tell an end which the poll of an earlier incarnation may have deleted from any other vanished run.
BOOST_AUTO_TEST_CASE(vanishedRunTellsWhetherAnEarlierAcknowledgementMayHaveDeletedItsEnd)
{
    const auto after = vanishedRunAfter(true);
    BOOST_TEST(after["born_ms"].toInteger() == Reborn);
    BOOST_TEST(after["acknowledged"].toInteger(-2) == 0);
    BOOST_TEST(after["earlier_acknowledged"].toInteger() == 1);
    BOOST_TEST(after["earlier_acknowledged_age_ms"].toInteger(-1) >= 200);
    BOOST_TEST(after["lease_age_ms"].toInteger(-1) >= 0);
    const auto without = vanishedRunAfter(false);
    BOOST_TEST(without["born_ms"].toInteger() == Reborn);
    BOOST_TEST(without["earlier_acknowledged"].toInteger() == -1);
    BOOST_TEST(without["earlier_acknowledged_age_ms"].toInteger() == -1);
}

// Guards against a line that doesn't tell a second run of a task at work from one that only takes up room.
BOOST_AUTO_TEST_CASE(foreignRunTellsWhetherItsTaskIsAtWorkElsewhere)
{
    const auto twice = foreignStopWhile(true);
    BOOST_TEST(twice["reason"].toString().toStdString() == "foreign");
    BOOST_TEST(twice["born_ms"].toInteger() == 1);
    BOOST_TEST(twice["others_at_work"].toInteger() == 1);
    BOOST_TEST(foreignStopWhile(false)["others_at_work"].toInteger(-1) == 0);
}

// Guards against a line that doesn't tell which lease a lost run may still hold.
BOOST_AUTO_TEST_CASE(lostRunTellsWhenItsLastLeaseWasGranted)
{
    const auto event = lostRun(Millis(1500));
    // The newest poll that granted a lease was sent when the one before was answered, and had no answer itself.
    BOOST_TEST(event["lease_age_ms"].toInteger() >= PlannerLimits {}.lease.count());
    BOOST_TEST(event["answered_lease_age_ms"].toInteger() > event["lease_age_ms"].toInteger());
    BOOST_TEST(event["answer_age_ms"].toInteger() > event["lease_age_ms"].toInteger());
    BOOST_TEST(event["born_ms"].toInteger() == 1);
    BOOST_TEST(event["entry_born_ms"].toInteger() == 1);
    BOOST_TEST(event["listed"].toInteger(-1) == 1);
}

// Guards against a line that doesn't tell what is assumed of the lease of a worker, and by which reading of its clock.
BOOST_AUTO_TEST_CASE(inventoryTellsTheLeaseThatIsAssumed)
{
    LoggedScript script(1);
    script->advance(Millis(200));
    script->planner.handlePollResponse(script->lastPoll("w0"), {}, script->now);
    script->advance(Millis(200));
    script->answerPoll("w0", {}, Reborn);
    const auto event = script.lastEvent("worker_inventory");
    BOOST_TEST(event["born_ms"].toInteger() == Reborn);
    BOOST_TEST(event["clock_ms"].toInteger() > 0);
    BOOST_TEST(event["assumed_lease_ms"].toInteger(-1) >= PlannerLimits {}.maxLease.count());
}

// Guards against a line that doesn't tell a start beside one that may still be carried out from the first start of a task.
BOOST_AUTO_TEST_CASE(placedRunTellsWhichEarlierStartsMayStillBeCarriedOut)
{
    for (const bool isAnswerLost : {true, false}) {
        LoggedScript script(2);
        script->submit("a", 1000);
        script->planAndStore();
        const auto start = script->port.starts.back();
        BOOST_REQUIRE_EQUAL(start.worker.id, "w0");
        if (isAnswerLost) {
            script->advance(Millis(600));
            script->planner.handleStartResponse(start, {}, script->now);
            script->refuseRepetitionsUntilStopped("w0");
            BOOST_REQUIRE_EQUAL(script->port.stops.size(), 1U);
            script->planner.handleStopResponse(script->port.stops.back(), script->done(), script->now);
            script->answerPoll("w0", {});
            // The worker is avoided for a moment after a request without an answer.
            script->advance(Millis(400));
            script->answerPoll("w0", {});
            script->planAndStore();
        }
        const auto event = script.lastEvent("run_placed");
        BOOST_TEST(event["attempt"].toInteger() == (isAnswerLost ? 2 : 1));
        BOOST_TEST(event["possible_starts"].toInteger(-1) == (isAnswerLost ? 1 : 0));
        BOOST_TEST(event["newest_possible_start"].toString().toStdString() == (isAnswerLost ? "w0" : ""));
    }
}

BOOST_AUTO_TEST_SUITE_END()
