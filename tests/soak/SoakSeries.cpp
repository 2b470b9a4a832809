#include <algorithm>
#include <csignal>

#include "Soak.h"

namespace marjoramhaven::test {

namespace {

// Jobs of a round. There are few others, so that the workers that are not cut off have room for all tasks.
constexpr int TicksPerJob = 3;
constexpr std::size_t MinLongJobs = 4;
constexpr std::size_t MaxLongJobs = 8;
constexpr std::size_t MaxTasksOfLongJob = 2;
constexpr int LastingJobs = 2;
constexpr std::size_t MinRoundWorkers = 2;
// Times of a round, in milliseconds.
constexpr std::size_t MinLeadMs = 1500;
constexpr std::size_t MaxLeadMs = 3000;
constexpr Millis KeptBefore {1000};
constexpr std::size_t MaxDarkMs = 600;
constexpr std::size_t MaxLeaderFaultAfterMs = 3000;
constexpr std::size_t MinAgainMs = 300;
constexpr std::size_t MaxAgainMs = 3000;
constexpr std::size_t MinCutAfterMs = 1500;
constexpr std::size_t MaxCutAfterMs = 4000;
constexpr std::size_t MinCutMs = 9000;
constexpr std::size_t MaxCutMs = 12'000;
constexpr std::size_t MaxRestartBehindCutMs = 6000;
constexpr std::size_t MinPauseMs = 500;
constexpr std::size_t MaxPauseMs = 2000;
// How long the leader is paused or cut off.
constexpr std::size_t MinLeaderFaultMs = 2000;
constexpr std::size_t MaxLeaderFaultMs = 6000;
// One round in so many has a second restart soon after the first, a restart behind the cut, or a second change of the leader.
constexpr std::size_t VariantOneIn = 4;
constexpr std::size_t MinKeptPercent = 50;
constexpr std::size_t FullPercent = 100;
// The next incarnation carries out most kept calls before all others, and one in so many this long after it was sent.
constexpr std::size_t LateOneIn = 4;
constexpr std::size_t MinLateMs = 2000;
constexpr std::size_t MaxLateMs = 12'000;
// The calls to the earlier incarnation arrive before those on connections that are opened after the restart.
constexpr Millis ConnectionsFollowAfter {10};

std::string keyOf(std::size_t worker, const HttpRequest &call)
{
    return std::to_string(worker) + call.path + call.body.toStdString();
}

} // namespace

Millis Soak::seriesDuration(std::size_t fromMs, std::size_t toMs)
{
    return Millis(static_cast<std::int64_t>(fromMs + m_seriesRandom() % (toMs - fromMs)));
}

void Soak::keepCalls()
{
    m_platform.isCallKept = [this](std::size_t worker, const HttpRequest &call) {
        const bool isInRound = std::find(m_roundWorkers.begin(), m_roundWorkers.end(), worker) != m_roundWorkers.end();
        if (!isInRound || m_callRandom() % FullPercent >= m_keptPercent) {
            return false;
        }
        const bool isFirst = m_callRandom() % LateOneIn != 0;
        const Millis late(static_cast<std::int64_t>(MinLateMs + m_callRandom() % (MaxLateMs - MinLateMs)));
        const auto dueAt = isFirst ? TimePoint {} : monotonicNow() + late;
        m_keptCalls[keyOf(worker, call)] = {dueAt, m_platform.worker(worker).report().startedUnixMs};
        return true;
    };
    m_platform.isKeptCallDue = [this](std::size_t worker, const HttpRequest &call) {
        return isKeptCallDue(worker, call);
    };
}

bool Soak::isKeptCallDue(std::size_t worker, const HttpRequest &call)
{
    const auto &[dueAt, sentToIncarnation] = m_keptCalls.at(keyOf(worker, call));
    return m_platform.worker(worker).report().startedUnixMs != sentToIncarnation && monotonicNow() >= dueAt;
}

void Soak::crashWorkers()
{
    noteInjected("workers-crashed " + std::to_string(m_roundWorkers.size()));
    m_keptPercent = 0;
    for (const auto worker : m_roundWorkers) {
        m_checker.workerRestarted(m_platform.worker(worker).report().id, monotonicNow());
        m_platform.crashWorker(worker);
        for (const auto &it : m_workerProxies[worker]) {
            it->resetConnections();
        }
    }
}

void Soak::restartCrashedWorkers()
{
    noteInjected("workers-restarted");
    for (const auto worker : m_roundWorkers) {
        m_platform.restartWorker(worker);
    }
    runAfter(ConnectionsFollowAfter, [this, workers = m_roundWorkers]() {
        for (const auto worker : workers) {
            for (const auto &it : m_workerProxies[worker]) {
                it->resetConnections();
            }
        }
    });
}

void Soak::cutOffWorkers(Millis duration)
{
    noteInjected("workers-cut-off for " + std::to_string(duration.count()) + " ms");
    const LinkFault silent {Millis(0), true};
    for (const auto worker : m_roundWorkers) {
        for (const auto &it : m_workerProxies[worker]) {
            it->setFaults(silent, silent);
        }
    }
    runAfter(duration, [this, workers = m_roundWorkers]() {
        for (const auto worker : workers) {
            for (const auto &it : m_workerProxies[worker]) {
                it->clearFaults();
            }
        }
    });
}

void Soak::injectIntoLeader(LeaderFault fault, Millis duration, const std::vector<std::size_t> &workers)
{
    const auto node = leader();
    noteInjected(std::string(nameOf(fault)) + (node ? " " + m_nodes[*node]->name() : std::string()));
    if (!node || !m_nodes[*node]->isRunning() || fault == LeaderFault::None) {
        return;
    }
    if (fault == LeaderFault::Killed || fault == LeaderFault::Terminated) {
        endAndRestartNode(*node, fault == LeaderFault::Killed ? SIGKILL : SIGTERM);
    } else if (fault == LeaderFault::Paused) {
        m_operator->noteDisturbance(*node, monotonicNow() + duration);
        m_nodes[*node]->signal(SIGSTOP);
        runAfter(duration, [this, node]() {
            m_nodes[*node]->signal(SIGCONT);
            m_operator->noteDisturbance(*node, monotonicNow());
        });
    } else if (fault == LeaderFault::CutOffFromStore) {
        m_operator->noteDisturbance(*node, monotonicNow() + duration);
        m_storeProxies[*node]->setFaults({Millis(0), true}, {Millis(0), true});
        runAfter(duration, [this, node]() {
            m_storeProxies[*node]->clearFaults();
            m_operator->noteDisturbance(*node, monotonicNow());
        });
    } else if (!m_isCutOff) {
        cutOff(*node, fault == LeaderFault::CutOff ? std::vector<std::size_t> {} : workers, duration);
    }
}

void Soak::drawRestart(std::vector<std::pair<Millis, std::function<void()>>> &events, Millis at, Millis dark)
{
    const auto keptPercent = MinKeptPercent + m_seriesRandom() % (FullPercent - MinKeptPercent);
    events.emplace_back(std::max(Millis(0), at - KeptBefore), [this, keptPercent]() {
        m_keptPercent = keptPercent;
    });
    events.emplace_back(at, [this]() {
        crashWorkers();
    });
    events.emplace_back(at + dark, [this]() {
        restartCrashedWorkers();
    });
}

std::vector<std::pair<Millis, std::function<void()>>> Soak::drawRestartRound()
{
    const auto &leaderFaults = EnumTable<LeaderFault>::Rows;
    const auto isVariant = [this]() {
        return m_seriesRandom() % VariantOneIn == 0;
    };
    std::vector<std::pair<Millis, std::function<void()>>> out;
    const auto addLeaderFault = [&](Millis at) {
        const auto fault = leaderFaults[m_seriesRandom() % std::size(leaderFaults)].value;
        const auto duration = seriesDuration(MinLeaderFaultMs, MaxLeaderFaultMs);
        out.emplace_back(at, [this, fault, duration, workers = halfOfTheWorkers(m_seriesRandom)]() {
            injectIntoLeader(fault, duration, workers);
        });
    };
    const auto addLongJobs = [&](Millis at) {
        std::vector<int> counts(MinLongJobs + m_seriesRandom() % (MaxLongJobs - MinLongJobs));
        for (auto &it : counts) {
            it = 1 + static_cast<int>(m_seriesRandom() % MaxTasksOfLongJob);
        }
        out.emplace_back(at, [this, counts]() {
            for (const auto it : counts) {
                m_callers->submitLongJob(it);
            }
        });
    };
    addLongJobs(Millis(0));
    const auto crashAt = seriesDuration(MinLeadMs, MaxLeadMs);
    const auto dark = seriesDuration(0, MaxDarkMs);
    const auto backAt = crashAt + dark;
    drawRestart(out, crashAt, dark);
    addLongJobs(backAt);
    if (m_options.hasRepeatedRestarts && isVariant()) {
        const auto againAt = backAt + seriesDuration(MinAgainMs, MaxAgainMs);
        drawRestart(out, againAt, seriesDuration(0, MinAgainMs));
    }
    // Rather soon, since a lease that the successor doesn't know of is over soon.
    const auto leaderFaultAt = backAt + std::min(seriesDuration(0, MaxLeaderFaultAfterMs), seriesDuration(0, MaxLeaderFaultAfterMs));
    addLeaderFault(leaderFaultAt);
    if (isVariant()) {
        addLeaderFault(leaderFaultAt + seriesDuration(MinAgainMs, MaxAgainMs));
    }
    const auto cutAt = backAt + seriesDuration(MinCutAfterMs, MaxCutAfterMs);
    const auto cutDuration = seriesDuration(MinCutMs, MaxCutMs);
    if (m_options.hasRepeatedRestarts && isVariant()) {
        drawRestart(out, cutAt + seriesDuration(MinAgainMs, MaxRestartBehindCutMs), dark);
    }
    out.emplace_back(cutAt, [this, cutDuration]() {
        cutOffWorkers(cutDuration);
    });
    std::stable_sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    out.emplace_back(cutAt + cutDuration + seriesDuration(MinPauseMs, MaxPauseMs), []() {});
    return out;
}

void Soak::playRestartRounds()
{
    keepCalls();
    m_callers->setTicksPerJob(TicksPerJob);
    for (int i = 0; i < m_options.restartRounds; ++i) {
        const auto begin = monotonicNow();
        do {
            m_roundWorkers = halfOfTheWorkers(m_seriesRandom);
        } while (m_roundWorkers.size() < MinRoundWorkers);
        for (int job = 0; job < LastingJobs; ++job) {
            m_callers->submitLastingJob();
        }
        for (const auto &[at, event] : drawRestartRound()) {
            wait(std::max(Millis(0), begin + at - monotonicNow()));
            event();
        }
    }
    m_callers->cancelLastingJobs();
}

} // namespace marjoramhaven::test
