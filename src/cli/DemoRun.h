#pragma once

#include <QObject>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "DemoWorkload.h"
#include "marjoramhaven/history/HistoryChecker.h"
#include "marjoramhaven/http/HttpClient.h"
#include "marjoramhaven/node/EntryNode.h"
#include "marjoramhaven/standin/StandInPlatform.h"

namespace marjoramhaven {

/// Options of a demo run: the duration of the load in seconds and the seed of its random generator.
struct DemoOptions {
    int seconds = 10;
    std::uint64_t seed = 1;
};

/// Runs three zones with three entry nodes each against a stand-in platform, all in this process, under the sample workloads.
///
/// Meanwhile patches and reverts the configuration and kills a zone leader. Then checks the invariants against what callers and workers observed.
class DemoRun : public QObject
{
    Q_OBJECT

public:
    explicit DemoRun(DemoOptions options);

    /// Runs the demo and prints its results. Returns false when an invariant was violated or the run could not be set up.
    bool run();

private:
    struct Tally {
        int sent = 0;
        std::map<std::string, int> answers;
    };

    bool setUp();
    bool waitFor(const std::function<bool()> &condition, int seconds);
    int leaderOf(const std::string &zone) const;
    bool allZonesHaveLeaders() const;
    void submit(const DemoKind &kind);
    void send(const DemoKind &kind, const JobSpec &spec, std::size_t node);
    void handleAnswer(const DemoKind &kind, const JobSpec &spec, std::int64_t sentAt, const HttpResult &answer);
    void sendPatch(const QJsonObject &patch);
    void recordVersions();
    void killLeader();
    void advanceScenario(std::int64_t elapsedMs);
    bool areJobsFinished() const;
    std::vector<Violation> check();
    std::vector<double> waitTimes(const std::string &kind) const;
    void print(const std::vector<Violation> &violations);

    DemoOptions m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<StandInPlatform> m_platform;
    std::vector<Settings> m_settings;
    std::map<std::size_t, std::unique_ptr<EntryNode>> m_nodes;
    HttpClient m_http;
    History m_history;
    std::map<std::string, Tally> m_tallies;
    std::map<std::string, std::int64_t> m_sentAt;
    std::map<std::string, std::string> m_kindOf;
    std::vector<std::int64_t> m_nextAt;
    QJsonObject m_documentBefore;
    int m_outstanding = 0;
    int m_submitted = 0;
    int m_patches = 0;
    int m_scenarioStep = 0;
};

} // namespace marjoramhaven
