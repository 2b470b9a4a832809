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

/// How long the demo runs, and the seed of its load.
struct DemoOptions {
    int seconds = 10;
    std::uint64_t seed = 1;
};

/// The embedded default: three zones with three entry nodes each on a stand-in platform, both users' workloads, a
/// policy patch and its reversal, the loss of a leader, and a check of everything that outsiders saw.
class DemoRun : public QObject
{
    Q_OBJECT

public:
    explicit DemoRun(DemoOptions options);

    /// Runs it all. False when a promise was broken or the run could not be set up.
    bool run();

private:
    struct Tally {
        int sent = 0;
        std::map<std::string, int> answers;
    };

    bool setUp();
    bool waitFor(const std::function<bool()> &condition, int seconds);
    int leaderOf(const std::string &zone) const;
    bool allZonesLed() const;
    void submit(const DemoKind &kind);
    void send(const DemoKind &kind, const JobSpec &spec, std::size_t node);
    void handleAnswer(const DemoKind &kind, const JobSpec &spec, std::int64_t sentAt, const HttpAnswer &answer);
    void sendPatch(const QJsonObject &patch);
    void watchVersions();
    void killLeader();
    void steer(std::int64_t elapsedMs);
    bool jobsFinished() const;
    std::vector<Breach> check();
    std::vector<double> waits(const std::string &kind) const;
    void print(const std::vector<Breach> &breaches);

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
    int m_step = 0;
};

} // namespace marjoramhaven
