#include "ZoneSimulationParts.h"

#include <algorithm>

namespace marjoramhaven::test {

namespace {
constexpr Millis TickEvery {20};
constexpr Millis VmListDelay {3000};

const Resources &workerCapacity()
{
    static const Resources capacity(16'000, 32'768, 0, 8, 64);
    return capacity;
}
} // namespace

ZoneSimulation::ZoneSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_isWorkerLost(Workers, false)
    , m_isWorkerListed(Workers, true)
{
    for (int i = 0; i < Workers; ++i) {
        m_workers.push_back(std::make_unique<WorkerModel>("w" + std::to_string(i), workerCapacity()));
        m_history.capacities.push_back({"w" + std::to_string(i), workerCapacity()});
        m_workers.back()->setObserver([this, i](const WorkerEvent &event) {
            const auto at = event.at - ClockOffsetPerWorker * (i + 1);
            if (event.kind == WorkerEvent::Kind::Started) {
                m_openRuns[event.attempt] = m_history.runs.size();
                m_history.runs.push_back({event.attempt.task, event.worker, event.reservation, at, -1});
            } else {
                m_history.runs[m_openRuns.at(event.attempt)].endedAt = at;
                postDelayed(Millis(0), [this]() {
                    reportStep(Step::Finish, leader());
                });
            }
        });
    }
    m_log.append({toJson(ConfigurationPatch {"teams", 0, "test", {{QLatin1String("teams"), QJsonObject {{QLatin1String("signal"), QJsonObject {}}}}}})});
    for (int i = 0; i < Members; ++i) {
        m_members.push_back(std::make_unique<Member>());
        startMember(i);
    }
    for (int i = 0; i < Members; ++i) {
        for (int j = 0; j < Members; ++j) {
            if (i != j) {
                m_members[i]->leadership->memberUp(memberName(j), m_now);
            }
        }
    }
}

ZoneSimulation::~ZoneSimulation() = default;

void ZoneSimulation::postDelayed(Millis delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_order, std::move(run)});
}

void ZoneSimulation::onMember(int member, int incarnation, std::function<void()> run)
{
    auto &it = *m_members[member];
    if (!it.isAlive || it.incarnation != incarnation) {
        return;
    }
    if (it.isPaused) {
        it.deferred.push_back(std::move(run));
    } else {
        run();
    }
}

void ZoneSimulation::startMember(int member)
{
    auto &it = *m_members[member];
    const int incarnation = it.incarnation + 1;
    // Calls in flight still refer to the clients of the incarnation that sent them, so those are kept.
    m_formerLogClients.push_back(std::move(it.log));
    m_formerDirectories.push_back(std::move(it.directory));
    it = Member();
    it.incarnation = incarnation;
    it.isAlive = true;
    it.log = std::make_unique<LogClient>(*this, member);
    it.directory = std::make_unique<Directory>(*this, member);
    it.replicatedState = std::make_unique<ReplicatedState>();
    it.appender = std::make_unique<LogAppender>(*it.log);
    it.refresher = std::make_unique<LogRefresher>(Millis(2000), m_now);
    it.leadership = std::make_unique<LeaderElection>(memberName(member), m_random(), m_now);
    it.replicatedState->setListener([this, member](const LogRecord &record) {
        auto &self = *m_members[member];
        if (self.leader) {
            self.leader->onRecord(record, m_now);
        }
    });
    postDelayed(Millis(static_cast<std::int64_t>(m_random() % 20)), [this, member, incarnation]() {
        onMember(member, incarnation, [this, member]() {
            tickMember(member);
        });
    });
}

void ZoneSimulation::tickMember(int member)
{
    auto &it = *m_members[member];
    postDelayed(TickEvery, [this, member, incarnation = it.incarnation]() {
        onMember(member, incarnation, [this, member]() {
            tickMember(member);
        });
    });
    if (it.isFenced || (it.leader && it.leader->hasNoReachableWorker(m_now))) {
        it.isFenced = false;
        it.leadership->stepDown(m_now);
    }
    it.leadership->tick(m_now);
    if (it.leader && !it.leadership->isLeading()) {
        it.leader->rejectHeldRequests();
        it.leader.reset();
    } else if (!it.leader && it.leadership->isLeading()) {
        it.leader = std::make_unique<ZoneLeader>(ZoneLeaderOptions {memberName(member), "north", {Millis(2000), Millis(400)}},
                                                 it.leadership->epoch(),
                                                 *it.directory,
                                                 *it.replicatedState,
                                                 *it.appender,
                                                 m_now);
        it.leader->setFencedHandler([&it](TimePoint) {
            it.isFenced = true;
        });
        it.nextList = m_now;
        it.nextHeartbeat = m_now;
        reportStep(Step::Takeover, member);
    }
    if (!it.isAlive || it.isPaused) {
        return;
    }
    if (it.leader) {
        it.leader->tick(m_now);
        if (it.refresher->isDue(m_now)) {
            reportStep(Step::Snapshot, member);
            it.refresher->refresh(*it.replicatedState, "north", *it.appender, m_now);
        }
    }
    it.appender->tick(m_now);
    if (!it.isReading) {
        it.isReading = true;
        it.log->read(it.replicatedState->nextOffset(), Millis(200), [this, member](const std::optional<LogBatch> &batch, TimePoint) {
            auto &self = *m_members[member];
            self.isReading = false;
            if (batch) {
                const bool wasCaughtUp = self.replicatedState->isCaughtUp();
                self.replicatedState->apply(*batch);
                if (self.leader && !wasCaughtUp && self.replicatedState->isCaughtUp()) {
                    self.leader->onLogCaughtUp(m_now);
                }
            }
        });
    }
    if (m_now >= it.nextHeartbeat) {
        it.nextHeartbeat = m_now + LeaderElection::HeartbeatInterval;
        sendHeartbeats(member);
        recordVersions();
    }
    if (m_now >= it.nextList) {
        it.nextList = m_now + Millis(500);
        listVms(member);
    }
}

void ZoneSimulation::sendHeartbeats(int member)
{
    const auto &self = *m_members[member];
    const auto heartbeat = self.leadership->heartbeat(m_now);
    for (int peer = 0; peer < Members; ++peer) {
        if (peer == member || self.isCutFromPeers || m_members[peer]->isCutFromPeers || !m_members[peer]->isAlive) {
            continue;
        }
        const auto echo = self.echoes.contains(peer) ? self.echoes.at(peer) : 0;
        postDelayed(Latency, [this, peer, member, heartbeat, echo, sentAt = millisOf(m_now), incarnation = m_members[peer]->incarnation]() {
            onMember(peer, incarnation, [this, peer, member, heartbeat, echo, sentAt]() {
                auto &it = *m_members[peer];
                it.echoes[member] = sentAt;
                it.leadership->onHeartbeat(heartbeat, m_now);
                const bool follows = !heartbeat.isLeading && heartbeat.followedLeader == memberName(peer) && heartbeat.epoch == it.leadership->epoch();
                if (it.leader && it.leadership->isLeading() && follows && echo > 0) {
                    it.leader->confirmFollower(memberName(member), atMillis(echo));
                }
            });
        });
    }
}

void ZoneSimulation::listVms(int member)
{
    auto &self = *m_members[member];
    if (!self.leader || self.isCutFromLog) {
        return;
    }
    std::vector<Vm> vms;
    for (int i = 0; i < Workers; ++i) {
        if (m_isWorkerListed[i]) {
            vms.push_back({"w" + std::to_string(i), VmRole::Worker, "north", "r" + std::to_string(i / 3), std::to_string(i), false, workerCapacity()});
        }
    }
    for (int i = 0; i < Members; ++i) {
        vms.push_back({memberName(i), VmRole::Entry, "north", "", "", false, {}});
    }
    self.leader->setVms(vms, m_now);
}

void ZoneSimulation::run(Millis time)
{
    const auto until = m_now + time;
    while (!m_events.empty() && m_events.top().at <= until) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.run();
    }
    m_now = until;
}

bool ZoneSimulation::runUntil(const std::function<bool()> &condition, Millis within)
{
    const auto until = m_now + within;
    while (!condition()) {
        if (m_now >= until) {
            return false;
        }
        run(Millis(10));
    }
    return true;
}

void ZoneSimulation::reportStep(Step step, int member)
{
    if (onStep) {
        onStep(step, member);
    }
}

bool ZoneSimulation::canReach(int member, int worker) const
{
    return !m_members[member]->isCutFromWorkers && !m_unreachableWorkers.contains(worker) && !m_isWorkerLost[worker];
}

void ZoneSimulation::recordVersions()
{
    for (int i = 0; i < Members; ++i) {
        if (isAlive(i)) {
            const auto version = m_members[i]->replicatedState->configuration().current();
            const auto process = memberName(i) + "#" + std::to_string(m_members[i]->incarnation);
            m_history.versions.push_back({process, millisOf(m_now), version.number, std::to_string(version.hash)});
        }
    }
}

// Faults.

void ZoneSimulation::kill(int member)
{
    auto &it = *m_members[member];
    it.isAlive = false;
    it.leader.reset();
    for (int peer = 0; peer < Members; ++peer) {
        auto &other = *m_members[peer];
        if (peer != member && other.isAlive && !other.isCutFromPeers && !it.isCutFromPeers) {
            onMember(peer, other.incarnation, [this, peer, member]() {
                m_members[peer]->leadership->memberDown(memberName(member), m_now);
            });
        }
    }
    // Callers of the dead process get no answer.
    for (auto &call : m_history.calls) {
        if (call.answeredAt == 0 && call.answerId == memberName(member)) {
            call.answerId.clear();
            call.answeredAt = millisOf(m_now);
            ++m_answered;
        }
    }
}

void ZoneSimulation::restart(int member)
{
    if (m_members[member]->isAlive) {
        return;
    }
    startMember(member);
    for (int peer = 0; peer < Members; ++peer) {
        if (peer != member && m_members[peer]->isAlive) {
            m_members[peer]->leadership->memberUp(memberName(member), m_now);
            m_members[member]->leadership->memberUp(memberName(peer), m_now);
        }
    }
}

void ZoneSimulation::pause(int member, bool paused)
{
    auto &it = *m_members[member];
    it.isPaused = paused;
    if (!paused && it.isAlive) {
        auto deferred = std::exchange(it.deferred, {});
        for (const auto &run : deferred) {
            onMember(member, it.incarnation, run);
        }
    }
}

void ZoneSimulation::setCutFromPeers(int member, bool cut)
{
    m_members[member]->isCutFromPeers = cut;
}

void ZoneSimulation::setCutFromWorkers(int member, bool cut)
{
    m_members[member]->isCutFromWorkers = cut;
}

void ZoneSimulation::setCutFromLog(int member, bool cut)
{
    m_members[member]->isCutFromLog = cut;
}

void ZoneSimulation::setWorkerCutFromAll(int worker, bool cut)
{
    if (cut) {
        m_unreachableWorkers.insert(worker);
    } else {
        m_unreachableWorkers.erase(worker);
    }
}

void ZoneSimulation::loseWorker(int worker)
{
    m_isWorkerLost[worker] = true;
    m_workers[worker]->reset(millisOf(m_now) + ClockOffsetPerWorker * (worker + 1));
    postDelayed(VmListDelay, [this, worker]() {
        m_isWorkerListed[worker] = false;
    });
}

void ZoneSimulation::setFailsAll(int worker, bool fails)
{
    m_workers[worker]->setFailsAll(fails);
}

void ZoneSimulation::stopGracefully(int member)
{
    reportStep(Step::Stop, member);
    auto &it = *m_members[member];
    if (it.isAlive) {
        it.isStopping = true;
        it.leadership->leaveElection();
        exitWhenIdle(member, it.incarnation);
    }
}

void ZoneSimulation::exitWhenIdle(int member, int incarnation)
{
    postDelayed(Millis(50), [this, member, incarnation]() {
        onMember(member, incarnation, [this, member, incarnation]() {
            const bool busy = std::any_of(m_history.calls.begin(), m_history.calls.end(), [member](const ObservedCall &it) {
                return it.answeredAt == 0 && it.answerId == memberName(member);
            });
            if (busy || m_members[member]->appender->pending() > 0) {
                exitWhenIdle(member, incarnation);
            } else {
                kill(member);
            }
        });
    });
}

void ZoneSimulation::heal()
{
    m_logDown = m_logSlow = m_areLogResponsesLost = m_areStartResponsesLost = false;
    m_unreachableWorkers.clear();
    for (int i = 0; i < Workers; ++i) {
        m_workers[i]->setFailsAll(false);
    }
    for (int i = 0; i < Members; ++i) {
        m_members[i]->isCutFromPeers = m_members[i]->isCutFromWorkers = m_members[i]->isCutFromLog = false;
        pause(i, false);
        restart(i);
    }
}

int ZoneSimulation::leader() const
{
    for (int i = 0; i < Members; ++i) {
        const auto &it = *m_members[i];
        if (it.isAlive && !it.isPaused && it.leader && it.leader->isRecovered()) {
            return i;
        }
    }
    return -1;
}

bool ZoneSimulation::acceptsCalls(int member) const
{
    return m_members[member]->isAlive && !m_members[member]->isStopping;
}

bool ZoneSimulation::isAlive(int member) const
{
    return m_members[member]->isAlive;
}

ReplicatedState &ZoneSimulation::replicatedState(int member)
{
    return *m_members[member]->replicatedState;
}

ZoneLeader *ZoneSimulation::zoneLeader(int member)
{
    return m_members[member]->leader.get();
}

std::vector<Violation> ZoneSimulation::check() const
{
    auto seen = m_history;
    for (auto &it : seen.calls) {
        if (it.answeredAt == 0) {
            it.answerId.clear();
        }
    }
    return checkHistory(seen, CheckerBounds());
}

int ZoneSimulation::answeredAs(ObservedAnswer answer) const
{
    return static_cast<int>(std::count_if(m_history.calls.begin(), m_history.calls.end(), [answer](const ObservedCall &it) {
        return it.answeredAt > 0 && it.answer == answer;
    }));
}

bool ZoneSimulation::jobsFinished() const
{
    for (const auto &it : m_members) {
        if (it->isAlive && it->replicatedState->isCaughtUp()) {
            bool finished = true;
            it->replicatedState->jobs().forEach([&](const JobEntry &job) {
                finished = finished && job.isFinished();
            });
            return finished;
        }
    }
    return false;
}

} // namespace marjoramhaven::test
