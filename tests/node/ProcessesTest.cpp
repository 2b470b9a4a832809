#include <boost/test/unit_test.hpp>

#include <QFile>
#include <QJsonArray>
#include <QProcess>
#include <QTemporaryDir>
#include <csignal>
#include <random>
#include <set>

#include "../support/TestCluster.h"
#include "marjoramhaven/history/HistoryChecker.h"
#include "marjoramhaven/http/HttpClient.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr int Zones = 3;
constexpr int EntriesPerZone = 3;
constexpr int WorkersPerZone = 4;
constexpr Millis AnswerTimeout {25'000};

std::string zoneName(int zone)
{
    return "z" + std::to_string(zone);
}

// Nine entry processes in three zones and a stand-in platform, each an operating-system process of its own.
class Cluster
{
public:
    Cluster()
    {
        m_platformPort = freePort();
        QStringList arguments {
            QLatin1String("stand-in"), QLatin1String("--port"), QString::number(m_platformPort), QLatin1String("--workers"), QString::number(WorkersPerZone)};
        for (int i = 0; i < Zones * EntriesPerZone; ++i) {
            m_ports[i] = freePort();
            m_peerPorts[i] = freePort();
            arguments << QLatin1String("--entry") << toQt(nameOf(i) + "=" + zoneName(zoneOf(i)));
        }
        for (int zone = 0; zone < Zones; ++zone) {
            arguments << QLatin1String("--zone") << toQt(zoneName(zone));
            for (int i = 0; i < WorkersPerZone; ++i) {
                history.capacities.push_back({zoneName(zone) + "-w" + std::to_string(i), Resources(16'000, 32'768, 0, 8, 64)});
            }
        }
        m_processes.resize(static_cast<std::size_t>(Zones * EntriesPerZone));
        start(m_platform, arguments);
        for (int i = 0; i < Zones * EntriesPerZone; ++i) {
            startEntry(i);
        }
    }

    ~Cluster()
    {
        for (auto &it : m_processes) {
            ::kill(static_cast<pid_t>(it->processId()), SIGCONT);
            it->kill();
            it->waitForFinished();
        }
        m_platform->kill();
        m_platform->waitForFinished();
    }

    static std::string nameOf(int i) { return "e" + std::to_string(i); }
    static int zoneOf(int i) { return i / EntriesPerZone; }
    QProcess &process(int i) { return *m_processes[static_cast<std::size_t>(i)]; }

    void startEntry(int i)
    {
        std::string text = "name: " + nameOf(i) + "\nzone: " + zoneName(zoneOf(i)) + "\ncallers: 127.0.0.1:" + std::to_string(m_ports[i])
            + "\npeer_listen: 127.0.0.1:" + std::to_string(m_peerPorts[i]) + "\nplatform: http://127.0.0.1:" + std::to_string(m_platformPort)
            + "\nlog_level: error\nlease_ms: 2000\nrenew_ms: 400\npeers:\n";
        for (int j = 0; j < Zones * EntriesPerZone; ++j) {
            if (j != i) {
                text += "  " + nameOf(j) + ": {zone: " + zoneName(zoneOf(j)) + ", address: 127.0.0.1:" + std::to_string(m_peerPorts[j]) + "}\n";
            }
        }
        const auto path = m_folder.filePath(toQt(nameOf(i)));
        QFile file(path);
        file.open(QIODevice::WriteOnly);
        file.write(QByteArray::fromStdString(text));
        file.close();
        start(m_processes[static_cast<std::size_t>(i)], {QLatin1String("serve"), QLatin1String("--settings"), path});
    }

    int portOf(int i) const { return m_ports.at(i); }
    void signal(int i, int number) { ::kill(static_cast<pid_t>(process(i).processId()), number); }

    std::optional<ApiResponse> call(int i, const QByteArray &method, const std::string &path, const QJsonObject &body = {})
    {
        ApiClient client({"127.0.0.1:" + std::to_string(m_ports[i])});
        return client.call(method, path, body, false, Millis(15'000));
    }

    void injectFault(const QJsonObject &body)
    {
        ApiClient client({"127.0.0.1:" + std::to_string(m_platformPort)});
        BOOST_TEST(client.call("POST", "/v1/faults", body, false, Millis(15'000))->status == 200);
    }

    int leaderOf(int zone)
    {
        for (int i = zone * EntriesPerZone; i < (zone + 1) * EntriesPerZone; ++i) {
            const auto answer = call(i, "GET", "/v1/status");
            if (answer && answer->body.value(QLatin1String("zone_state")).toObject().value(QLatin1String("recovered")).toBool()) {
                return i;
            }
        }
        return -1;
    }

    bool waitForLeaders()
    {
        return TestCluster::waitFor([this]() {
            return leaderOf(0) >= 0 && leaderOf(1) >= 0 && leaderOf(2) >= 0;
        });
    }

    void send(int i, const QJsonObject &request)
    {
        ObservedCall seen;
        seen.id = request.value(QLatin1String("id")).toString().toStdString();
        seen.repeatable = request.value(QLatin1String("repeatable")).toBool();
        seen.expected = "result of " + seen.id;
        seen.sentAt = millisOf(monotonicNow());
        ++outstanding;
        m_http.call("POST",
                    QStringLiteral("http://127.0.0.1:%1/v1/requests").arg(m_ports[i]),
                    jsonBytes(request),
                    AnswerTimeout,
                    [this, seen](const HttpResult &answer) mutable {
                        --outstanding;
                        const auto body = answer.hasResponse ? parseJsonObject(answer.body).value_or(QJsonObject()) : QJsonObject();
                        const auto text = body.value(QLatin1String("answer")).toString().toStdString();
                        seen.answer = valueOf<ObservedAnswer>(text).value_or(ObservedAnswer::Unknown);
                        seen.result = body.value(QLatin1String("result")).toString().toStdString();
                        seen.answerId = body.value(QLatin1String("id")).toString().toStdString();
                        seen.answeredAt = millisOf(monotonicNow());
                        history.calls.push_back(seen);
                    });
    }

    void recordVersions()
    {
        for (int i = 0; i < Zones * EntriesPerZone; ++i) {
            if (process(i).state() == QProcess::Running && !stopped.contains(i)) {
                const auto answer = call(i, "GET", "/v1/status");
                if (answer) {
                    history.versions.push_back({nameOf(i) + "#" + std::to_string(process(i).processId()),
                                                millisOf(monotonicNow()),
                                                answer->body.value(QLatin1String("configuration")).toInteger(),
                                                answer->body.value(QLatin1String("configuration_hash")).toString().toStdString()});
                }
            }
        }
    }

    void recordRuns()
    {
        ApiClient client({"127.0.0.1:" + std::to_string(m_platformPort)});
        const auto answer = client.call("GET", "/v1/history", {}, false, Millis(15'000));
        std::map<std::pair<std::string, std::int64_t>, std::size_t> openRuns;
        for (const auto &it : answer->body.value(QLatin1String("events")).toArray()) {
            const auto row = it.toObject();
            const auto attempt = row.value(QLatin1String("attempt")).toObject();
            const auto task = attempt.value(QLatin1String("task")).toString().toStdString();
            const auto key = std::make_pair(task, static_cast<std::int64_t>(attempt.value(QLatin1String("number")).toInteger()));
            if (row.value(QLatin1String("kind")).toString() == QLatin1String("started")) {
                Findings findings;
                openRuns[key] = history.runs.size();
                history.runs.push_back({task,
                                        row.value(QLatin1String("worker")).toString().toStdString(),
                                        Resources::fromJson(row.value(QLatin1String("reservation")).toObject(), "", findings),
                                        row.value(QLatin1String("at")).toInteger(),
                                        -1});
            } else {
                history.runs[openRuns.at(key)].endedAt = row.value(QLatin1String("at")).toInteger();
            }
        }
    }

    History history;
    int outstanding = 0;
    std::set<int> stopped;

private:
    static void start(std::unique_ptr<QProcess> &process, const QStringList &arguments)
    {
        process = std::make_unique<QProcess>();
        process->setProcessChannelMode(QProcess::ForwardedErrorChannel);
        process->setStandardOutputFile(QProcess::nullDevice());
        process->start(QLatin1String(MARJORAMHAVEN_BINARY), arguments);
        process->waitForStarted();
    }

    QTemporaryDir m_folder;
    int m_platformPort = 0;
    std::map<int, int> m_ports;
    std::map<int, int> m_peerPorts;
    std::unique_ptr<QProcess> m_platform;
    std::vector<std::unique_ptr<QProcess>> m_processes;
    HttpClient m_http;
};

// Sends short requests, one in four of them unrepeatable, about every 10 ms to random entry processes that are not stopped.
void sendLoad(Cluster &cluster, const std::string &name, int count, std::mt19937_64 &random)
{
    for (int n = 0; n < count; ++n) {
        int i = static_cast<int>(random() % (Zones * EntriesPerZone));
        while (cluster.stopped.contains(i)) {
            i = (i + 1) % (Zones * EntriesPerZone);
        }
        const auto request = urgentShortRequest(name + "-" + std::to_string(n), 20, n % 4 != 0);
        cluster.send(i, request);
        if (n % 10 == 7) {
            // Sends a duplicate through another process of the same zone, as a retrying caller does.
            cluster.send(i / EntriesPerZone * EntriesPerZone + (i + 1) % EntriesPerZone, request);
        }
        const auto until = monotonicNow() + Millis(10);
        TestCluster::waitFor([&]() {
            return monotonicNow() >= until;
        });
    }
}

bool waitForAnswers(Cluster &cluster)
{
    return TestCluster::waitFor(
        [&]() {
            return cluster.outstanding == 0;
        },
        AnswerTimeout + Millis(5000));
}

void addTeam(Cluster &cluster)
{
    const QJsonObject patch {{QLatin1String("teams"), QJsonObject {{QLatin1String("signal"), QJsonObject {}}}}};
    const QJsonObject body {{QLatin1String("id"), QLatin1String("teams")}, {QLatin1String("base"), 0}, {QLatin1String("patch"), patch}};
    BOOST_TEST(cluster.call(0, "POST", "/v1/config/patches", body)->status == 200);
    BOOST_TEST(TestCluster::waitFor([&]() {
        for (int i = 0; i < Zones * EntriesPerZone; ++i) {
            if (cluster.call(i, "GET", "/v1/status")->body.value(QLatin1String("configuration")).toInteger() != 1) {
                return false;
            }
        }
        return true;
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Processes)

BOOST_AUTO_TEST_CASE(guaranteesHoldUnderProcessSignalsAndOutages)
{
    Cluster cluster;
    std::mt19937_64 random(7);
    BOOST_REQUIRE(cluster.waitForLeaders());
    addTeam(cluster);
    auto job = urgentShortRequest("sweep", 100);
    job.insert(QLatin1String("kind"), QLatin1String("batch"));
    job.insert(QLatin1String("tasks"), 60);
    BOOST_TEST(cluster.call(1, "POST", "/v1/jobs", job)->status == 202);

    const int killed = cluster.leaderOf(0);
    cluster.signal(killed, SIGKILL);
    cluster.stopped.insert(killed);
    sendLoad(cluster, "killed", 100, random);
    BOOST_TEST(TestCluster::waitFor([&]() {
        return cluster.process(killed).state() == QProcess::NotRunning;
    }));
    cluster.startEntry(killed);
    cluster.stopped.clear();

    const int paused = cluster.leaderOf(1);
    cluster.signal(paused, SIGSTOP);
    cluster.stopped.insert(paused);
    sendLoad(cluster, "paused", 200, random);
    cluster.signal(paused, SIGCONT);
    cluster.stopped.clear();
    cluster.recordVersions();

    cluster.injectFault({{QLatin1String("log"), QLatin1String("down")}});
    sendLoad(cluster, "log-down", 60, random);
    cluster.injectFault({{QLatin1String("log"), QLatin1String("answers-lost")}});
    sendLoad(cluster, "answers-lost", 60, random);
    cluster.injectFault({{QLatin1String("log"), QLatin1String("none")}, {QLatin1String("worker"), QLatin1String("z2-w0")}, {QLatin1String("silent"), true}});
    sendLoad(cluster, "silent", 60, random);
    cluster.injectFault({{QLatin1String("worker"), QLatin1String("z2-w0")}, {QLatin1String("silent"), false}, {QLatin1String("lose_every_start"), 2}});
    sendLoad(cluster, "lost-starts", 60, random);

    BOOST_TEST(waitForAnswers(cluster));
    BOOST_TEST(TestCluster::waitFor([&]() {
        return answerField(cluster.call(2, "GET", "/v1/jobs/sweep"), "state") == "finished";
    }));
    cluster.recordVersions();
    cluster.recordRuns();
    for (const auto &it : checkHistory(cluster.history, CheckerBounds())) {
        BOOST_ERROR(nameOf(it.invariant) << ": " << it.detail);
    }
    std::map<std::string, int> answerCounts;
    for (const auto &it : cluster.history.calls) {
        ++answerCounts[it.id.substr(0, it.id.rfind('-')) + " " + std::string(nameOf(it.answer))];
    }
    for (const auto &[phaseAndAnswer, n] : answerCounts) {
        BOOST_TEST_MESSAGE(phaseAndAnswer << " " << n);
    }
}

BOOST_AUTO_TEST_CASE(onlyOneConcurrentPatchWinsAndGracefulStopCompletesRequestsInFlight)
{
    Cluster cluster;
    BOOST_REQUIRE(cluster.waitForLeaders());
    addTeam(cluster);
    HttpClient http;
    int accepted = 0;
    int refused = 0;
    for (int i = 0; i < Zones * EntriesPerZone; ++i) {
        const QJsonObject patch {{QLatin1String("packing"), QLatin1String(i % 2 == 0 ? "spread" : "tight")}};
        const QJsonObject body {{QLatin1String("id"), QStringLiteral("rival-%1").arg(i)}, {QLatin1String("base"), 1}, {QLatin1String("patch"), patch}};
        http.call("POST",
                  QStringLiteral("http://127.0.0.1:%1/v1/config/patches").arg(cluster.portOf(i)),
                  jsonBytes(body),
                  AnswerTimeout,
                  [&](const HttpResult &answer) {
                      accepted += answer.status == 200 ? 1 : 0;
                      refused += answer.status == 409 ? 1 : 0;
                  });
    }
    BOOST_TEST(TestCluster::waitFor([&]() {
        return accepted + refused == Zones * EntriesPerZone;
    }));
    BOOST_TEST(accepted == 1);

    // The leader is asked to stop while a short request that it dispatched still runs.
    const int stopping = cluster.leaderOf(0);
    cluster.send(stopping, urgentShortRequest("in-flight", 1500));
    BOOST_TEST(TestCluster::waitFor([&]() {
        return cluster.call(stopping, "GET", "/v1/status")->body.value(QLatin1String("zone_state")).toObject().value(QLatin1String("short_active")).toInt()
            == 1;
    }));
    cluster.signal(stopping, SIGTERM);
    BOOST_TEST(TestCluster::waitFor([&]() {
        return cluster.process(stopping).state() == QProcess::NotRunning;
    }));
    BOOST_TEST(cluster.process(stopping).exitCode() == 0);
    BOOST_TEST(waitForAnswers(cluster));
    BOOST_REQUIRE_EQUAL(cluster.history.calls.size(), 1U);
    BOOST_TEST((cluster.history.calls[0].answer == ObservedAnswer::Done));
    BOOST_TEST(cluster.history.calls[0].result == "result of in-flight");
}

BOOST_AUTO_TEST_SUITE_END()
