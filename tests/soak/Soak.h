#pragma once

#include <QTemporaryDir>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "FaultProxy.h"
#include "NodeProcess.h"
#include "SoakCallers.h"
#include "SoakChecker.h"
#include "marjoramhaven/base/EnumNames.h"

namespace marjoramhaven::test {

/// Faults that a soak injects from outside the processes.
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

/// How large a soak is and how long it runs.
struct SoakSetting {
    std::uint64_t seed = 1;
    int nodes = 4;
    int workers = 6;
    Millis faultsFor {10'000};
    /// Accepted jobs must have completed within this time of the last fault.
    Millis settleWithin {25'000};
};

/// A randomized soak: real processes against the stand-in of the platform, with faults in series that overlap, repeated exactly in their order by a seed.
class Soak
{
public:
    explicit Soak(SoakSetting setting);
    ~Soak();

    /// Runs to the end; the promises that were broken, each in one line.
    std::vector<std::string> run();
    /// What was injected, in order, with the time since the start.
    const std::vector<std::string> &injected() const { return m_injected; }
    int accepted() const { return m_callers->accepted(); }
    int begins() const { return m_checker.begins(); }
    QString folder() const { return m_folder.path(); }
    /// Keeps the logs of the processes after the end.
    void keepLogs() { m_folder.setAutoRemove(false); }

private:
    void wait(Millis time);
    void watchProcesses();
    void injectNext();
    void inject(SoakFault fault);
    void injectIntoNode(SoakFault fault);
    void injectIntoStore(SoakFault fault);
    void injectIntoWorker(SoakFault fault);
    void later(Millis pause, std::function<void()> undo);
    void endNode(std::size_t node, int signal);
    Millis someTime();
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(m_random() % bound); }

    const SoakSetting m_setting;
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
    /// Faults that have not ended yet.
    int m_openFaults = 0;
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
