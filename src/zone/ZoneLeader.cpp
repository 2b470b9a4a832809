#include "marjoramhaven/zone/ZoneLeader.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr std::size_t DecisionsPerTick = 200;
constexpr Millis ClockMargin {100};
constexpr Millis CutOffAfter {2000};
} // namespace

ZoneLeader::ZoneLeader(ZoneLeaderOptions options, std::int64_t epoch, WorkerDirectory &workers, LogFold &fold, LogAppender &appender, TimePoint now)
    : m_options(std::move(options))
    , m_epoch(epoch)
    , m_workers(workers)
    , m_fold(fold)
    , m_appender(appender)
    , m_begunAt(now)
    , m_lastOpenAt(now)
    , m_scheduler(fold.configuration().configuration())
{
    if (m_fold.isCaughtUp()) {
        onCaughtUp(now);
    }
}

void ZoneLeader::onCaughtUp(TimePoint now)
{
    m_jobsKnown = true;
    for (const auto &id : m_fold.jobs().openJobs(m_options.zone)) {
        loadJob(id, now);
    }
}

void ZoneLeader::onConfiguration()
{
    m_scheduler.setConfiguration(m_fold.configuration().configuration());
}

void ZoneLeader::setFleet(const std::vector<Vm> &vms, TimePoint now)
{
    std::set<std::string> listed;
    std::set<std::string> entries;
    for (const auto &vm : vms) {
        if (vm.zone != m_options.zone) {
            continue;
        }
        if (vm.role == VmRole::Entry) {
            if (vm.name != m_options.self) {
                entries.insert(vm.name);
            }
            continue;
        }
        listed.insert(vm.name);
        auto &link = m_links[vm.name];
        if (!link) {
            link = std::make_unique<WorkerLink>(vm, m_options.self, m_workers.worker(vm.url), m_options.times, *this);
        }
        link->setVm(vm);
    }
    m_followers.setListed(entries);
    m_fleetKnown = true;
    for (auto it = m_links.begin(); it != m_links.end();) {
        // The list lags: a worker that answers is kept although it is not listed.
        if (listed.contains(it->first) || it->second->isOpen()) {
            ++it;
            continue;
        }
        std::vector<AttemptId> lost;
        const auto book = m_scheduler.books().find(it->first);
        if (book != m_scheduler.books().end()) {
            for (const auto &[attempt, entry] : book->second.entries()) {
                lost.push_back(attempt);
            }
        }
        const auto name = it->first;
        for (const auto &attempt : lost) {
            handleLost(name, attempt, now);
        }
        m_scheduler.removeWorker(name);
        m_health.remove(name);
        it = m_links.erase(it);
    }
}

void ZoneLeader::confirmFollower(const std::string &name, TimePoint at)
{
    if (at >= m_begunAt) {
        m_followers.confirm(name, at);
    }
}

bool ZoneLeader::hasLapsed(const WorkerLink &link, TimePoint now) const
{
    if (link.isOpen()) {
        return false;
    }
    if (link.wasOpened()) {
        return now >= link.leasesLapsedAt() && m_followers.allFollowedAt(link.leasesLapsedAt());
    }
    const auto since = m_followers.allFollowSince();
    if (!since) {
        return false;
    }
    const auto lapsedAt = std::max(*since, m_begunAt) + m_options.times.lease + ClockMargin;
    return now >= lapsedAt && m_followers.allFollowedAt(lapsedAt);
}

void ZoneLeader::updateRecovery(TimePoint now)
{
    if (m_recovered || !m_fleetKnown) {
        return;
    }
    const bool allKnown = std::all_of(m_links.begin(), m_links.end(), [&](const auto &it) {
        return it.second->wasOpened() || hasLapsed(*it.second, now);
    });
    if (allKnown) {
        finishRecovery(now);
    }
}

void ZoneLeader::finishRecovery(TimePoint now)
{
    m_recovered = true;
    for (auto &[id, job] : m_jobs) {
        std::deque<int> waiting;
        std::vector<int> claimed;
        for (auto &[index, task] : job.tasks) {
            if (task.phase != TaskPhase::Unseen) {
                continue;
            }
            const auto claim = job.spec.repeatable ? std::nullopt : m_fold.claims().claim(taskId(id, index));
            if (claim && !claim->nonce.empty()) {
                claimed.push_back(index);
            } else {
                waiting.push_back(index);
            }
        }
        // A leader before this one claimed the start, and no worker tells of it: it may have run.
        for (const int index : claimed) {
            recordEnd(job, index, TaskOutcome::Unknown, "its leader was lost after claiming the start");
        }
        if (job.cancelled) {
            for (const int index : waiting) {
                endCancelled(job, index);
            }
            continue;
        }
        enqueueTasks(job, std::move(waiting), now);
    }
}

void ZoneLeader::dropLapsedWorkers(TimePoint now)
{
    for (auto &[name, link] : m_links) {
        const auto book = m_scheduler.books().find(name);
        if (book == m_scheduler.books().end() || book->second.entries().empty() || !hasLapsed(*link, now)) {
            continue;
        }
        std::vector<AttemptId> lost;
        for (const auto &[attempt, entry] : book->second.entries()) {
            lost.push_back(attempt);
        }
        for (const auto &attempt : lost) {
            handleLost(name, attempt, now);
        }
    }
}

void ZoneLeader::updateUsable(TimePoint now)
{
    for (const auto &[name, link] : m_links) {
        m_scheduler.setUsable(name, link->isOpen() && !link->vm().leaving && !m_health.isQuarantined(name, now));
    }
}

void ZoneLeader::tick(TimePoint now)
{
    if (m_isFenced) {
        return;
    }
    for (const auto &[name, link] : m_links) {
        link->tick(now);
        if (m_isFenced) {
            return;
        }
        m_lastOpenAt = link->isOpen() ? now : m_lastOpenAt;
    }
    dropLapsedWorkers(now);
    updateRecovery(now);
    updateUsable(now);
    releaseDelayed(now);
    closeUncertain(now);
    lookUpShorts(now);
    releaseAcks(now);
    stopCancelled(now);
    m_shorts.expire(now);
    decideHeld(now);
    if (!m_recovered) {
        return;
    }
    for (const auto &placed : m_scheduler.decide(now, DecisionsPerTick)) {
        startPlaced(placed, now);
    }
}

void ZoneLeader::onOpened(WorkerLink &link, const SessionOpened &inventory, TimePoint now)
{
    const auto &name = link.vm().name;
    m_scheduler.setWorker(name, link.vm().rack, inventory.capacity, inventory.session);
    syncBook(link, inventory, now);
    for (const auto &report : inventory.attempts) {
        if (report.state == AttemptState::Running) {
            adoptReport(link, report, now);
        } else if (report.state == AttemptState::Ended) {
            onEnded(link, report, now);
        }
    }
    updateUsable(now);
    updateRecovery(now);
}

// What this leader had entered, and the worker does not know, never started: the old session refuses it from now on.
void ZoneLeader::syncBook(WorkerLink &link, const SessionOpened &inventory, TimePoint now)
{
    const auto &name = link.vm().name;
    std::vector<AttemptId> unknown;
    for (const auto &[id, entry] : m_scheduler.books().at(name).entries()) {
        const auto &attempt = id;
        const bool known = std::any_of(inventory.attempts.begin(), inventory.attempts.end(), [&](const AttemptReport &it) {
            return it.attempt == attempt;
        });
        if (!known) {
            unknown.push_back(attempt);
        }
    }
    for (const auto &attempt : unknown) {
        settleClosed(name, attempt, now);
    }
}

void ZoneLeader::adoptReport(WorkerLink &link, const AttemptReport &report, TimePoint now)
{
    const auto label = TaskLabel::fromText(report.label);
    if (!label) {
        return;
    }
    const auto &name = link.vm().name;
    m_scheduler.adopt(name, report.attempt, report.reservation, label->owner);
    if (label->kind == JobKind::ShortRequest) {
        if (m_shorts.active(report.attempt.task) == nullptr) {
            m_shorts.add(report.attempt.task, {name, link.vm().url, report.attempt, link.session(), now + m_options.times.lease, label->repeatable});
        }
        return;
    }
    auto *job = findJob(label->jobId);
    if (job == nullptr) {
        // The record of the job may still be on its way here.
        return;
    }
    const auto it = job->tasks.find(label->index);
    if (it == job->tasks.end()) {
        return;
    }
    auto &task = it->second;
    if (task.phase == TaskPhase::Queued || task.phase == TaskPhase::Delayed) {
        for (const int index : m_scheduler.withdraw(label->jobId)) {
            if (index != label->index) {
                enqueueTasks(*job, {index}, now);
            }
        }
    }
    task.phase = TaskPhase::Running;
    task.worker = name;
    task.attempt = report.attempt;
    task.startedAt = now;
    if (job->cancelled) {
        stopTask(label->jobId, label->index, now);
    }
}

void ZoneLeader::onEnded(WorkerLink &link, const AttemptReport &report, TimePoint now)
{
    const auto label = TaskLabel::fromText(report.label);
    if (!label) {
        link.acknowledge(report.attempt);
        return;
    }
    m_scheduler.release(link.vm().name, report.attempt);
    m_uncertain.erase(report.attempt);
    if (report.outcome == TaskOutcome::Failed) {
        m_health.onFailed(link.vm().name, label->jobId, m_links.size(), now);
    } else if (report.outcome == TaskOutcome::Done) {
        m_health.onDone(link.vm().name);
    }
    if (label->kind == JobKind::ShortRequest) {
        handleShortEnded(link, report, *label, now);
    } else {
        handleJobTaskEnded(link, report, *label, now);
    }
}

void ZoneLeader::onFenced(WorkerLink & /*link*/, TimePoint now)
{
    if (m_isFenced) {
        return;
    }
    m_isFenced = true;
    if (m_fenced) {
        m_fenced(now);
    }
}

void ZoneLeader::onSilent(WorkerLink &link, TimePoint /*now*/)
{
    m_scheduler.setUsable(link.vm().name, false);
}

void ZoneLeader::closeUncertain(TimePoint now)
{
    constexpr Millis AskEvery {500};
    if (now < m_closeUncertainAt) {
        return;
    }
    m_closeUncertainAt = now + AskEvery;
    const std::weak_ptr<bool> alive = m_alive;
    for (const auto &[attempt, worker] : m_uncertain) {
        auto *link = findLink(worker);
        if (link == nullptr || !link->isOpen()) {
            continue;
        }
        link->service().close(attempt, [this, alive, attempt = attempt, worker = worker](const std::optional<AttemptReport> &answer, TimePoint at) {
            if (alive.expired() || !answer || !m_uncertain.contains(attempt)) {
                return;
            }
            m_uncertain.erase(attempt);
            if (answer->state == AttemptState::Closed) {
                settleClosed(worker, attempt, at);
            }
        });
    }
}

WorkerLink *ZoneLeader::findLink(const std::string &worker)
{
    const auto it = m_links.find(worker);
    return it == m_links.end() ? nullptr : it->second.get();
}

bool ZoneLeader::isCutOff(TimePoint now) const
{
    return !m_links.empty() && now - m_lastOpenAt > CutOffAfter;
}

bool ZoneLeader::couldEverFit(const Resources &resources) const
{
    return m_scheduler.books().empty() || m_scheduler.couldEverFit(resources);
}

ZoneCounts ZoneLeader::counts(TimePoint now) const
{
    ZoneCounts out;
    out.workers = static_cast<int>(m_links.size());
    for (const auto &[name, link] : m_links) {
        out.openWorkers += link->isOpen() ? 1 : 0;
    }
    for (const auto &[name, book] : m_scheduler.books()) {
        out.running += static_cast<int>(book.entries().size());
    }
    out.waiting = m_scheduler.waiting();
    out.shortActive = static_cast<int>(m_shorts.actives().size());
    out.quarantined = m_health.quarantined(now);
    out.recovered = m_recovered;
    return out;
}

} // namespace marjoramhaven
