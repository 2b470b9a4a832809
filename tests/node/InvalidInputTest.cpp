#include <boost/test/unit_test.hpp>

#include <set>

#include "../support/TestCluster.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

QJsonObject withMember(QJsonObject object, const char *key, const QJsonValue &value)
{
    object.insert(QLatin1String(key), value);
    return object;
}

std::string detail(const std::optional<ApiResponse> &answer)
{
    return answerField(answer, "detail");
}

} // namespace

BOOST_AUTO_TEST_SUITE(InvalidInput)

BOOST_AUTO_TEST_CASE(invalidSubmissionsAreRejectedAndTheProcessKeepsServing)
{
    TestCluster bench({"north"}, 1, 2);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    const auto job = withMember(urgentShortRequest("j", 10), "kind", QLatin1String("batch"));
    const auto post = [&](const char *path, const QJsonObject &body) {
        return bench.call(0, "POST", path, body);
    };
    BOOST_TEST(post("/v1/jobs", withMember(job, "id", QString(10'000, QLatin1Char('x'))))->status == 422);
    BOOST_TEST(detail(post("/v1/jobs", withMember(job, "tasks", 0))).find("/tasks: must be an integer from 1") == 0U);
    BOOST_TEST(detail(post("/v1/jobs", withMember(job, "team", QLatin1String("nobody")))) == "/team: the configuration in force has no team nobody");
    const QJsonObject largerThanAnyWorker {{QLatin1String("cpu_milli"), 999'000}};
    BOOST_TEST(detail(post("/v1/jobs", withMember(job, "resources", largerThanAnyWorker))) == "each task is larger than any worker of zone north");
    const auto tooLarge = post("/v1/requests", withMember(urgentShortRequest("s", 10), "resources", largerThanAnyWorker));
    BOOST_TEST(tooLarge->status == 503);
    BOOST_TEST(answerField(tooLarge) == "not-run");
    BOOST_TEST(detail(tooLarge) == "larger than any worker of the zone");
    BOOST_TEST(bench.call(0, "GET", "/v1/nothing")->status == 404);
    BOOST_TEST(bench.call(0, "GET", "/v1/jobs/none")->status == 404);
    BOOST_TEST(bench.call(0, "DELETE", "/v1/jobs/none")->status == 404);
    BOOST_TEST(answerField(post("/v1/requests", urgentShortRequest("after", 10))) == "done");
}

BOOST_AUTO_TEST_CASE(rejectedPatchesChangeNothing)
{
    TestCluster bench({"north"}, 1, 2);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    const auto patch = [&](const char *id, std::int64_t base, const char *text) {
        return bench.call(
            0,
            "POST",
            "/v1/config/patches",
            {{QLatin1String("id"), QLatin1String(id)}, {QLatin1String("base"), static_cast<qint64>(base)}, {QLatin1String("patch"), *parseJsonObject(text)}});
    };
    BOOST_TEST(patch("old", 0, "{}")->status == 409);
    BOOST_TEST(patch("future", 9, "{}")->status == 409);
    BOOST_TEST(patch("negative", 1, R"({"teams":{"signal":{"share":-1}}})")->status == 409);
    auto service = urgentShortRequest("watch", 1'000'000);
    service.insert(QLatin1String("kind"), QLatin1String("service"));
    BOOST_TEST(bench.call(0, "POST", "/v1/jobs", service)->status == 202);
    const auto removed = patch("remove", 1, R"({"teams":{"signal":null}})");
    BOOST_TEST(removed->status == 409);
    BOOST_TEST(jsonBytes(removed->body).contains("still has 1 open jobs"));
    BOOST_TEST(bench.call(0, "GET", "/v1/config")->body.value(QLatin1String("version")).toInteger() == 1);
    // Cancelling the running service stops its one task, which frees the team for removal.
    BOOST_TEST(bench.waitFor([&]() {
        return bench.call(0, "GET", "/v1/jobs/watch")->body.value(QLatin1String("running")).toInt() == 1;
    }));
    const auto cancelled = bench.call(0, "DELETE", "/v1/jobs/watch");
    BOOST_TEST(cancelled->status == 200);
    BOOST_TEST(cancelled->body.value(QLatin1String("ended")).toObject().value(QLatin1String("stopped")).toInt() == 1);
    BOOST_TEST(patch("remove-2", 1, R"({"teams":{"signal":null}})")->status == 200);
}

BOOST_AUTO_TEST_CASE(concurrentCancellationsReportWhetherEachTaskRan)
{
    constexpr int Jobs = 300;
    TestCluster bench({"north"}, 1, 1);
    BOOST_REQUIRE(bench.waitForLeader("north"));
    BOOST_REQUIRE(bench.addTeam("signal"));
    HttpClient http;
    const auto base = QStringLiteral("http://127.0.0.1:%1/v1/jobs").arg(bench.settings[0].clientListen.port);
    int answered = 0;
    for (int i = 0; i < Jobs; ++i) {
        auto job = urgentShortRequest("c" + std::to_string(i), 1'000'000);
        job.insert(QLatin1String("kind"), QLatin1String("batch"));
        http.call("POST", base, jsonBytes(job), Millis(20'000), [&](const HttpResult &answer) {
            answered += answer.status == 202 ? 1 : 0;
        });
    }
    BOOST_TEST(bench.waitFor([&]() {
        return answered == Jobs;
    }));
    std::map<std::string, int> outcomes;
    answered = 0;
    for (int i = 0; i < Jobs; ++i) {
        http.call("DELETE", base + QStringLiteral("/c%1").arg(i), {}, Millis(20'000), [&](const HttpResult &answer) {
            ++answered;
            const auto ended = parseJsonObject(answer.body)->value(QLatin1String("ended")).toObject();
            ++outcomes[ended.isEmpty() ? "none" : ended.begin().key().toStdString()];
        });
    }
    BOOST_TEST(bench.waitFor([&]() {
        return answered == Jobs;
    }));
    std::set<std::string> started;
    for (const auto &it : bench.platform->history()) {
        started.insert(it.attempt.task);
    }
    BOOST_TEST(outcomes["not-run"] == Jobs - static_cast<int>(started.size()));
    BOOST_TEST(outcomes["stopped"] == static_cast<int>(started.size()));
}

BOOST_AUTO_TEST_SUITE_END()
