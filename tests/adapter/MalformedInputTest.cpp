#include <boost/test/unit_test.hpp>

#include <QHostAddress>

#include "HttpStateLog.h"
#include "HttpWorkerClient.h"
#include "WireDocuments.h"
#include "WireJson.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/fleet/FleetJobState.h"
#include "marjoramhaven/http/HttpServer.h"
#include "support/Events.h"
#include "support/Mutator.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr char Entry[] =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock-ms":482113,"born":1700000000000,"sequence":4})";
constexpr char Configuration[] =
    R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/q/","timeout-ms":3000,"target-completion-ms":3000,"priority":1,"service":"s",)"
    R"("max-attempts":3,"slack-factor":2.2,"advisor":{"decision-ms":585.0,"per-worker-ms":8.45,"validity-ms":2500}}],"services":[{"name":"s"}]})";
constexpr char Job[] =
    R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0],"gang":true}],)"
    R"("start-at-ms":1700000000000,"interval-ms":1000,"repeat-count":3})";
constexpr char List[] = R"({"clock-ms":482113,"born":1700000000000,"running":[["j.0.1.17",2,"00000bb8",41,3.5]],"finished":[[58,"j.0.1.9",1,"done",""]]})";

std::string entryWith(const std::string &from, const std::string &to)
{
    std::string out = Entry;
    out.replace(out.find(from), from.size(), to);
    return out;
}

// A server that answers each request with the same body.
struct CannedServer {
    QByteArray body;
    HttpServer server {[this](const HttpRequest & /*request*/, const HttpRespond &respond) {
                           HttpResponse out;
                           out.body = body;
                           respond(out);
                       },
                       HttpLimits {}};
    int port = server.listenOn(QHostAddress::LocalHost, 0);
    QObject context;
    PooledHttpClient httpClient {context, 1};
    platform::HttpWorkerClient workers {httpClient};
    platform::HttpAdvisorClient advisor {httpClient, {"127.0.0.1", port}};
    platform::HttpStateLog log {httpClient, {"127.0.0.1", port}, 262144};

    template<typename Response>
    Response await(const std::function<void(std::function<void(const Response &)>)> &send)
    {
        std::optional<Response> out;
        send([&out](const Response &it) {
            out = it;
        });
        BOOST_REQUIRE(waitFor(
            [&out]() {
                return out.has_value();
            },
            5000));
        return *out;
    }

    PollWorkerResponse poll(const std::string &text)
    {
        body = QByteArray::fromStdString(text);
        return await<PollWorkerResponse>([this](auto done) {
            workers.poll({{"w", "127.0.0.1", port}, 0, 1, 0, Millis(0), 0}, {Millis(3000)}, std::move(done));
        });
    }
};

} // namespace

// Bytes from outside that no correct writer sends. Each decoder refuses them without ending the process, and none takes them for a proof of anything.
BOOST_AUTO_TEST_SUITE(MalformedInput)

BOOST_AUTO_TEST_CASE(oddEntriesOfWorkersAreRefused)
{
    BOOST_TEST(platform::decodeWorker("w", Entry).has_value());
    for (const char *port : {"0", "-1", "65536", "4294967376", "", "8080x", "99999999999999999999"}) {
        BOOST_TEST(!platform::decodeWorker("w", entryWith("8080", port)), port);
    }
    for (const char *number : {"1e400", "9223372036854775808", "18446744073709551616", "-1", "\"5\"", "{}", "1e300"}) {
        BOOST_TEST(!platform::decodeWorker("w", entryWith("1700000000000", number)), number);
        BOOST_TEST(!platform::decodeWorker("w", entryWith("16000", number)), number);
    }
    for (const std::size_t depth : {std::size_t(100), std::size_t(100'000), std::size_t(1'000'000)}) {
        BOOST_TEST(!platform::decodeWorker("w", entryWith("[\"a\",\"r1-3\"]", Mutator::deepArray(depth))));
        BOOST_TEST(!platform::decodeWorker("w", entryWith("\"version\":\"v1\"", "\"other\":" + Mutator::deepArray(depth))));
    }
    BOOST_TEST(!platform::decodeWorker("w", entryWith("ready", "resting")));
    BOOST_TEST(!platform::decodeWorker("w", entryWith("\"s\"", "7")));
}

// The planner holds the tasks of all jobs in memory, and would read the job again after each takeover.
BOOST_AUTO_TEST_CASE(jobWithMoreTasksThanAPlannerHoldsIsRefused)
{
    std::string steps;
    for (int i = 0; i < 1000; ++i) {
        steps += std::string(i == 0 ? "" : ",") + R"({"count":10000,"cpu":1})";
    }
    BOOST_TEST(!platform::decodeJob(R"({"spec":"x","phases":[)" + steps + "]}"));
    BOOST_TEST(!platform::decodeJob(R"({"spec":"x","phases":[{"count":1000}],"repeat-count":10000,"interval-ms":1})"));
    BOOST_TEST(!platform::decodeJob(R"({"spec":"x","phases":[]})"));
    BOOST_TEST(!platform::decodeJob(R"({"spec":"x","phases":[{"count":1,"after":[18446744073709551615]}]})"));
    BOOST_TEST(platform::decodeJob(R"({"spec":"x","phases":[{"count":1000}],"repeat-count":10,"interval-ms":1})").has_value());
}

// An answer without lists would otherwise say that the worker runs nothing, and all its runs would start again elsewhere.
BOOST_AUTO_TEST_CASE(answerWithoutReadableListsIsNoAnswer)
{
    CannedServer server;
    const auto good = server.poll(List);
    BOOST_TEST((good.outcome == WorkerCallOutcome::Done));
    BOOST_TEST(good.isComplete);
    BOOST_TEST(good.running.size() == 1U);
    for (const std::string text : {"",
                                   "{}",
                                   "[]",
                                   R"({"clock-ms":1,"born":1,"running":[]})",
                                   R"({"clock-ms":1,"born":1,"running":{},"finished":[]})",
                                   R"({"clock-ms":"1","born":1,"running":[],"finished":[]})",
                                   R"({"clock-ms":1,"born":1,"running":[],"finished":[)"}) {
        BOOST_TEST((server.poll(text).outcome == WorkerCallOutcome::Unknown), text);
    }
}

BOOST_AUTO_TEST_CASE(listWithAMalformedRowIsIncomplete)
{
    CannedServer server;
    const auto running = server.poll(R"({"clock-ms":5,"born":1,"running":[["j.0.0.0",1e300,"",1],["j.0.0.1",1,"",1]],"finished":[]})");
    BOOST_TEST(!running.isComplete);
    BOOST_TEST(running.running.size() == 1U);
    // Ends behind the malformed one would be acknowledged together with it.
    const auto ended = server.poll(R"({"clock-ms":5,"born":1,"running":[],"finished":[[1,"j.0.0.0",1,"odd",""],[2,"j.0.0.1",1,"done",""]]})");
    BOOST_TEST(!ended.isComplete);
    BOOST_TEST(ended.ended.empty());
    std::string rows;
    for (int i = 1; i <= 500; ++i) {
        rows += (i == 1 ? "[" : ",[") + std::to_string(i) + R"(,"j.0.0.0",1,"done",""])";
    }
    const auto full = server.poll(R"({"clock-ms":5,"born":1,"running":[],"finished":[)" + rows + "]}");
    BOOST_TEST(!full.isComplete);
    BOOST_TEST(full.ended.size() == 500U);
}

BOOST_AUTO_TEST_CASE(idOfAWorkerThatIsNotUtf8CanBeSentToTheAdvisor)
{
    CannedServer server;
    server.body = R"({"allowed":[]})";
    const auto answer = server.await<AdviceResponse>([&server](auto done) {
        server.advisor.ask("j.0.0", {"w\xff\xfe"}, Millis(3000), std::move(done));
    });
    BOOST_TEST(answer.isAnswered);
}

BOOST_AUTO_TEST_CASE(pageWithARecordWithoutAKeyIsNoAnswer)
{
    CannedServer server;
    for (const std::string items : {"[7]", "[{}]", R"([{"key":5}])"}) {
        server.body = QByteArray::fromStdString(R"({"has-more":true,"end-offset":3,"items":)" + items + "}");
        const auto answer = server.await<NewestResult>([&server](auto done) {
            server.log.newest(StateTopic::Workers, {}, Millis(3000), std::move(done));
        });
        BOOST_TEST(!answer.isAnswered, items);
    }
}

BOOST_AUTO_TEST_CASE(mutatedDocumentsAreDecodedOrRefused)
{
    Mutator mutator(1);
    for (int i = 0; i < fuzzCount(); ++i) {
        const auto entry = platform::decodeWorker("w", mutator.mutate(Entry));
        BOOST_REQUIRE((!entry || isPort(entry->port)));
        const auto job = platform::decodeJob(mutator.mutate(Job));
        BOOST_REQUIRE((!job || isValidRequest(*job)));
        if (const auto configuration = platform::decodeConfiguration(mutator.mutate(Configuration)); configuration && job) {
            const auto *queue = configuration->route("h", "/q/1");
            auto request = *job;
            request.queue = queue == nullptr ? QueuePolicy {} : *queue;
            const FleetJob planned(request, atMillis(0));
            BOOST_REQUIRE(planned.softDeadline() >= atMillis(0));
        }
    }
}

BOOST_AUTO_TEST_CASE(mutatedAnswersOfWorkersAreDecodedOrRefused)
{
    CannedServer server;
    Mutator mutator(2);
    for (int i = 0; i < fuzzCount() / 10; ++i) {
        const auto answer = server.poll(mutator.mutate(List));
        for (const auto &it : answer.running) {
            BOOST_REQUIRE((it.attempt > 0 && it.percent >= 0 && it.percent <= 100));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
