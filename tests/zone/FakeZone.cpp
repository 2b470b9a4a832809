#include "FakeZoneParts.h"

#include <algorithm>

namespace marjoramhaven::test {

namespace {
constexpr Millis TickEvery {20};
constexpr Millis ListLag {3000};

const Resources &workerCapacity()
{
    static const Resources capacity(16'000, 32'768, 0, 8, 64);
    return capacity;
}
} // namespace

FakeZone::FakeZone(std::uint64_t seed)
    : m_random(seed)
    , m_workerGone(Workers, false)
    , m_workerListed(Workers, true)
{
    for (int i = 0; i < Workers; ++i) {
        m_workers.push_back(std::make_unique<WorkerModel>("w" + std::to_string(i), workerCapacity()));
        m_history.capacities.push_back({"w" + std::to_string(i), workerCapacity()});
        m_workers.back()->setObserver([this, i](const WorkerEvent &event) {
            const auto at = event.at - ClockStep * (i + 1);
            if (event.kind == WorkerEvent::Kind::Started) {
                m_openRuns[event.attempt] = m_history.runs.size();
                m_history.runs.push_back({event.attempt.task, event.worker, event.reservation, at, -1});
            } else {
                m_history.runs[m_openRuns.at(event.attempt)].endedAt = at;
                after(Millis(0), [this]() {
                    step(Step::Finish, leader());
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

FakeZone::~FakeZone() = default;

void FakeZone::after(Millis delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_order, std::move(run)});
}

void FakeZone::onMember(int member, int incarnation, std::function<void()> run)
{
    auto &it = *m_members[member];
    if (!it.alive || it.incarnation != incarnation) {
        return;
    }
    if (it.paused) {
        it.deferred.push_back(std::move(run));
    } else {
        run();
    }
}

void FakeZone::startMember(int member)
{
    auto &it = *m_members[member];
    const int incarnation = it.incarnation + 1;
    // Calls still on their way end at the links of the process that made them.
    m_oldLogs.push_back(std::move(it.log));
    m_oldDirectories.push_back(std::move(it.directory));
    it = Member();
    it.incarnation = incarnation;
    it.alive = true;
    it.log = std::make_unique<Log>(*this, member);
    it.directory = std::make_unique<Directory>(*this, member);
    it.fold = std::make_unique<LogFold>();
    it.appender = std::make_unique<LogAppender>(*it.log);
    it.refresher = std::make_unique<LogRefresher>(Millis(2000), m_now);
    it.leadership = std::make_unique<Leadership>(memberName(member), m_random(), m_now);
    it.fold->setListener([this, member](const LogRecord &record) {
        auto &self = *m_members[member];
        if (self.leader) {
            self.leader->onRecord(record, m_now);
        }
    });
    after(Millis(static_cast<std::int64_t>(m_random() % 20)), [this, member, incarnation]() {
        onMember(member, incarnation, [this, member]() {
            tickMember(member);
        });
    });
}

void FakeZone::tickMember(int member)
{
    auto &it = *m_members[member];
    after(TickEvery, [this, member, incarnation = it.incarnation]() {
        onMember(member, incarnation, [this, member]() {
            tickMember(member);
        });
    });
    if (it.fenced || (it.leader && it.leader->isCutOff(m_now))) {
        it.fenced = false;
        it.leadership->stepDown(m_now);
    }
    it.leadership->tick(m_now);
    if (it.leader && !it.leadership->isLeading()) {
        it.leader->abandonHeld();
        it.leader.reset();
    } else if (!it.leader && it.leadership->isLeading()) {
        it.leader = std::make_unique<ZoneLeader>(
            ZoneLeaderOptions {memberName(member), "north", {Millis(2000), Millis(400)}}, it.leadership->epoch(), *it.directory, *it.fold, *it.appender, m_now);
        it.leader->setFencedHandler([&it](TimePoint) {
            it.fenced = true;
        });
        it.nextList = m_now;
        it.nextBeat = m_now;
        step(Step::Takeover, member);
    }
    if (!it.alive || it.paused) {
        return;
    }
    if (it.leader) {
        it.leader->tick(m_now);
        if (it.refresher->isDue(m_now)) {
            step(Step::Snapshot, member);
            it.refresher->refresh(*it.fold, "north", *it.appender, m_now);
        }
    }
    it.appender->tick(m_now);
    if (!it.reading) {
        it.reading = true;
        it.log->read(it.fold->nextOffset(), Millis(200), [this, member](const std::optional<LogBatch> &batch, TimePoint) {
            auto &self = *m_members[member];
            self.reading = false;
            if (batch) {
                const bool wasCaughtUp = self.fold->isCaughtUp();
                self.fold->apply(*batch);
                if (self.leader && !wasCaughtUp && self.fold->isCaughtUp()) {
                    self.leader->onCaughtUp(m_now);
                }
            }
        });
    }
    if (m_now >= it.nextBeat) {
        it.nextBeat = m_now + Leadership::BeatEvery;
        sendBeats(member);
        watchVersions();
    }
    if (m_now >= it.nextList) {
        it.nextList = m_now + Millis(500);
        listVms(member);
    }
}

void FakeZone::sendBeats(int member)
{
    const auto &self = *m_members[member];
    const auto beat = self.leadership->beat(m_now);
    for (int peer = 0; peer < Members; ++peer) {
        if (peer == member || self.peersCut || m_members[peer]->peersCut || !m_members[peer]->alive) {
            continue;
        }
        const auto echo = self.echoes.contains(peer) ? self.echoes.at(peer) : 0;
        after(Latency, [this, peer, member, beat, echo, sentAt = millisOf(m_now), incarnation = m_members[peer]->incarnation]() {
            onMember(peer, incarnation, [this, peer, member, beat, echo, sentAt]() {
                auto &it = *m_members[peer];
                it.echoes[member] = sentAt;
                it.leadership->onBeat(beat, m_now);
                const bool follows = !beat.leading && beat.follows == memberName(peer) && beat.epoch == it.leadership->epoch();
                if (it.leader && it.leadership->isLeading() && follows && echo > 0) {
                    it.leader->confirmFollower(memberName(member), atMillis(echo));
                }
            });
        });
    }
}

void FakeZone::listVms(int member)
{
    auto &self = *m_members[member];
    if (!self.leader || self.logCut) {
        return;
    }
    std::vector<Vm> vms;
    for (int i = 0; i < Workers; ++i) {
        if (m_workerListed[i]) {
            vms.push_back({"w" + std::to_string(i), VmRole::Worker, "north", "r" + std::to_string(i / 3), std::to_string(i), false, workerCapacity()});
        }
    }
    for (int i = 0; i < Members; ++i) {
        vms.push_back({memberName(i), VmRole::Entry, "north", "", "", false, {}});
    }
    self.leader->setFleet(vms, m_now);
}

void FakeZone::run(Millis time)
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

bool FakeZone::runUntil(const std::function<bool()> &condition, Millis within)
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

void FakeZone::step(Step step, int member)
{
    if (onStep) {
        onStep(step, member);
    }
}

bool FakeZone::reaches(int member, int worker) const
{
    return !m_members[member]->workersCut && !m_workersCut.contains(worker) && !m_workerGone[worker];
}

void FakeZone::watchVersions()
{
    for (int i = 0; i < Members; ++i) {
        if (isAlive(i)) {
            const auto version = m_members[i]->fold->configuration().current();
            const auto process = memberName(i) + "#" + std::to_string(m_members[i]->incarnation);
            m_history.versions.push_back({process, millisOf(m_now), version.number, std::to_string(version.hash)});
        }
    }
}

// Faults.

void FakeZone::kill(int member)
{
    auto &it = *m_members[member];
    it.alive = false;
    it.leader.reset();
    for (int peer = 0; peer < Members; ++peer) {
        auto &other = *m_members[peer];
        if (peer != member && other.alive && !other.peersCut && !it.peersCut) {
            onMember(peer, other.incarnation, [this, peer, member]() {
                m_members[peer]->leadership->memberDown(memberName(member), m_now);
            });
        }
    }
    // Callers of a dead process learn nothing.
    for (auto &call : m_history.calls) {
        if (call.answeredAt == 0 && call.answerId == memberName(member)) {
            call.answerId.clear();
            call.answeredAt = millisOf(m_now);
            ++m_answered;
        }
    }
}

void FakeZone::restart(int member)
{
    if (m_members[member]->alive) {
        return;
    }
    startMember(member);
    for (int peer = 0; peer < Members; ++peer) {
        if (peer != member && m_members[peer]->alive) {
            m_members[peer]->leadership->memberUp(memberName(member), m_now);
            m_members[member]->leadership->memberUp(memberName(peer), m_now);
        }
    }
}

void FakeZone::pause(int member, bool paused)
{
    auto &it = *m_members[member];
    it.paused = paused;
    if (!paused && it.alive) {
        auto deferred = std::exchange(it.deferred, {});
        for (const auto &run : deferred) {
            onMember(member, it.incarnation, run);
        }
    }
}

void FakeZone::cutPeers(int member, bool cut)
{
    m_members[member]->peersCut = cut;
}

void FakeZone::cutWorkers(int member, bool cut)
{
    m_members[member]->workersCut = cut;
}

void FakeZone::cutLog(int member, bool cut)
{
    m_members[member]->logCut = cut;
}

void FakeZone::cutWorkerFromAll(int worker, bool cut)
{
    if (cut) {
        m_workersCut.insert(worker);
    } else {
        m_workersCut.erase(worker);
    }
}

void FakeZone::loseWorker(int worker)
{
    m_workerGone[worker] = true;
    m_workers[worker]->reset(millisOf(m_now) + ClockStep * (worker + 1));
    after(ListLag, [this, worker]() {
        m_workerListed[worker] = false;
    });
}

void FakeZone::setFailsAll(int worker, bool fails)
{
    m_workers[worker]->setFailsAll(fails);
}

void FakeZone::stopGracefully(int member)
{
    step(Step::Stop, member);
    auto &it = *m_members[member];
    if (it.alive) {
        it.retired = true;
        it.leadership->retire();
        leaveWhenIdle(member, it.incarnation);
    }
}

void FakeZone::leaveWhenIdle(int member, int incarnation)
{
    after(Millis(50), [this, member, incarnation]() {
        onMember(member, incarnation, [this, member, incarnation]() {
            const bool busy = std::any_of(m_history.calls.begin(), m_history.calls.end(), [member](const CallSeen &it) {
                return it.answeredAt == 0 && it.answerId == memberName(member);
            });
            if (busy || m_members[member]->appender->pending() > 0) {
                leaveWhenIdle(member, incarnation);
            } else {
                kill(member);
            }
        });
    });
}

void FakeZone::heal()
{
    m_logDown = m_logSlow = m_logLosesAnswers = m_startsLoseAnswers = false;
    m_workersCut.clear();
    for (int i = 0; i < Workers; ++i) {
        m_workers[i]->setFailsAll(false);
    }
    for (int i = 0; i < Members; ++i) {
        m_members[i]->peersCut = m_members[i]->workersCut = m_members[i]->logCut = false;
        pause(i, false);
        restart(i);
    }
}

int FakeZone::leader() const
{
    for (int i = 0; i < Members; ++i) {
        const auto &it = *m_members[i];
        if (it.alive && !it.paused && it.leader && it.leader->isRecovered()) {
            return i;
        }
    }
    return -1;
}

bool FakeZone::takesWork(int member) const
{
    return m_members[member]->alive && !m_members[member]->retired;
}

bool FakeZone::isAlive(int member) const
{
    return m_members[member]->alive;
}

LogFold &FakeZone::fold(int member)
{
    return *m_members[member]->fold;
}

ZoneLeader *FakeZone::zoneLeader(int member)
{
    return m_members[member]->leader.get();
}

std::vector<Breach> FakeZone::check() const
{
    auto seen = m_history;
    for (auto &it : seen.calls) {
        if (it.answeredAt == 0) {
            it.answerId.clear();
        }
    }
    return checkHistory(seen, CheckerBounds());
}

int FakeZone::answeredAs(ToldAnswer word) const
{
    return static_cast<int>(std::count_if(m_history.calls.begin(), m_history.calls.end(), [word](const CallSeen &it) {
        return it.answeredAt > 0 && it.answer == word;
    }));
}

bool FakeZone::jobsFinished() const
{
    for (const auto &it : m_members) {
        if (it->alive && it->fold->isCaughtUp()) {
            bool finished = true;
            it->fold->jobs().forEach([&](const JobEntry &job) {
                finished = finished && job.isFinished();
            });
            return finished;
        }
    }
    return false;
}

} // namespace marjoramhaven::test
