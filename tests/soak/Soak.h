#pragma once

#include <QTemporaryDir>
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
};

/// A randomized soak test: runs real scheduler processes against a stand-in platform and injects overlapping faults.
///
/// The seed determines the faults and their order; their effects depend on timing.
class Soak
{
public:
    explicit Soak(SoakOptions options);
    ~Soak();

    /// Runs the soak and returns the violated invariants, each described in one line.
    std::vector<std::string> run();
    /// Returns the injected faults in order, with the time since the start.
    const std::vector<std::string> &injected() const { return m_injected; }
    int accepted() const { return m_callers->accepted(); }
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
    TimePoint m_startedAt {};
    /// Number of faults that have not ended yet.
    int m_activeFaults = 0;
    bool m_isCutOff = false;
    int m_stopRefusals = 0;
    std::vector<std::string> m_injected;
};

} // namespace marjoramhaven::test

namespace marjoramhaven {

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
