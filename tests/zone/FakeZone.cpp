#include "FakeZone.h"

#include <algorithm>

namespace marjoramhaven::test {

namespace {
constexpr Millis Latency {1};
constexpr Millis CallTimeout {1500};
constexpr Millis TickEvery {20};
constexpr Millis ListLag {3000};
constexpr Millis ShortDeadline {4000};
constexpr std::int64_t ClockStep = 1'000'000;

const Resources &workerCapacity()
{
    static const Resources capacity(16'000, 32'768, 0, 8, 64);
    return capacity;
}

std::string memberName(int member)
{
    return "e" + std::to_string(member);
}
} // namespace

// The log as one member reaches it.
class FakeZone::Log : public LogService
{
public:
    Log(FakeZone &zone, int member)
        : m_zone(zone)
        , m_member(member)
    {
    }
    void append(const std::vector<QJsonObject> &records, AppendDone done) override;
    void read(std::int64_t from, Millis wait, ReadDone done) override;

private:
    FakeZone &m_zone;
    int m_member;
};

// One worker as one member reaches it.
class FakeZone::Port : public WorkerService
{
public:
    Port(FakeZone &zone, int member, int worker)
        : m_zone(zone)
        , m_member(member)
        , m_worker(worker)
    {
    }
    void open(const std::string &owner, OpenDone done) override;
    void renew(const RenewRequest &request, RenewDone done) override;
    void start(const StartRequest &request, StartDone done) override;
    void close(const AttemptId &attempt, ReportDone done) override;
    void stop(std::int64_t session, const AttemptId &attempt, ReportDone done) override;

private:
    template<typename T>
    void call(std::function<T(WorkerModel &, std::int64_t)> operation, std::function<void(std::optional<T>, TimePoint)> done, bool loseAnswer = false);
    template<typename T>
    void deliver(T answer, int incarnation, const std::shared_ptr<bool> &isDone, std::function<void(std::optional<T>, TimePoint)> done);
    void pollRenewal(const RenewRequest &request, TimePoint until, int incarnation, const std::shared_ptr<bool> &isDone, const RenewDone &done);
    void awaitEnd(const AttemptId &attempt, int incarnation, const std::shared_ptr<bool> &isDone, const StartDone &done);

    FakeZone &m_zone;
    int m_member;
    int m_worker;
};

class FakeZone::Directory : public WorkerDirectory
{
public:
    Directory(FakeZone &zone, int member)
    {
        for (int i = 0; i < Workers; ++i) {
            m_ports.push_back(std::make_unique<Port>(zone, member, i));
        }
    }
    WorkerService &worker(const std::string &url) override { return *m_ports.at(static_cast<std::size_t>(std::stoi(url))); }

private:
    std::vector<std::unique_ptr<Port>> m_ports;
};

struct FakeZone::Member {
    int incarnation = 0;
    bool alive = false;
    bool paused = false;
    bool peersCut = false;
    bool workersCut = false;
    bool logCut = false;
    bool reading = false;
    bool fenced = false;
    bool retired = false;
    TimePoint nextBeat {};
    TimePoint nextList {};
    std::vector<std::function<void()>> deferred;
    std::map<int, std::int64_t> echoes;
    std::unique_ptr<Log> log;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<LogFold> fold;
    std::unique_ptr<LogAppender> appender;
    std::unique_ptr<LogRefresher> refresher;
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<ZoneLeader> leader;
};

// A short request as an entry process carries it.
struct FakeZone::ShortCall {
    JobSpec spec;
    int member = 0;
    int incarnation = 0;
    std::size_t index = 0;
    TimePoint deadline {};
    std::string nonce;
    ShortDecision open;
    bool isOpen = false;
    bool finished = false;
};

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

// What callers and operators do.

void FakeZone::submitJob(int member, const JobSpec &spec)
{
    step(Step::Submit, member);
    auto &it = *m_members[member];
    if (it.alive && !it.paused) {
        it.appender->add(JobAccepted {spec, "north"});
    }
}

void FakeZone::cancelJob(int member, const std::string &id)
{
    auto &it = *m_members[member];
    if (it.alive && !it.paused) {
        it.appender->add(JobCancelled {id});
    }
}

void FakeZone::sendPatch(int member, const std::string &id, const QJsonObject &patch)
{
    step(Step::Patch, member);
    auto &it = *m_members[member];
    if (it.alive && !it.paused) {
        it.appender->add(ConfigurationPatch {id, it.fold->configuration().number(), memberName(member), patch});
    }
}

void FakeZone::sendShort(int member, const JobSpec &spec)
{
    auto &it = *m_members[member];
    if (!it.alive || it.paused) {
        return;
    }
    auto call = std::make_shared<ShortCall>();
    call->spec = spec;
    call->member = member;
    call->incarnation = it.incarnation;
    call->deadline = m_now + ShortDeadline;
    call->index = m_history.calls.size();
    CallSeen seen;
    seen.id = spec.id;
    seen.repeatable = spec.repeatable;
    seen.expected = spec.work.value(QLatin1String("echo")).toString().toStdString();
    seen.sentAt = millisOf(m_now);
    // Holds the carrier's name until the answer comes.
    seen.answerId = memberName(member);
    m_history.calls.push_back(seen);
    if (spec.repeatable) {
        ask(call);
        return;
    }
    call->nonce = "n" + std::to_string(++m_nonces);
    step(Step::Claim, member);
    if (!it.alive || it.appender->isFailing()) {
        answer(call, ToldAnswer::NotRun, "");
        return;
    }
    it.appender->add(ClaimMade {spec.id, call->nonce, memberName(member), spec.fingerprint()});
    ask(call);
}

void FakeZone::ask(const std::shared_ptr<ShortCall> &call)
{
    if (call->finished) {
        return;
    }
    auto &self = *m_members[call->member];
    if (m_now >= call->deadline) {
        if (!call->nonce.empty()) {
            self.appender->add(ClaimReleased {call->spec.id, call->nonce});
        }
        answer(call, ToldAnswer::NotRun, "");
        return;
    }
    const auto again = [this, call](Millis delay) {
        after(delay, [this, call]() {
            onMember(call->member, call->incarnation, [this, call]() {
                ask(call);
            });
        });
    };
    if (!call->nonce.empty()) {
        const auto claim = self.fold->claims().claim(call->spec.id);
        if (!claim || (claim->nonce.empty() && !claim->end)) {
            again(Millis(20));
            return;
        }
        if (claim->nonce != call->nonce && !claim->end && m_now + Millis(50) < call->deadline) {
            // Another send holds the claim; its outcome is the answer.
            again(Millis(50));
            return;
        }
        if (claim->nonce != call->nonce || claim->end) {
            call->nonce.clear();
            const bool isDone = claim->end && claim->end->outcome == TaskOutcome::Done;
            answer(call, isDone ? ToldAnswer::Done : ToldAnswer::Unknown, isDone ? claim->end->result : "");
            return;
        }
    }
    const auto leaderName = self.leadership->leader();
    const int target = leaderName.empty() ? -1 : std::stoi(leaderName.substr(1));
    const bool cut = target != call->member && target >= 0 && (self.peersCut || m_members[target]->peersCut);
    if (target < 0 || cut || !m_members[target]->alive) {
        again(Millis(50));
        return;
    }
    step(Step::Answer, target);
    auto isDone = std::make_shared<bool>(false);
    after(Latency, [this, call, target, isDone, incarnation = m_members[target]->incarnation]() {
        onMember(target, incarnation, [this, call, target, isDone]() {
            auto &it = *m_members[target];
            const ShortDecided reply = [this, call, isDone](const ShortDecision &decision) {
                after(Latency, [this, call, decision, isDone]() {
                    onMember(call->member, call->incarnation, [this, call, decision, isDone]() {
                        if (!*isDone) {
                            *isDone = true;
                            decided(call, decision);
                        }
                    });
                });
            };
            if (it.leader) {
                auto spec = call->spec;
                spec.deadline = call->deadline - m_now;
                it.leader->decideShort(spec, m_now, reply);
            } else {
                ShortDecision none;
                none.verdict = ShortVerdict::NotLeader;
                reply(none);
            }
        });
    });
    after(CallTimeout, [this, call, isDone]() {
        onMember(call->member, call->incarnation, [this, call, isDone]() {
            if (!*isDone) {
                *isDone = true;
                ask(call);
            }
        });
    });
}

void FakeZone::decided(const std::shared_ptr<ShortCall> &call, const ShortDecision &decision)
{
    if (call->finished) {
        return;
    }
    if (decision.verdict == ShortVerdict::Ended) {
        answer(call, decision.outcome == TaskOutcome::Done ? ToldAnswer::Done : ToldAnswer::Unknown, decision.result);
    } else if (decision.verdict == ShortVerdict::Refused) {
        if (!call->nonce.empty()) {
            m_members[call->member]->appender->add(ClaimReleased {call->spec.id, call->nonce});
        }
        answer(call, ToldAnswer::NotRun, "");
    } else if (decision.verdict == ShortVerdict::NotLeader) {
        after(Millis(50), [this, call]() {
            onMember(call->member, call->incarnation, [this, call]() {
                ask(call);
            });
        });
    } else {
        call->open = decision;
        auto &port = m_members[call->member]->directory->worker(decision.workerUrl);
        port.start(decision.start, [this, call](const std::optional<Started> &reply, TimePoint) {
            started(call, reply ? std::optional<AttemptReport>(reply->report) : std::nullopt);
        });
    }
}

void FakeZone::started(const std::shared_ptr<ShortCall> &call, const std::optional<AttemptReport> &report)
{
    if (call->finished) {
        return;
    }
    if (report && report->state == AttemptState::Ended) {
        answer(call, report->outcome == TaskOutcome::Done ? ToldAnswer::Done : ToldAnswer::Unknown, report->result);
        return;
    }
    if (report && report->state == AttemptState::Closed && m_now > call->deadline + TrustClosedAfterDeadline) {
        answer(call, ToldAnswer::Unknown, "");
        return;
    }
    if (report && report->state == AttemptState::Closed) {
        const auto key = call->spec.id;
        const int target = leader();
        if (target >= 0 && m_members[target]->leader) {
            m_members[target]->leader->onShortClosed(key, call->open.start.attempt, m_now);
        }
        ask(call);
        return;
    }
    if (m_now >= call->deadline + Millis(1000)) {
        answer(call, ToldAnswer::Unknown, "");
        return;
    }
    after(Millis(100), [this, call]() {
        onMember(call->member, call->incarnation, [this, call]() {
            m_members[call->member]->directory->worker(call->open.workerUrl).close(call->open.start.attempt, [this, call](const auto &reply, TimePoint) {
                started(call, reply);
            });
        });
    });
}

void FakeZone::answer(const std::shared_ptr<ShortCall> &call, ToldAnswer word, const std::string &result)
{
    call->finished = true;
    auto &seen = m_history.calls[call->index];
    seen.answer = word;
    seen.result = result;
    seen.answeredAt = millisOf(m_now);
    seen.answerId = call->spec.id;
    ++m_answered;
}

// The log.

void FakeZone::Log::append(const std::vector<QJsonObject> &records, AppendDone done)
{
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    auto isDone = std::make_shared<bool>(false);
    const auto finish = [this, incarnation, isDone, done](bool ok) {
        m_zone.onMember(m_member, incarnation, [this, isDone, done, ok]() {
            if (!*isDone) {
                *isDone = true;
                done(ok, m_zone.m_now);
            }
        });
    };
    const auto delay = m_zone.m_logSlow ? Millis(800) : Latency;
    m_zone.after(delay, [this, records, finish, delay]() {
        if (m_zone.m_logDown || m_zone.m_members[m_member]->logCut) {
            return;
        }
        m_zone.m_log.append(records);
        if (!m_zone.m_logLosesAnswers) {
            m_zone.after(delay, [finish]() {
                finish(true);
            });
        }
    });
    m_zone.after(CallTimeout, [finish]() {
        finish(false);
    });
}

void FakeZone::Log::read(std::int64_t from, Millis wait, ReadDone done)
{
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    const auto delay = m_zone.m_logSlow ? Millis(800) : Latency;
    const bool reachable = !m_zone.m_logDown && !m_zone.m_members[m_member]->logCut;
    // A wait for news is played by a short pause before an empty answer.
    const auto pause = from < m_zone.m_log.next() ? Millis(0) : std::min(wait, Millis(20));
    m_zone.after(delay + pause, [this, incarnation, from, done, reachable]() {
        const auto batch = reachable ? std::optional<LogBatch>(m_zone.m_log.read(from, 100)) : std::nullopt;
        m_zone.onMember(m_member, incarnation, [this, batch, done]() {
            done(batch, m_zone.m_now);
        });
    });
}

// The workers.

template<typename T>
void FakeZone::Port::deliver(T answer, int incarnation, const std::shared_ptr<bool> &isDone, std::function<void(std::optional<T>, TimePoint)> done)
{
    m_zone.after(Latency, [this, answer = std::move(answer), incarnation, isDone, done = std::move(done)]() {
        if (!m_zone.reaches(m_member, m_worker)) {
            return;
        }
        m_zone.onMember(m_member, incarnation, [this, answer, isDone, done]() {
            if (!*isDone) {
                *isDone = true;
                done(answer, m_zone.m_now);
            }
        });
    });
}

template<typename T>
void FakeZone::Port::call(std::function<T(WorkerModel &, std::int64_t)> operation, std::function<void(std::optional<T>, TimePoint)> done, bool loseAnswer)
{
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    auto isDone = std::make_shared<bool>(false);
    const auto timeOut = [this, incarnation, isDone, done]() {
        m_zone.onMember(m_member, incarnation, [this, isDone, done]() {
            if (!*isDone) {
                *isDone = true;
                done(std::nullopt, m_zone.m_now);
            }
        });
    };
    m_zone.after(CallTimeout, timeOut);
    // A request that meets a cut link is lost, or arrives much later as a late copy.
    const bool isLate = !m_zone.reaches(m_member, m_worker) && m_zone.m_random() % 2 == 0;
    const auto delay = isLate ? Millis(3000 + static_cast<std::int64_t>(m_zone.m_random() % 4000)) : Latency;
    m_zone.after(delay, [this, operation, done, incarnation, isDone, loseAnswer]() {
        if (!m_zone.reaches(m_member, m_worker)) {
            return;
        }
        const auto answer = operation(*m_zone.m_workers[m_worker], millisOf(m_zone.m_now) + ClockStep * (m_worker + 1));
        if (!loseAnswer) {
            deliver<T>(answer, incarnation, isDone, done);
        }
    });
}

void FakeZone::Port::open(const std::string &owner, OpenDone done)
{
    call<SessionOpened>(
        [owner](WorkerModel &worker, std::int64_t clock) {
            return worker.open(owner, clock);
        },
        std::move(done));
}

void FakeZone::Port::renew(const RenewRequest &request, RenewDone done)
{
    m_zone.step(Step::Renew, m_member);
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    auto isDone = std::make_shared<bool>(false);
    m_zone.after(request.wait + CallTimeout, [this, incarnation, isDone, done]() {
        m_zone.onMember(m_member, incarnation, [this, isDone, done]() {
            if (!*isDone) {
                *isDone = true;
                done(std::nullopt, m_zone.m_now);
            }
        });
    });
    const auto until = m_zone.m_now + request.wait;
    const bool isLate = !m_zone.reaches(m_member, m_worker) && m_zone.m_random() % 2 == 0;
    m_zone.after(isLate ? Millis(4000) : Latency, [this, request, until, incarnation, isDone, done]() {
        if (!m_zone.reaches(m_member, m_worker)) {
            return;
        }
        m_zone.m_workers[m_worker]->renew(request, millisOf(m_zone.m_now) + ClockStep * (m_worker + 1));
        pollRenewal(request, until, incarnation, isDone, done);
    });
}

void FakeZone::Port::pollRenewal(const RenewRequest &request, TimePoint until, int incarnation, const std::shared_ptr<bool> &isDone, const RenewDone &done)
{
    const auto clock = millisOf(m_zone.m_now) + ClockStep * (m_worker + 1);
    auto &worker = *m_zone.m_workers[m_worker];
    worker.advance(clock);
    if (worker.hasNews(request.session) || m_zone.m_now >= until) {
        deliver<Renewed>(worker.takeNews(request.session, clock), incarnation, isDone, done);
        return;
    }
    m_zone.after(Millis(10), [this, request, until, incarnation, isDone, done]() {
        pollRenewal(request, until, incarnation, isDone, done);
    });
}

void FakeZone::Port::start(const StartRequest &request, StartDone done)
{
    m_zone.step(Step::Dispatch, m_member);
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    if (!request.awaitEnd) {
        call<Started>(
            [request](WorkerModel &worker, std::int64_t clock) {
                return worker.start(request, clock);
            },
            std::move(done),
            m_zone.m_startsLoseAnswers);
        return;
    }
    auto isDone = std::make_shared<bool>(false);
    call<Started>(
        [request](WorkerModel &worker, std::int64_t clock) {
            return worker.start(request, clock);
        },
        [this, request, incarnation, isDone, done](const std::optional<Started> &answer, TimePoint at) {
            if (answer && answer->report.state == AttemptState::Running) {
                awaitEnd(request.attempt, incarnation, isDone, done);
            } else {
                done(answer, at);
            }
        },
        m_zone.m_startsLoseAnswers);
}

void FakeZone::Port::awaitEnd(const AttemptId &attempt, int incarnation, const std::shared_ptr<bool> &isDone, const StartDone &done)
{
    auto &worker = *m_zone.m_workers[m_worker];
    worker.advance(millisOf(m_zone.m_now) + ClockStep * (m_worker + 1));
    const auto report = worker.report(attempt);
    if (!m_zone.reaches(m_member, m_worker) || report.state == AttemptState::NotKnown) {
        m_zone.onMember(m_member, incarnation, [this, done]() {
            done(std::nullopt, m_zone.m_now);
        });
    } else if (report.state == AttemptState::Running) {
        m_zone.after(Millis(10), [this, attempt, incarnation, isDone, done]() {
            awaitEnd(attempt, incarnation, isDone, done);
        });
    } else {
        deliver<Started>(Started {report, ""}, incarnation, isDone, done);
        // The connection breaks when the link does.
        m_zone.after(CallTimeout, [this, incarnation, isDone, done]() {
            m_zone.onMember(m_member, incarnation, [this, isDone, done]() {
                if (!*isDone) {
                    *isDone = true;
                    done(std::nullopt, m_zone.m_now);
                }
            });
        });
    }
}

void FakeZone::Port::close(const AttemptId &attempt, ReportDone done)
{
    call<AttemptReport>(
        [attempt](WorkerModel &worker, std::int64_t clock) {
            return worker.close(attempt, clock);
        },
        std::move(done));
}

void FakeZone::Port::stop(std::int64_t session, const AttemptId &attempt, ReportDone done)
{
    call<AttemptReport>(
        [session, attempt](WorkerModel &worker, std::int64_t clock) {
            return worker.stop(session, attempt, clock);
        },
        std::move(done));
}

} // namespace marjoramhaven::test
