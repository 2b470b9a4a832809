#include <boost/test/unit_test.hpp>

#include "HttpStateLog.h"
#include "HttpWorkerClient.h"
#include "WireDocuments.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"
#include "support/Events.h"
#include "support/FaultProxy.h"
#include "support/WireStandIn.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// Speed of the slowest link of a deployment, 10 Mbit/s.
constexpr std::int64_t SlowLinkBytesPerSecond = 1'250'000;
// A configuration with so many queues has about 200 KB.
constexpr int QueueCount = 1400;
constexpr int ChangeIntervalMs = 330;
constexpr int ChangeCount = 12;
// The time within which a confirmed configuration must be in force on the deployments with slow links.
constexpr int ApplyWithinMs = 4000;

void pause(int ms)
{
    waitFor(
        []() {
            return false;
        },
        ms);
}

// A follower of the operator topic behind a slow link to the store.
struct SlowLinkedProcess {
    WireStandIn platform {1};
    FaultProxy link {platform.storePort()};
    QObject context;
    PooledHttpClient httpClient {context, 10};
    platform::HttpStateLog log {httpClient, {"127.0.0.1", link.port()}, FleetNodeSettings {}.storeMaxRecordBytes};
    TopicFollower follower {log, StateTopic::Operator, Millis(1000), Millis(0), CatchUp::SkipToNewest};
    std::int64_t version = -1;

    explicit SlowLinkedProcess(std::int64_t bytesPerSecond)
    {
        link.setBandwidthToCaller(bytesPerSecond);
        follower.onRecords = [this](const std::vector<KeyedRecord> &records) {
            for (const auto &it : records) {
                const auto configuration = it.value ? platform::decodeConfiguration(*it.value) : std::nullopt;
                version = configuration ? configuration->version : version;
            }
        };
        putVersion(1);
        follower.start();
    }

    void putVersion(std::int64_t number) { platform.putConfiguration(number, "host.example", {"/q/"}, false, QueueCount); }

    bool waitForVersion(std::int64_t number)
    {
        return waitFor(
            [this, number]() {
                return version >= number;
            },
            ApplyWithinMs);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlowLink)

// Guards against configurations that stay out of force because reads of several large versions time out on a slow link and are repeated from their start.
BOOST_AUTO_TEST_CASE(newestOfManyLargeConfigurationsIsInForceInTimeAfterAnOutage)
{
    SlowLinkedProcess process(SlowLinkBytesPerSecond);
    BOOST_REQUIRE(process.waitForVersion(1));
    process.link.setFaults({Millis(0), true}, {Millis(0), true});
    process.link.resetConnections();
    for (int i = 0; i < ChangeCount; ++i) {
        process.putVersion(2 + i);
        pause(ChangeIntervalMs);
    }
    process.link.clearFaults();
    process.putVersion(100);
    BOOST_TEST(process.waitForVersion(100));
}

// Guards against reads that are given up although bytes arrive: one configuration takes longer over this link than a call may take to begin its answer.
BOOST_AUTO_TEST_CASE(configurationIsReadOverALinkThatNeedsLongerThanTheTimeout)
{
    constexpr std::int64_t VerySlowLinkBytesPerSecond = 125'000;
    SlowLinkedProcess process(VerySlowLinkBytesPerSecond);
    BOOST_REQUIRE(process.waitForVersion(1));
    process.putVersion(2);
    BOOST_TEST(process.waitForVersion(2));
}

// Guards against a read that waits for ever on a connection that goes silent in the middle of a response.
BOOST_AUTO_TEST_CASE(responseThatStallsIsReadAgainOnANewConnection)
{
    constexpr std::int64_t VerySlowLinkBytesPerSecond = 50'000;
    SlowLinkedProcess process(VerySlowLinkBytesPerSecond);
    pause(1000);
    process.link.setFaults({Millis(0), true}, {Millis(0), true});
    pause(100);
    BOOST_TEST(process.version == -1);
    process.link.clearFaults();
    process.link.setBandwidthToCaller(SlowLinkBytesPerSecond);
    BOOST_TEST(process.waitForVersion(1));
}

// Guards against inventories of workers that are given up and repeated although bytes arrive: after an outage, the list of ended runs is long.
BOOST_AUTO_TEST_CASE(longListOfEndedRunsIsReadOverASlowLink)
{
    constexpr int RunCount = 100;
    constexpr Millis PollTimeout {700};
    WireStandIn platform {1};
    platform.taskBehaviour = [](const FleetTaskId & /*task*/) {
        TaskBehaviour out;
        out.duration = Millis(1);
        out.needs = {1, 1, 0};
        return out;
    };
    FaultProxy link {platform.workerPort(0)};
    QObject context;
    PooledHttpClient httpClient {context, 10};
    platform::HttpWorkerClient workers {httpClient};
    auto target = platform.worker(0).report();
    target.port = link.port();
    constexpr std::int64_t LeaseMs = 10'000;
    const auto leaseUntilMs = platform.worker(0).reportAt(monotonicNow()).clockMs + LeaseMs;
    int started = 0;
    for (int i = 0; i < RunCount; ++i) {
        StartRunRequest request;
        request.worker = {target.id, target.host, target.port};
        request.task = {std::string(300, 'a'), 0, 0, i};
        request.attempt = 1;
        request.leaseUntilMs = leaseUntilMs;
        request.fencingToken = 1;
        workers.start(request, {Millis(5000)}, [&started](const WorkerResponse &answer) {
            started += answer.outcome == WorkerCallOutcome::Done ? 1 : 0;
        });
    }
    BOOST_REQUIRE(waitFor(
        [&started]() {
            return started == RunCount;
        },
        5000));
    pause(100);
    constexpr std::int64_t VerySlowLinkBytesPerSecond = 25'000;
    link.setBandwidthToCaller(VerySlowLinkBytesPerSecond);
    PollWorkerRequest request;
    request.worker = {target.id, target.host, target.port};
    request.fencingToken = 1;
    std::optional<PollWorkerResponse> out;
    workers.poll(request, {PollTimeout}, [&out](const PollWorkerResponse &answer) {
        out = answer;
    });
    BOOST_TEST(waitFor(
        [&out]() {
            return out.has_value();
        },
        5000));
    BOOST_TEST((out && out->outcome == WorkerCallOutcome::Done));
    BOOST_TEST((out && out->ended.size() == RunCount));
}

BOOST_AUTO_TEST_SUITE_END()
