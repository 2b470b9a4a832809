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

BOOST_AUTO_TEST_SUITE_END()
