#include <boost/test/unit_test.hpp>

#include "HttpStateLog.h"
#include "HttpWorkerClient.h"
#include "marjoramhaven/fleet/FleetNodeSettings.h"
#include "support/Events.h"
#include "support/ScriptedServer.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr int AnswerWithinMs = 5000;
constexpr Millis Timeout {2000};
const ScriptedAnswer Confirmed {200, R"({"offset":4,"end-offset":5,"clock-ms":1000})"};
const ScriptedAnswer Reset {0};

// The clients of a process behind which one server stands for the log and for a worker.
struct Fixture {
    ScriptedServer server;
    QObject context;
    PooledHttpClient httpClient {context, 2};
    platform::HttpStateLog log {httpClient, {"127.0.0.1", server.port()}, FleetNodeSettings {}.storeMaxRecordBytes};
    platform::HttpWorkerClient workers {httpClient};

    explicit Fixture(std::deque<ScriptedAnswer> script)
        : server(std::move(script))
    {
    }

    AppendResult append()
    {
        AppendRequest request;
        request.topic = StateTopic::Jobs;
        request.records.push_back({"job", "a", 0});
        std::optional<AppendResult> out;
        log.append(request, [&](const AppendResult &result) {
            out = result;
        });
        waitFor(
            [&]() {
                return out.has_value();
            },
            AnswerWithinMs);
        return out.value_or(AppendResult {});
    }

    WorkerResponse start()
    {
        const StartRunRequest request {target(), {"0123456789abcdef", 0, 0, 3}, 1, "p", 60'000, 7, {}, {}};
        return callWorker([&](const auto &done) {
            workers.start(request, {Timeout}, done);
        });
    }

    WorkerResponse stop()
    {
        return callWorker([&](const auto &done) {
            workers.stop({target(), {"0123456789abcdef", 0, 0, 3}, 1, 7}, {Timeout}, done);
        });
    }

private:
    WorkerAddress target() const { return {"i-0", "127.0.0.1", server.port()}; }

    WorkerResponse callWorker(const std::function<void(const std::function<void(const WorkerResponse &)> &)> &call)
    {
        std::optional<WorkerResponse> out;
        call([&](const WorkerResponse &result) {
            out = result;
        });
        waitFor(
            [&]() {
                return out.has_value();
            },
            AnswerWithinMs);
        return out.value_or(WorkerResponse {});
    }
};

// Sends an append over a new connection, which is confirmed, then one over the same connection, which the server carries out before it resets the connection.
// Returns the result of the second append, whose repetition over a new connection gets the given answer.
AppendResult appendAgainAfterReset(const ScriptedAnswer &answer)
{
    Fixture fixture({Confirmed, Reset, answer});
    fixture.append();
    const auto result = fixture.append();
    BOOST_TEST(fixture.server.requestCount() == 3);
    BOOST_TEST(result.sendings == 2);
    return result;
}

// The same for a call to a worker.
WorkerResponse callWorkerAgainAfterReset(WorkerResponse (Fixture::*call)(), const ScriptedAnswer &answer)
{
    Fixture fixture({Confirmed, Reset, answer});
    (fixture.*call)();
    const auto result = (fixture.*call)();
    BOOST_TEST(fixture.server.requestCount() == 3);
    BOOST_TEST(result.sendings == 2);
    return result;
}

// Every refusal of a call to a worker but that by a higher fencing token.
const ScriptedAnswer WorkerRefusals[] = {
    {400},
    {421},
    {429},
    {503},
    {409, R"({"reason":"old"})"},
    {409, R"({"reason":"late"})"},
    {409, R"({"reason":"room"})"},
    {409, R"({"reason":"ticket"})"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RepeatedCall)

// Guards against a submission that is refused and runs: the log stored the first sending of its append, and refused the second.
BOOST_AUTO_TEST_CASE(refusalOfARepeatedAppendDoesNotSayThatNothingWasStored)
{
    for (const auto status : {400, 412, 413, 429, 503, 507}) {
        BOOST_TEST_CONTEXT("status " << status)
        {
            const auto result = appendAgainAfterReset({status});
            BOOST_TEST(nameOf(result.outcome) == nameOf(AppendOutcome::Unknown));
            BOOST_TEST(result.isAnswered);
            BOOST_TEST(result.reason == "status " + std::to_string(status));
        }
    }
}

BOOST_AUTO_TEST_CASE(confirmationAndFenceOfARepeatedAppendAreConclusive)
{
    const auto stored = appendAgainAfterReset(Confirmed);
    BOOST_TEST(nameOf(stored.outcome) == nameOf(AppendOutcome::Stored));
    BOOST_TEST(stored.offset == 4);
    const auto fenced = appendAgainAfterReset({409, R"({"reason":"fenced"})"});
    BOOST_TEST(nameOf(fenced.outcome) == nameOf(AppendOutcome::Fenced));
}

BOOST_AUTO_TEST_CASE(refusalOfAnAppendThatWasSentOnceIsConclusive)
{
    Fixture fixture({Confirmed, {503}, {412}});
    fixture.append();
    BOOST_TEST(nameOf(fixture.append().outcome) == nameOf(AppendOutcome::Refused));
    BOOST_TEST(nameOf(fixture.append().outcome) == nameOf(AppendOutcome::EndMismatch));
}

// Guards against a submission that is refused and runs: the log, or something before it, answered its append with a status that promises nothing.
BOOST_AUTO_TEST_CASE(onlyAnExplicitRefusalSaysThatNothingWasStored)
{
    for (const auto status : {302, 500, 501, 502, 504}) {
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(nameOf(Fixture(std::deque<ScriptedAnswer> {{status}}).append().outcome) == nameOf(AppendOutcome::Unknown));
        }
    }
    for (const auto status : {400, 403, 404, 405, 411, 413, 429, 503, 507}) {
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(nameOf(Fixture(std::deque<ScriptedAnswer> {{status}}).append().outcome) == nameOf(AppendOutcome::Refused));
        }
    }
}

// Guards against a task that runs twice at a time: the worker carried out the first sending of its start and refused the second, and the task was started on
// another worker.
BOOST_AUTO_TEST_CASE(refusalOfARepeatedStartDoesNotSayThatNothingRuns)
{
    for (const auto &answer : WorkerRefusals) {
        BOOST_TEST_CONTEXT("status " << answer.status << " " << answer.body)
        {
            const auto result = callWorkerAgainAfterReset(&Fixture::start, answer);
            BOOST_TEST(nameOf(result.outcome) == nameOf(WorkerCallOutcome::Unknown));
            BOOST_TEST(result.reason == "status " + std::to_string(answer.status));
            BOOST_TEST(nameOf(callWorkerAgainAfterReset(&Fixture::stop, answer).outcome) == nameOf(WorkerCallOutcome::Unknown));
        }
    }
}

BOOST_AUTO_TEST_CASE(confirmationAndFenceOfARepeatedStartAreConclusive)
{
    const auto started = callWorkerAgainAfterReset(&Fixture::start, Confirmed);
    BOOST_TEST(nameOf(started.outcome) == nameOf(WorkerCallOutcome::Done));
    BOOST_TEST(started.workerClockMs == 1000);
    const auto fenced = callWorkerAgainAfterReset(&Fixture::start, {409, R"({"reason":"fence"})"});
    BOOST_TEST(nameOf(fenced.outcome) == nameOf(WorkerCallOutcome::Fenced));
}

BOOST_AUTO_TEST_CASE(refusalOfAStartThatWasSentOnceIsConclusive)
{
    for (const auto &answer : WorkerRefusals) {
        Fixture fixture({Confirmed, answer});
        fixture.start();
        const auto result = fixture.start();
        BOOST_TEST(result.sendings == 1);
        BOOST_TEST(nameOf(result.outcome) != nameOf(WorkerCallOutcome::Unknown));
    }
}

BOOST_AUTO_TEST_SUITE_END()
