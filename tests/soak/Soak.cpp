#include "Soak.h"

#include <QFile>
#include <algorithm>
#include <csignal>

#include "marjoramhaven/fleet/PlannerElection.h"
#include "support/Events.h"

namespace marjoramhaven::test {

namespace {

// Records in a page of the platform's store.
constexpr std::size_t StorePageSize = 500;
constexpr Millis WarmUp {1500};
// Runs of cancelled jobs must have ended this long after all other jobs have completed.
constexpr Millis CancelledRunsStopWithin {4000};
constexpr std::size_t TaskTimeSpreadMs = 500;
constexpr Millis GangTaskTime {60'000};
constexpr std::int64_t ShortestLongTaskMs = 10'000;
constexpr std::size_t LongTaskTimeSpreadMs = 4000;
// After a fault, a run is given up once the longest lease of its worker is over, its task waits while a late start may be carried out, and it works then.
constexpr Millis LongestLease {10'200};
constexpr Millis LateStartWait {13'000};
constexpr Millis LongestTask {14'000};

} // namespace

Soak::Soak(const SoakOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_laterRandom(options.seed + 3)
    , m_seriesRandom(options.seed + 4)
    , m_callRandom(options.seed + 5)
    , m_platform(options.workers)
    , m_checker(m_platform)
{
    // Runs a copy of the program: a build that replaces the program during the soak would make starts fail, which looks like a crash.
    const auto program = options.program.isEmpty() ? QString(QLatin1String(MARJORAMHAVEN_BINARY)) : options.program;
    QFile::copy(program, m_folder.filePath(QLatin1String("marjoramhaven")));
    m_platform.store().newestPageSize = StorePageSize;
    m_platform.onRunEvent = [this](const RunEvent &event) {
        m_checker.handleRunEvent(event);
    };
    m_platform.onAcknowledgement = [this](const EndAcknowledgement &end) {
        m_checker.handleAcknowledgement(end);
    };
    m_platform.taskBehaviour = [this](const FleetTaskId &task) {
        TaskBehaviour out;
        out.duration = Millis(static_cast<std::int64_t>(50 + std::hash<std::string> {}(task.toString()) % TaskTimeSpreadMs));
        out.needs = {1000, 100, 0};
        out.checkpoints = true;
        const auto job = m_checker.jobs().find(task.job);
        if (job != m_checker.jobs().end() && job->second.isGang) {
            out.duration = GangTaskTime;
        }
        if (job != m_checker.jobs().end() && job->second.isLong) {
            out.duration = Millis(ShortestLongTaskMs + static_cast<std::int64_t>(std::hash<std::string> {}(task.toString()) % LongTaskTimeSpreadMs));
        }
        out.isLongRunning = job != m_checker.jobs().end() && job->second.isLasting;
        return out;
    };
    m_advisorProxy = std::make_unique<FaultProxy>(m_platform.advisorPort());
    std::vector<int> ports;
    for (int i = 0; i < options.nodes; ++i) {
        m_nodes.push_back(std::make_unique<NodeProcess>(m_folder.path(), "node-" + std::to_string(i)));
        ports.push_back(m_nodes.back()->callerPort());
    }
    const auto addProxies = [this](std::vector<std::vector<std::unique_ptr<FaultProxy>>> &proxies, int port) {
        proxies.emplace_back();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            proxies.back().push_back(std::make_unique<FaultProxy>(port));
        }
    };
    for (std::size_t i = 0; i < m_platform.workerCount(); ++i) {
        addProxies(m_workerProxies, m_platform.workerPort(i));
    }
    for (const auto &it : m_nodes) {
        addProxies(m_peerProxies, it->peerPort());
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_storeProxies.push_back(std::make_unique<FaultProxy>(addStoreView(i)));
        m_storeProxies.back()->setBandwidthToCaller(linkBandwidth(i));
        m_nodes[i]->writeSettings(m_storeProxies.back()->port(), m_advisorProxy->port());
    }
    m_callers = std::make_unique<SoakCallers>(m_checker, ports, options.seed + 1);
    m_callers->mayCutOff = [this](std::size_t node, TimePoint since) {
        return m_nodes[node]->wasInterrupted(since);
    };
    m_operator = std::make_unique<SoakOperator>(m_platform, m_checker, ports, options.seed + 2);
    m_operator->changeConfiguration(false);
}

Soak::~Soak() = default;

int Soak::addStoreView(std::size_t node)
{
    std::map<int, int> ports;
    for (std::size_t i = 0; i < m_workerProxies.size(); ++i) {
        ports[m_platform.workerPort(i)] = m_workerProxies[i][node]->port();
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        ports[m_nodes[i]->peerPort()] = m_peerProxies[i][node]->port();
    }
    return m_platform.addStoreView(std::move(ports));
}

void Soak::wait(Millis time)
{
    waitFor(
        []() {
            return false;
        },
        static_cast<int>(time.count()));
}

void Soak::runAfter(Millis pause, std::function<void()> undo)
{
    ++m_activeFaults;
    QTimer::singleShot(static_cast<int>(pause.count()), &m_context, [this, undo = std::move(undo)]() {
        --m_activeFaults;
        undo();
    });
}

void Soak::restartCrashedProcesses()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->hasEndedUnexpectedly()) {
            m_checker.processEndedUnexpectedly(m_nodes[i]->name());
            startNode(i);
        }
    }
}

void Soak::startNode(std::size_t node)
{
    m_nodes[node]->start();
    m_operator->noteStart(node);
    m_operator->noteDisturbance(node, monotonicNow());
}

Millis Soak::disturb(std::size_t node)
{
    const auto duration = randomFaultDuration();
    m_operator->noteDisturbance(node, monotonicNow());
    runAfter(duration, [this, node]() {
        m_operator->noteDisturbance(node, monotonicNow());
    });
    return duration;
}

void Soak::endAndRestartNode(std::size_t node, int signal)
{
    auto &it = *m_nodes[node];
    const bool isEnding = it.isEnding();
    m_operator->noteDisturbance(node, monotonicNow());
    it.signal(SIGCONT);
    it.signal(signal);
    if (isEnding) {
        return;
    }
    // A process that got SIGTERM finishes its requests in flight first, so poll until it has ended before starting it again.
    auto check = std::make_shared<std::function<void()>>();
    *check = [this, node, check]() {
        if (m_nodes[node]->isRunning()) {
            runAfter(Millis(100), *check);
        } else {
            m_nodes[node]->reap();
            startNode(node);
        }
    };
    runAfter(randomFaultDuration(), *check);
}

std::optional<std::size_t> Soak::leader() const
{
    const auto value = m_platform.store().newestValue("keyed.leadership", "planner");
    const auto record = value ? decodeLeadership(*value) : std::nullopt;
    for (std::size_t i = 0; record && i < m_nodes.size(); ++i) {
        if (m_nodes[i]->name() == record->node) {
            return i;
        }
    }
    return std::nullopt;
}

void Soak::setCutOff(std::size_t node, const std::vector<std::size_t> &workers, bool isCutOff)
{
    m_storeProxies[node]->setCut(isCutOff);
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        m_peerProxies[node][other]->setCut(isCutOff);
        m_peerProxies[other][node]->setCut(isCutOff);
    }
    for (std::size_t worker = 0; worker < m_workerProxies.size(); ++worker) {
        const bool isInside = std::find(workers.begin(), workers.end(), worker) != workers.end();
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (isInside != (other == node)) {
                m_workerProxies[worker][other]->setCut(isCutOff);
            }
        }
    }
}

void Soak::noteInjected(const std::string &name)
{
    m_injected.push_back(std::to_string((monotonicNow() - m_startedAt).count()) + " ms " + name);
}

void Soak::playFaults()
{
    const auto begin = monotonicNow();
    for (const auto &[at, fault] : drawFaults()) {
        wait(std::max(Millis(0), begin + at - monotonicNow()));
        inject(fault);
    }
}

std::vector<std::string> Soak::run()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        startNode(i);
    }
    wait(WarmUp);
    QTimer watch;
    QObject::connect(&watch, &QTimer::timeout, &m_context, [this]() {
        restartCrashedProcesses();
    });
    constexpr int WatchMs = 50;
    watch.start(WatchMs);
    m_callers->start();
    m_operator->start();
    if (m_options.restartRounds > 0) {
        playRestartRounds();
    } else {
        playFaults();
    }
    m_callers->stopSubmitting();
    const auto settleTimeout = m_options.settleTimeout + (m_options.restartRounds > 0 ? LongestLease + LateStartWait + LongestTask : Millis(0));
    const bool isSettled = waitFor(
        [this]() {
            return m_activeFaults == 0 && m_callers->isSettled();
        },
        static_cast<int>(settleTimeout.count()));
    if (isSettled) {
        wait(CancelledRunsStopWithin);
        m_operator->checkFinalChange();
    }
    m_checker.finish();
    return m_checker.violations();
}

} // namespace marjoramhaven::test
