#pragma once

#include <QTemporaryDir>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "NodeProcess.h"
#include "SoakCallers.h"
#include "SoakChecker.h"
#include "SoakOperator.h"
#include "marjoramhaven/base/EnumNames.h"
#include "support/FaultProxy.h"

namespace marjoramhaven::test {

/// Faults that a soak injects from outside of the scheduler processes.
enum class SoakFault {
    NodeKilled,
    NodeTerminated,
    NodePaused,
    NodeReloaded,
    AllNodesKilled,
    StoreDown,
    StoreSlow,
    StoreSilentToNode,
    StoreAnswersLost,
    StoreReset,
    WorkerSilent,
    WorkerAnswersLost,
    WorkerSlow,
    WorkerReset,
    WorkerRestarted,
    AdvisorSilent,
    StoreLinkSlow,
    ConfigurationChanged,
    LargeConfigurationChanged,
    /// The process that leads and some workers are cut off from the log, from the other processes and from their workers, and reach each other.
    LeaderCutOff,
    /// All workers answer stop requests with 503 and carry none out.
    StopsRefused,
};

/// What happens to the leader in the series of restarted workers.
enum class LeaderFault {
    None,
    Killed,
    Terminated,
    /// Stopped by a signal for a few seconds; it goes on then.
    Paused,
    /// Cut off from all else.
    CutOff,
    /// Cut off together with some workers.
    CutOffWithWorkers,
    /// Cut off from the log alone.
    CutOffFromStore,
};

/// Size and duration of a soak.
struct SoakOptions {
    std::uint64_t seed = 1;
    int nodes = 4;
    int workers = 6;
    /// Whether a large configuration changes several times a second all the time, beside the other faults.
    bool hasFrequentChanges = false;
    /// Faults are injected for this long.
    Millis faultPeriod {10'000};
    /// Accepted jobs must complete within this time after the last fault was injected.
    Millis settleTimeout {25'000};
    /// Number of rounds of the series of restarted workers, which takes the place of the other faults; 0 for none.
    int restartRounds = 0;
    /// Whether workers may restart again soon after a restart in these rounds, and behind the cut.
    bool hasRepeatedRestarts = false;
    /// Build of the program to run, if not the one of this build.
    QString program;
};

/// A randomized soak test: runs real scheduler processes against a stand-in platform and injects overlapping faults.
///
/// The seed determines the faults and their order; their effects depend on timing.
class Soak
{
public:
    explicit Soak(const SoakOptions &options);
    ~Soak();

    /// Runs the soak and returns the violated invariants, each described in one line.
    std::vector<std::string> run();
    /// Returns the injected faults in order, with the time since the start.
    const std::vector<std::string> &injected() const { return m_injected; }
    int accepted() const { return m_callers->accepted(); }
    /// Returns how many calls a later incarnation of a worker carried out, or the same one late.
    int lateCallCount() const { return m_platform.lateCallCount(); }
    int startCount() const { return m_checker.startCount(); }
    int checkedConfigurationCount() const { return m_operator->checkedCount(); }
    QString folder() const { return m_folder.path(); }
    /// Keeps the folder with the logs of the processes when the soak is destroyed.
    void keepLogs() { m_folder.setAutoRemove(false); }

private:
    void wait(Millis time);
    void restartCrashedProcesses();
    // Draws the faults of a run in the order of their times since its beginning. Some come as a series of the same kind, which goes on beside others.
    std::vector<std::pair<Millis, SoakFault>> drawFaults();
    void inject(SoakFault fault);
    void injectIntoNode(SoakFault fault);
    void injectIntoStore(SoakFault fault);
    void injectIntoWorker(SoakFault fault);
    void refuseStops();
    void cutOffLeader();
    // Cuts a process and these workers off from all else for a while.
    void cutOff(std::size_t node, const std::vector<std::size_t> &workers, Millis duration);
    std::vector<std::size_t> halfOfTheWorkers(std::mt19937_64 &random) const;
    // Plays the other faults, in the order of their times.
    void playFaults();
    // Plays the series of restarted workers. In each round, about half of the workers restart while some calls to them are under way, which are carried out
    // later; the leader changes, and the workers are cut off for longer than their leases last.
    void playRestartRounds();
    // Draws the events of a round and their times since its beginning. The cut is last.
    std::vector<std::pair<Millis, std::function<void()>>> drawRestartRound();
    void drawRestart(std::vector<std::pair<Millis, std::function<void()>>> &events, Millis at, Millis dark);
    void keepCalls();
    bool isKeptCallDue(std::size_t worker, const HttpRequest &call);
    void crashWorkers();
    void restartCrashedWorkers();
    void cutOffWorkers(Millis duration);
    void injectIntoLeader(LeaderFault fault, Millis duration, const std::vector<std::size_t> &workers);
    Millis seriesDuration(std::size_t fromMs, std::size_t toMs);
    // Notes what is injected, with the time since the start.
    void noteInjected(const std::string &name);
    // Cuts a process and these workers off from all else, or ends that.
    void setCutOff(std::size_t node, const std::vector<std::size_t> &workers, bool isCutOff);
    // Returns the process that wrote the newest record about the leader.
    std::optional<std::size_t> leader() const;
    // Opens the store's port for a process, on which it finds its own proxies to the workers and to the other processes.
    int addStoreView(std::size_t node);
    /// Calls a function that ends a fault after a pause. The fault counts as active until then.
    void runAfter(Millis pause, std::function<void()> undo);
    void endAndRestartNode(std::size_t node, int signal);
    void startNode(std::size_t node);
    // Notes the beginning of a fault of one process or of its link to the log, and its end after a random time.
    Millis disturb(std::size_t node);
    // Returns the bandwidth in bytes per second of the link from the log to a process; 0 if it is not limited.
    static std::int64_t linkBandwidth(std::size_t node) { return node % 2 == 1 ? SmallVmBandwidth : 0; }
    Millis randomFaultDuration();
    // Draws a time between two for the faults that are drawn apart.
    Millis laterDuration(std::size_t fromMs, std::size_t toMs);
    // Faults that are drawn apart from the others, so that a seed still gives the order of those that it gave before these were added.
    void drawLaterFaults(std::vector<std::pair<Millis, SoakFault>> &faults);
    std::size_t randomBelow(std::size_t bound) { return static_cast<std::size_t>(m_random() % bound); }

    // 10 and 2 Mbit/s in bytes per second.
    static constexpr std::int64_t SmallVmBandwidth = 1'250'000;
    static constexpr std::int64_t SlowBandwidth = 250'000;

    const SoakOptions m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_laterRandom;
    std::mt19937_64 m_seriesRandom;
    /// Draws which calls are kept and for how long, apart from all else, since their number depends on timing.
    std::mt19937_64 m_callRandom;
    QTemporaryDir m_folder;
    QObject m_context;
    WireStandIn m_platform;
    SoakChecker m_checker;
    /// For each worker, a proxy on the way from each process.
    std::vector<std::vector<std::unique_ptr<FaultProxy>>> m_workerProxies;
    /// For each process, a proxy on the way from each other process.
    std::vector<std::vector<std::unique_ptr<FaultProxy>>> m_peerProxies;
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    std::unique_ptr<FaultProxy> m_advisorProxy;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::unique_ptr<SoakCallers> m_callers;
    std::unique_ptr<SoakOperator> m_operator;
    const TimePoint m_startedAt = monotonicNow();
    /// Number of faults that have not ended yet.
    int m_activeFaults = 0;
    bool m_isCutOff = false;
    int m_stopRefusals = 0;
    /// The workers that restart in this round of the series, and the share of the calls to them that are kept now, in percent.
    std::vector<std::size_t> m_roundWorkers;
    std::size_t m_keptPercent = 0;
    /// When each kept call is carried out, and the start of the incarnation that it was sent to, in Unix milliseconds.
    std::map<std::string, std::pair<TimePoint, std::int64_t>> m_keptCalls;
    std::vector<std::string> m_injected;
};

} // namespace marjoramhaven::test

namespace marjoramhaven {

template<>
struct EnumTable<test::LeaderFault> {
    static constexpr EnumName<test::LeaderFault> Rows[] = {
        {test::LeaderFault::None, "leader-undisturbed"},
        {test::LeaderFault::Killed, "leader-killed"},
        {test::LeaderFault::Terminated, "leader-terminated"},
        {test::LeaderFault::Paused, "leader-paused"},
        {test::LeaderFault::CutOff, "leader-cut-off"},
        {test::LeaderFault::CutOffWithWorkers, "leader-cut-off-with-workers"},
        {test::LeaderFault::CutOffFromStore, "leader-cut-off-from-store"},
    };
};

template<>
struct EnumTable<test::SoakFault> {
    static constexpr EnumName<test::SoakFault> Rows[] = {
        {test::SoakFault::NodeKilled, "node-killed"},
        {test::SoakFault::NodeTerminated, "node-terminated"},
        {test::SoakFault::NodePaused, "node-paused"},
        {test::SoakFault::NodeReloaded, "node-reloaded"},
        {test::SoakFault::AllNodesKilled, "all-nodes-killed"},
        {test::SoakFault::StoreDown, "store-down"},
        {test::SoakFault::StoreSlow, "store-slow"},
        {test::SoakFault::StoreSilentToNode, "store-silent-to-node"},
        {test::SoakFault::StoreAnswersLost, "store-answers-lost"},
        {test::SoakFault::StoreReset, "store-reset"},
        {test::SoakFault::WorkerSilent, "worker-silent"},
        {test::SoakFault::WorkerAnswersLost, "worker-answers-lost"},
        {test::SoakFault::WorkerSlow, "worker-slow"},
        {test::SoakFault::WorkerReset, "worker-reset"},
        {test::SoakFault::WorkerRestarted, "worker-restarted"},
        {test::SoakFault::AdvisorSilent, "advisor-silent"},
        {test::SoakFault::StoreLinkSlow, "store-link-slow"},
        {test::SoakFault::ConfigurationChanged, "configuration-changed"},
        {test::SoakFault::LargeConfigurationChanged, "large-configuration-changed"},
        {test::SoakFault::LeaderCutOff, "leader-cut-off"},
        {test::SoakFault::StopsRefused, "stops-refused"},
    };
};

} // namespace marjoramhaven
