#include <boost/test/unit_test.hpp>

#include "ClientApiServer.h"
#include "marjoramhaven/http/PooledHttpClient.h"
#include "marjoramhaven/standin/FreePort.h"
#include "support/Events.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis ClientBudget {3000};

// Knows one queue, and answers each query when its time is up, as a process does that reaches neither the planner nor the log.
class UnansweringService : public JobService
{
public:
    UnansweringService() { m_queue.prefix = "/q/"; }

    RouteResult route(const std::string & /*host*/, const std::string & /*path*/, TimePoint /*now*/) override { return {RouteOutcome::Found, &m_queue}; }
    void submit(FleetJobRequest /*request*/, Millis /*budget*/, std::function<void(const SubmitResult &)> done) override { done({}); }
    bool mayBeStored(const std::string & /*job*/, TimePoint /*now*/) const override { return false; }
    void query(const std::string & /*job*/, Millis budget, std::function<void(const QueryResult &)> done) override
    {
        budgets.push_back(budget);
        QTimer::singleShot(static_cast<int>(budget.count()), &m_context, [done = std::move(done)]() {
            done({});
        });
    }
    void cancel(const std::string & /*job*/, Millis /*budget*/, std::function<void(const SubmitResult &)> done) override { done({}); }
    void pending(const QueuePolicy & /*queue*/, Millis /*budget*/, std::function<void(const PendingJobsResult &)> done) override { done({}); }

    std::vector<Millis> budgets;

private:
    QObject m_context;
    QueuePolicy m_queue;
};

struct Fixture {
    UnansweringService service;
    platform::ClientApiServer server {service};
    int port = freePort();
    QObject context;
    PooledHttpClient httpClient {context, 1};

    Fixture() { BOOST_REQUIRE(server.listenOn("127.0.0.1", port)); }

    // Sends a query, on the connection that the previous ones left open, and returns the status and the time that the answer took.
    std::pair<int, Millis> query()
    {
        OutgoingCall call;
        call.method = "GET";
        call.host = "127.0.0.1";
        call.port = port;
        call.target = "/q/1";
        call.headers.emplace_back("Deadline-Ms", std::to_string(ClientBudget.count()));
        call.timeout = ClientBudget * 2;
        std::optional<CallResult> out;
        const auto sentAt = monotonicNow();
        httpClient.call(std::move(call), [&out](const CallResult &result) {
            out = result;
        });
        waitFor(
            [&out]() {
                return out.has_value();
            },
            static_cast<int>(ClientBudget.count()) * 2);
        return {out && out->hasResponse ? out->status : 0, monotonicNow() - sentAt};
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClientApi)

// Guards against requests that are cut off when a process ends: clients keep using their open connections until it is gone.
BOOST_AUTO_TEST_CASE(requestsOfAStoppingProcessAreAnsweredBeforeItsEndOrRefusedAtOnce)
{
    constexpr Millis UntilEnd {800};
    Fixture fixture;
    fixture.server.setEnd(monotonicNow() + UntilEnd);
    const auto [first, firstTook] = fixture.query();
    BOOST_TEST(first == 503);
    BOOST_TEST(firstTook.count() < UntilEnd.count() + 100);
    BOOST_REQUIRE(fixture.service.budgets.size() == 1U);
    BOOST_TEST(fixture.service.budgets[0].count() <= UntilEnd.count());
    // Now no request can be answered in time.
    const auto [second, secondTook] = fixture.query();
    BOOST_TEST(second == 503);
    BOOST_TEST(secondTook.count() < 200);
    BOOST_TEST(fixture.service.budgets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
