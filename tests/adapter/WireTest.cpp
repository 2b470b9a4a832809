#include <boost/test/unit_test.hpp>

#include "HttpStateLog.h"
#include "HttpWorkerClient.h"
#include "WireDocuments.h"
#include "marjoramhaven/base/LastReason.h"
#include "support/Events.h"
#include "support/WireStandIn.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

struct Fixture {
    WireStandIn platform {2};
    QObject context;
    PooledHttpClient httpClient {context, 6};
    platform::HttpStateLog log {httpClient, {"127.0.0.1", platform.storePort()}, FleetNodeSettings {}.storeMaxRecordBytes};
    platform::HttpWorkerClient workers {httpClient};

    AppendResult append(AppendRequest request)
    {
        std::optional<AppendResult> out;
        log.append(std::move(request), [&](const AppendResult &result) {
            out = result;
        });
        waitFor(
            [&]() {
                return out.has_value();
            },
            3000);
        return out.value_or(AppendResult {});
    }

    AppendRequest request(const std::string &key, const std::string &value) const
    {
        AppendRequest out;
        out.topic = StateTopic::Leadership;
        out.records.push_back({key, value, 0});
        return out;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Wire)

BOOST_AUTO_TEST_CASE(appendAtTheExpectedEndIsStoredOnce)
{
    Fixture fixture;
    auto request = fixture.request("planner", "a");
    request.expectedEnd = 0;
    BOOST_TEST((fixture.append(request).outcome == AppendOutcome::Stored));
    const auto second = fixture.append(request);
    BOOST_TEST((second.outcome == AppendOutcome::EndMismatch));
    BOOST_TEST(second.end == 1);
}

BOOST_AUTO_TEST_CASE(olderWriterEpochIsFencedAndRepeatedSequenceIsStoredOnce)
{
    Fixture fixture;
    auto request = fixture.request("k", "v");
    request.writer = WriterEpoch {"planner", 5, 1};
    BOOST_TEST((fixture.append(request).outcome == AppendOutcome::Stored));
    BOOST_TEST((fixture.append(request).outcome == AppendOutcome::Stored));
    BOOST_TEST(fixture.platform.store().topicSize("keyed.leadership") == 1U);
    request.writer->epoch = 4;
    BOOST_TEST((fixture.append(request).outcome == AppendOutcome::Fenced));
}

BOOST_AUTO_TEST_CASE(appendIsRefusedWhileTheStoreIsDown)
{
    Fixture fixture;
    fixture.platform.store().setDown(true);
    BOOST_TEST((fixture.append(fixture.request("k", "v")).outcome == AppendOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(appendIsRefusedWhenTheStoreIsUnreachable)
{
    Fixture fixture;
    platform::HttpStateLog unreachable(fixture.httpClient, {"127.0.0.1", 1}, FleetNodeSettings {}.storeMaxRecordBytes);
    std::optional<AppendResult> out;
    unreachable.append(fixture.request("k", "v"), [&](const AppendResult &result) {
        out = result;
    });
    BOOST_TEST(waitFor(
        [&]() {
            return out.has_value();
        },
        3000));
    BOOST_TEST((out->outcome == AppendOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(recordsAreReadBackWithTheirOffsets)
{
    Fixture fixture;
    fixture.append(fixture.request("a", std::string("\0\x01z", 3)));
    auto dropped = fixture.request("a", "");
    dropped.records[0].value.reset();
    fixture.append(dropped);
    std::optional<ReadResult> out;
    fixture.log.read(StateTopic::Leadership, 0, Millis(0), Millis(2000), [&](const ReadResult &result) {
        out = result;
    });
    BOOST_TEST(waitFor(
        [&]() {
            return out.has_value();
        },
        3000));
    BOOST_TEST(out->records.size() == 2U);
    BOOST_TEST(out->next == 2);
    BOOST_TEST(*out->records[0].value == std::string("\0\x01z", 3));
    BOOST_TEST(!out->records[1].value);
}

BOOST_AUTO_TEST_CASE(readBelowTheRetainedOffsetsReportsTruncation)
{
    Fixture fixture;
    fixture.append(fixture.request("a", "1"));
    fixture.platform.store().compact("keyed.leadership");
    std::optional<ReadResult> out;
    fixture.log.read(StateTopic::Leadership, 0, Millis(0), Millis(2000), [&](const ReadResult &result) {
        out = result;
    });
    BOOST_TEST(waitFor(
        [&]() {
            return out.has_value();
        },
        3000));
    BOOST_TEST(out->isTruncated);
}

BOOST_AUTO_TEST_CASE(workerCallsReportEndedRunsFencingAndOtherIncarnations)
{
    Fixture fixture;
    const std::string key = "i-0";
    WorkerAddress target {key, "127.0.0.1", 0};
    std::optional<NewestResult> entries;
    fixture.log.newest(StateTopic::Workers, {}, Millis(2000), [&](const NewestResult &result) {
        entries = result;
    });
    waitFor(
        [&]() {
            return entries.has_value();
        },
        3000);
    const auto report = platform::decodeWorker(key, *entries->records.front().value);
    BOOST_REQUIRE(report);
    target.port = report->port;
    BOOST_TEST(report->startedUnixMs == 1000);
    const auto leaseUntil = report->clockMs + 60'000;
    StartRunRequest startRequest {target, {"0123456789abcdef", 0, 0, 3}, 1, "p", leaseUntil, 7, {}, {}};
    std::optional<WorkerResponse> started;
    fixture.workers.start(startRequest, {Millis(2000)}, [&](const WorkerResponse &answer) {
        started = answer;
    });
    waitFor(
        [&]() {
            return started.has_value();
        },
        3000);
    BOOST_TEST((started->outcome == WorkerCallOutcome::Done));
    std::optional<PollWorkerResponse> held;
    fixture.workers.poll({target, leaseUntil, 7, 0, Millis(1000)}, {Millis(2000)}, [&](const PollWorkerResponse &answer) {
        held = answer;
    });
    waitFor(
        [&]() {
            return held.has_value();
        },
        3000);
    BOOST_REQUIRE(held->ended.size() == 1U);
    BOOST_TEST((held->ended[0].end == RunEnd::Done));
    BOOST_TEST(held->startedUnixMs == 1000);
    startRequest.fencingToken = 6;
    started.reset();
    fixture.workers.start(startRequest, {Millis(2000)}, [&](const WorkerResponse &answer) {
        started = answer;
    });
    waitFor(
        [&]() {
            return started.has_value();
        },
        3000);
    BOOST_TEST((started->outcome == WorkerCallOutcome::Fenced));
    target.id = "i-other";
    started.reset();
    fixture.workers.stop({target, startRequest.task, 1, 7}, {Millis(2000)}, [&](const WorkerResponse &answer) {
        started = answer;
    });
    waitFor(
        [&]() {
            return started.has_value();
        },
        3000);
    BOOST_TEST((started->outcome == WorkerCallOutcome::OtherIncarnation));
}

BOOST_AUTO_TEST_CASE(jobIsDecodedAndUnknownMembersAreIgnored)
{
    const auto job = platform::decodeJob(R"({"spec":"s","new":1,"phases":[{"count":2,"cpu":500,"estimate-ms":9},)"
                                         R"({"count":3,"after":[0],"gang":true,"fill-count":1,"anti-affinity":2,"target-ms":40}]})");
    BOOST_REQUIRE(job);
    BOOST_TEST(job->steps.size() == 2U);
    BOOST_TEST(job->steps[1].isGang);
    BOOST_TEST(job->steps[1].isBestEffort);
    BOOST_TEST(job->steps[1].maxPerWorker == 2);
    BOOST_TEST(job->steps[1].after.front() == 0);
}

BOOST_AUTO_TEST_CASE(malformedJobsAreRefusedWithAReason)
{
    for (const auto *text : {"",
                             "[]",
                             "{}",
                             R"({"phases":[]})",
                             R"({"phases":[{"count":0}]})",
                             R"({"phases":[{"count":"2"}]})",
                             R"({"phases":[{"count":1,"after":[0]}]})",
                             R"({"phases":[{"count":1,"cpu":-1}]})",
                             R"({"spec":7,"phases":[{"count":1}]})"}) {
        BOOST_TEST(!platform::decodeJob(text), text);
        BOOST_TEST(!lastReason().empty());
    }
}

BOOST_AUTO_TEST_CASE(malformedWorkerEntriesAreRejected)
{
    for (const auto *text : {"",
                             "7",
                             "{}",
                             R"({"service":"s","address":"x","state":"ready","capacity":{}})",
                             R"({"service":"s","address":"127.0.0.1:1","state":"odd","capacity":{}})",
                             R"({"service":"s","address":"127.0.0.1:1","state":"ready"})",
                             R"({"service":"s","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":"8"}})"}) {
        BOOST_TEST(!platform::decodeWorker("i", text), text);
    }
}

// Guards against a start that is sent after a pause of the process, though its permission was checked before the pause.
BOOST_AUTO_TEST_CASE(requestThatWasDecidedOnTooLongAgoIsNotSent)
{
    constexpr Millis Timeout {600};
    for (const bool isTooLate : {true, false}) {
        Fixture fixture;
        const WorkerAddress target {"i-0", "127.0.0.1", fixture.platform.workerPort(0)};
        const auto leaseUntil = fixture.platform.worker(0).reportAt(monotonicNow()).clockMs + 60'000;
        const StartRunRequest request {target, {"0123456789abcdef", 0, 0, 3}, 1, "p", leaseUntil, 7, {}, {}};
        const auto decidedAt = monotonicNow() - (isTooLate ? Timeout + Millis(1) : Millis(0));
        std::optional<WorkerResponse> started;
        fixture.workers.start(request, {Timeout, decidedAt}, [&](const WorkerResponse &answer) {
            started = answer;
        });
        waitFor(
            [&]() {
                return started.has_value();
            },
            3000);
        BOOST_REQUIRE(started);
        BOOST_TEST((started->outcome == (isTooLate ? WorkerCallOutcome::Unsent : WorkerCallOutcome::Done)));
        BOOST_TEST(fixture.platform.startCount() == (isTooLate ? 0 : 1));
    }
}

BOOST_AUTO_TEST_SUITE_END()
