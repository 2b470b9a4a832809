#include <algorithm>
#include <csignal>

#include "Soak.h"

namespace marjoramhaven::test {

namespace {

constexpr std::size_t MinFaultMs = 100;
constexpr std::size_t MaxFaultMs = 3500;
constexpr std::size_t MaxFaultGapMs = 1200;
constexpr Millis StoreDelay {250};
constexpr Millis WorkerDelay {120};
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

} // namespace

Millis Soak::randomFaultDuration()
{
    return Millis(static_cast<std::int64_t>(MinFaultMs + randomBelow(MaxFaultMs - MinFaultMs)));
}

Millis Soak::laterDuration(std::size_t fromMs, std::size_t toMs)
{
    return Millis(static_cast<std::int64_t>(fromMs + m_laterRandom() % (toMs - fromMs)));
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
    const auto workers = halfOfTheWorkers(m_laterRandom);
    cutOff(*node, workers, laterDuration(MinCutMs, MaxCutMs));
}

std::vector<std::size_t> Soak::halfOfTheWorkers(std::mt19937_64 &random) const
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < m_workerProxies.size(); ++i) {
        if (random() % 2 == 0) {
            out.push_back(i);
        }
    }
    return out;
}

void Soak::cutOff(std::size_t node, const std::vector<std::size_t> &workers, Millis duration)
{
    m_isCutOff = true;
    setCutOff(node, workers, true);
    // The process is disturbed for as long as the cut lasts.
    m_operator->noteDisturbance(node, monotonicNow() + duration);
    runAfter(duration, [this, node, workers]() {
        m_isCutOff = false;
        setCutOff(node, workers, false);
        m_operator->noteDisturbance(node, monotonicNow());
    });
}

void Soak::inject(SoakFault fault)
{
    noteInjected(std::string(nameOf(fault)));
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

} // namespace marjoramhaven::test
