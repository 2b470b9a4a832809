#pragma once

#include <QTemporaryDir>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "support/FaultProxy.h"
#include "NodeProcess.h"
#include "SoakCallers.h"
#include "SoakChecker.h"
#include "marjoramhaven/base/EnumNames.h"

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
    ConfigurationChanged,
};

/// Size and duration of a soak.
struct SoakOptions {
    std::uint64_t seed = 1;
    int nodes = 4;
    int workers = 6;
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
    QString folder() const { return m_folder.path(); }
    /// Keeps the folder with the logs of the processes when the soak is destroyed.
    void keepLogs() { m_folder.setAutoRemove(false); }

private:
    void wait(Millis time);
    void restartCrashedProcesses();
    void injectNext();
    void inject(SoakFault fault);
    void injectIntoNode(SoakFault fault);
    void injectIntoStore(SoakFault fault);
    void injectIntoWorker(SoakFault fault);
    /// Calls a function that ends a fault after a pause. The fault counts as active until then.
    void runAfter(Millis pause, std::function<void()> undo);
    void endAndRestartNode(std::size_t node, int signal);
    Millis randomFaultDuration();
    std::size_t randomBelow(std::size_t bound) { return static_cast<std::size_t>(m_random() % bound); }

    const SoakOptions m_options;
    std::mt19937_64 m_random;
    QTemporaryDir m_folder;
    QObject m_context;
    WireStandIn m_platform;
    SoakChecker m_checker;
    std::vector<std::unique_ptr<FaultProxy>> m_workerProxies;
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    std::unique_ptr<FaultProxy> m_advisorProxy;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::unique_ptr<SoakCallers> m_callers;
    std::int64_t m_version = 3;
    TimePoint m_startedAt {};
    /// Number of faults that have not ended yet.
    int m_activeFaults = 0;
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
        {test::SoakFault::ConfigurationChanged, "configuration-changed"},
    };
};

} // namespace marjoramhaven
