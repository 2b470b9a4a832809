#include <boost/test/unit_test.hpp>

#include "../support/TestCluster.h"
#include "marjoramhaven/history/HistoryChecker.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

BOOST_AUTO_TEST_SUITE(EndToEnd)

BOOST_AUTO_TEST_CASE(shortRequestReturnsItsResult)
{
    TestCluster bench({"north"}, 1, 2);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    const auto answer = bench.call(0, "POST", "/v1/requests", urgentShortRequest("leap-1", 10));
    BOOST_TEST(answerField(answer) == "done");
    BOOST_TEST(answerField(answer, "result") == "result of leap-1");
    BOOST_TEST(answerField(answer, "id") == "leap-1");
}

BOOST_AUTO_TEST_CASE(batchJobCompletesAndIsVisibleThroughEveryProcess)
{
    TestCluster bench({"north"}, 2, 2);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    auto job = urgentShortRequest("sweep-1", 5);
    job.insert(QLatin1String("kind"), QLatin1String("batch"));
    job.insert(QLatin1String("tasks"), 20);
    BOOST_TEST(answerField(bench.call(0, "POST", "/v1/jobs", job)) == "accepted");
    BOOST_TEST(answerField(bench.call(1, "POST", "/v1/jobs", job)) == "accepted");
    job.insert(QLatin1String("tasks"), 21);
    BOOST_TEST(answerField(bench.call(1, "POST", "/v1/jobs", job)) == "refused");
    BOOST_TEST(bench.waitFor([&]() {
        return answerField(bench.call(1, "GET", "/v1/jobs/sweep-1"), "state") == "finished";
    }));
    const auto status = bench.call(1, "GET", "/v1/jobs/sweep-1");
    BOOST_TEST(status->body.value(QLatin1String("ended")).toObject().value(QLatin1String("done")).toInt() == 20);
}

BOOST_AUTO_TEST_CASE(duplicateOfAnUnrepeatableRequestIsNeverAnsweredNotRun)
{
    TestCluster bench({"north"}, 2, 2);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    const bool repeatable = false;
    auto request = urgentShortRequest("announcement", 1500, repeatable);
    request.insert(QLatin1String("deadline_ms"), 400);
    HttpClient http;
    std::string firstAnswer;
    http.call("POST",
              QStringLiteral("http://127.0.0.1:%1/v1/requests").arg(bench.settings[0].clientListen.port),
              jsonBytes(request),
              Millis(10'000),
              [&](const HttpResult &answer) {
                  firstAnswer = parseJsonObject(answer.body)->value(QLatin1String("answer")).toString().toStdString();
              });
    BOOST_REQUIRE(bench.waitFor([&]() {
        return !bench.platform->history().empty();
    }));
    BOOST_TEST(answerField(bench.call(1, "POST", "/v1/requests", request)) == "unknown");
    BOOST_TEST(bench.waitFor([&]() {
        return firstAnswer == "unknown";
    }));
    // Once recorded, the outcome can be queried through any process.
    BOOST_TEST(bench.waitFor([&]() {
        return answerField(bench.call(1, "GET", "/v1/requests/announcement")) == "done";
    }));
    BOOST_TEST(answerField(bench.call(0, "POST", "/v1/requests", request), "result") == "result of announcement");
    BOOST_TEST(bench.platform->history().size() == 2U);
}

BOOST_AUTO_TEST_CASE(workerWithTerminationNoticeGetsNoNewWorkAfterThreeSeconds)
{
    TestCluster bench({"north"}, 1, 2);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    const auto noticeAt = monotonicNow();
    bench.platform->setLeaving("north-w0");
    int sentRequests = 0;
    BOOST_TEST(bench.waitFor([&]() {
        BOOST_TEST(answerField(bench.call(0, "POST", "/v1/requests", urgentShortRequest("leap-" + std::to_string(sentRequests++), 5))) == "done");
        return monotonicNow() > noticeAt + Millis(4000);
    }));
    History history;
    history.removalNotices = {{"north-w0", millisOf(noticeAt)}};
    for (const auto &it : bench.platform->history()) {
        if (it.kind == WorkerEvent::Kind::Started) {
            history.runs.push_back({it.attempt.task, it.worker, it.reservation, it.at, it.at});
        }
    }
    BOOST_TEST(history.runs.size() == static_cast<std::size_t>(sentRequests));
    BOOST_TEST(checkHistory(history, CheckerBounds()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
