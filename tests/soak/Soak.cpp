#include "Soak.h"

#include <QFile>
#include <algorithm>
#include <csignal>

#include "marjoramhaven/fleet/PlannerElection.h"
#include "support/Events.h"

namespace marjoramhaven::test {

namespace {

constexpr std::size_t MinFaultMs = 100;
constexpr std::size_t MaxFaultMs = 3500;
constexpr std::size_t MaxFaultGapMs = 1200;
constexpr Millis StoreDelay {250};
// Records in a page of the platform's store.
constexpr std::size_t StorePageSize = 500;
constexpr Millis WorkerDelay {120};
constexpr Millis WarmUp {1500};
// Runs of cancelled jobs must have ended this long after all other jobs have completed.
constexpr Millis CancelledRunsStopWithin {4000};
constexpr std::size_t TaskTimeSpreadMs = 500;
// One fault in this many is the first of a series.
constexpr std::size_t SeriesOneIn = 4;
constexpr std::size_t MaxSeriesLength = 8;
constexpr std::size_t MaxSeriesGapMs = 400;
constexpr Millis ChangeInterval {330};
// A cut has to outlast the takeover, and some cuts the leases too.
constexpr std::size_t MinCutMs = 1500;
constexpr std::size_t MaxCutMs = 10'000;
constexpr std::size_t MinRefusalMs = 1000;
constexpr std::size_t MaxRefusalMs = 4000;
constexpr std::size_t MaxLaterFaultGapMs = 8000;
constexpr Millis GangTaskTime {60'000};

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_laterRandom(options.seed + 3)
    , m_platform(options.workers)
    , m_checker(m_platform)
{
    // Runs a copy of the program: a build that replaces the program during the soak would make starts fail, which looks like a crash.
    QFile::copy(QLatin1String(MARJORAMHAVEN_BINARY), m_folder.filePath(QLatin1String("marjoramhaven")));
    m_platform.store().newestPageSize = StorePageSize;
    m_platform.onRunEvent = [this](const RunEvent &event) {
        m_checker.handleRunEvent(event);
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

Millis Soak::randomFaultDuration()
{
    return Millis(static_cast<std::int64_t>(MinFaultMs + randomBelow(MaxFaultMs - MinFaultMs)));
}

Millis Soak::laterDuration(std::size_t fromMs, std::size_t toMs)
{
    return Millis(static_cast<std::int64_t>(fromMs + m_laterRandom() % (toMs - fromMs)));
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

void Soak::injectIntoNode(SoakFault fault)
{
    const auto node = randomBelow(m_nodes.size());
    auto &it = *m_nodes[node];
    if (!it.isRunning()) {
        return;
    }
    if (fault == SoakFault::NodeKilled) {
        endAndRestartNode(node, SIGKILL);
    } else if (fault == SoakFault::NodeTerminated) {
        endAndRestartNode(node, SIGTERM);
    } else if (fault == SoakFault::NodeReloaded) {
        it.signal(SIGHUP);
    } else if (fault == SoakFault::NodePaused) {
        it.signal(SIGSTOP);
        runAfter(disturb(node), [&it]() {
            it.signal(SIGCONT);
        });
    } else {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i]->isRunning()) {
                endAndRestartNode(i, SIGKILL);
            }
        }
    }
}

void Soak::injectIntoStore(SoakFault fault)
{
    if (fault == SoakFault::StoreDown) {
        m_platform.store().setDown(true);
        m_operator->noteDisturbance(monotonicNow());
        runAfter(randomFaultDuration(), [this]() {
            m_platform.store().setDown(false);
            m_operator->noteDisturbance(monotonicNow());
        });
        return;
    }
    if (fault == SoakFault::StoreSlow) {
        for (const auto &it : m_storeProxies) {
            it->setFaults({StoreDelay, false}, {StoreDelay, false});
        }
        m_operator->noteDisturbance(monotonicNow());
        runAfter(randomFaultDuration(), [this]() {
            m_operator->noteDisturbance(monotonicNow());
            for (const auto &it : m_storeProxies) {
                it->clearFaults();
            }
        });
        return;
    }
    const auto node = randomBelow(m_storeProxies.size());
    auto &proxy = *m_storeProxies[node];
    if (fault == SoakFault::StoreReset) {
        proxy.resetConnections();
        m_operator->noteDisturbance(node, monotonicNow());
        return;
    }
    if (fault == SoakFault::StoreLinkSlow) {
        proxy.setBandwidthToCaller(SlowBandwidth);
        runAfter(disturb(node), [&proxy, node]() {
            proxy.setBandwidthToCaller(linkBandwidth(node));
        });
        return;
    }
    proxy.setFaults({Millis(0), fault == SoakFault::StoreSilentToNode}, {Millis(0), true});
    runAfter(disturb(node), [&proxy]() {
        proxy.clearFaults();
    });
}

void Soak::injectIntoWorker(SoakFault fault)
{
    const auto number = randomBelow(m_workerProxies.size());
    auto &proxies = m_workerProxies[number];
    const auto resetConnections = [&proxies]() {
        for (const auto &it : proxies) {
            it->resetConnections();
        }
    };
    if (fault == SoakFault::WorkerReset) {
        resetConnections();
        return;
    }
    if (fault == SoakFault::WorkerRestarted) {
        m_checker.workerRestarted(m_platform.worker(number).report().id, monotonicNow());
        m_platform.restartWorker(number);
        resetConnections();
        return;
    }
    const bool isSlow = fault == SoakFault::WorkerSlow;
    const LinkFault slow {isSlow ? WorkerDelay : Millis(0), false};
    const LinkFault silent {Millis(0), true};
    for (const auto &it : proxies) {
        it->setFaults(fault == SoakFault::WorkerSilent ? silent : slow, isSlow ? slow : silent);
    }
    runAfter(randomFaultDuration(), [&proxies]() {
        for (const auto &it : proxies) {
            it->clearFaults();
        }
    });
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

// Stops are refused for a while, in which the leader often changes, so that they are owed across a takeover.
void Soak::refuseStops()
{
    ++m_stopRefusals;
    m_platform.setRefusingStops(true);
    const auto duration = laterDuration(MinRefusalMs, MaxRefusalMs);
    runAfter(duration, [this]() {
        --m_stopRefusals;
        m_platform.setRefusingStops(m_stopRefusals > 0);
    });
    const auto pause = laterDuration(0, static_cast<std::size_t>(duration.count()));
    if (m_laterRandom() % 2 == 0) {
        runAfter(pause, [this]() {
            const auto node = leader();
            if (node && m_nodes[*node]->isRunning()) {
                endAndRestartNode(*node, SIGTERM);
            }
        });
    }
}

void Soak::cutOffLeader()
{
    const auto node = leader();
    if (!node || m_isCutOff) {
        return;
    }
    std::vector<std::size_t> workers;
    for (std::size_t i = 0; i < m_workerProxies.size(); ++i) {
        if (m_laterRandom() % 2 == 0) {
            workers.push_back(i);
        }
    }
    m_isCutOff = true;
    setCutOff(*node, workers, true);
    const auto duration = laterDuration(MinCutMs, MaxCutMs);
    // The process is disturbed for as long as the cut lasts.
    m_operator->noteDisturbance(*node, monotonicNow() + duration);
    runAfter(duration, [this, node, workers]() {
        m_isCutOff = false;
        setCutOff(*node, workers, false);
        m_operator->noteDisturbance(*node, monotonicNow());
    });
}

void Soak::inject(SoakFault fault)
{
    m_injected.push_back(std::to_string((monotonicNow() - m_startedAt).count()) + " ms " + std::string(nameOf(fault)));
    switch (fault) {
    case SoakFault::NodeKilled:
    case SoakFault::NodeTerminated:
    case SoakFault::NodePaused:
    case SoakFault::NodeReloaded:
    case SoakFault::AllNodesKilled:
        injectIntoNode(fault);
        return;
    case SoakFault::StoreDown:
    case SoakFault::StoreSlow:
    case SoakFault::StoreSilentToNode:
    case SoakFault::StoreAnswersLost:
    case SoakFault::StoreReset:
    case SoakFault::StoreLinkSlow:
        injectIntoStore(fault);
        return;
    case SoakFault::WorkerSilent:
    case SoakFault::WorkerAnswersLost:
    case SoakFault::WorkerSlow:
    case SoakFault::WorkerReset:
    case SoakFault::WorkerRestarted:
        injectIntoWorker(fault);
        return;
    case SoakFault::AdvisorSilent:
        m_advisorProxy->setFaults({Millis(0), true}, {Millis(0), true});
        runAfter(randomFaultDuration(), [this]() {
            m_advisorProxy->clearFaults();
        });
        return;
    case SoakFault::ConfigurationChanged:
    case SoakFault::LargeConfigurationChanged:
        m_operator->changeConfiguration(fault == SoakFault::LargeConfigurationChanged);
        return;
    case SoakFault::LeaderCutOff:
        cutOffLeader();
        return;
    case SoakFault::StopsRefused:
        refuseStops();
        return;
    }
}

void Soak::drawLaterFaults(std::vector<std::pair<Millis, SoakFault>> &faults)
{
    for (auto at = laterDuration(0, MaxLaterFaultGapMs); at < m_options.faultPeriod; at += laterDuration(0, MaxLaterFaultGapMs)) {
        faults.emplace_back(at, m_laterRandom() % 2 == 0 ? SoakFault::LeaderCutOff : SoakFault::StopsRefused);
    }
}

std::vector<std::pair<Millis, SoakFault>> Soak::drawFaults()
{
    const auto &rows = EnumTable<SoakFault>::Rows;
    const auto randomPause = [this](std::size_t bound) {
        return Millis(static_cast<std::int64_t>(randomBelow(bound)));
    };
    std::vector<std::pair<Millis, SoakFault>> out;
    if (m_options.hasFrequentChanges) {
        for (Millis at {0}; at < m_options.faultPeriod; at += ChangeInterval) {
            out.emplace_back(at, SoakFault::LargeConfigurationChanged);
        }
    }
    for (auto at = randomPause(MaxFaultGapMs); at < m_options.faultPeriod; at += randomPause(MaxFaultGapMs)) {
        const auto fault = rows[randomBelow(static_cast<std::size_t>(SoakFault::LeaderCutOff))].value;
        const auto count = randomBelow(SeriesOneIn) == 0 ? 2 + randomBelow(MaxSeriesLength - 1) : 1;
        auto next = at;
        for (std::size_t i = 0; i < count; ++i) {
            out.emplace_back(next, fault);
            next += randomPause(MaxSeriesGapMs);
        }
    }
    drawLaterFaults(out);
    std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    return out;
}

std::vector<std::string> Soak::run()
{
    m_startedAt = monotonicNow();
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
    const auto begin = monotonicNow();
    for (const auto &[at, fault] : drawFaults()) {
        wait(std::max(Millis(0), begin + at - monotonicNow()));
        inject(fault);
    }
    m_callers->stopSubmitting();
    const bool isSettled = waitFor(
        [this]() {
            return m_activeFaults == 0 && m_callers->isSettled();
        },
        static_cast<int>(m_options.settleTimeout.count()));
    if (isSettled) {
        wait(CancelledRunsStopWithin);
        m_operator->checkFinalChange();
    }
    m_checker.finish();
    return m_checker.violations();
}

} // namespace marjoramhaven::test
