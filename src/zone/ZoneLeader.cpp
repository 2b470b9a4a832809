#include "marjoramhaven/zone/ZoneLeader.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr std::size_t MaxPlacementsPerTick = 200;
// Allowance for the drift between the clocks of two machines during one lease.
constexpr Millis ClockMargin {100};
// After this long without an open session to any worker, hasNoReachableWorker() reports that another process should lead.
constexpr Millis NoWorkerTimeout {2000};
} // namespace

ZoneLeader::ZoneLeader(ZoneLeaderOptions options,
                       std::int64_t epoch,
                       WorkerDirectory &workers,
                       ReplicatedState &replicatedState,
                       LogAppender &appender,
                       TimePoint now)
    : m_options(std::move(options))
    , m_epoch(epoch)
    , m_workers(workers)
    , m_replicatedState(replicatedState)
    , m_appender(appender)
    , m_startedLeadingAt(now)
    , m_lastWorkerReachableAt(now)
    , m_scheduler(replicatedState.configuration().configuration())
{
    if (m_replicatedState.isCaughtUp()) {
        onLogCaughtUp(now);
    }
}

void ZoneLeader::onLogCaughtUp(TimePoint now)
{
    m_areJobsLoaded = true;
    for (const auto &id : m_replicatedState.jobs().openJobs(m_options.zone)) {
        loadJob(id, now);
    }
}

void ZoneLeader::onConfigurationChanged()
{
    m_scheduler.setConfiguration(m_replicatedState.configuration().configuration());
}

void ZoneLeader::setVms(const std::vector<Vm> &vms, TimePoint now)
{
    std::set<std::string> listed;
    std::set<std::string> entryProcesses;
    for (const auto &vm : vms) {
        if (vm.zone != m_options.zone) {
            continue;
        }
        if (vm.role == VmRole::Entry) {
            if (vm.name != m_options.self) {
                entryProcesses.insert(vm.name);
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
    m_followers.setListedProcesses(entryProcesses);
    m_areVmsKnown = true;
    for (auto it = m_links.begin(); it != m_links.end();) {
        // The platform's list is updated late, so a worker that answers is kept although the list does not have it.
        if (listed.contains(it->first) || it->second->isOpen()) {
            ++it;
            continue;
        }
        std::vector<AttemptId> lost;
        const auto reservations = m_scheduler.workerReservations().find(it->first);
        if (reservations != m_scheduler.workerReservations().end()) {
            for (const auto &[attempt, entry] : reservations->second.entries()) {
                lost.push_back(attempt);
            }
        }
        const auto name = it->first;
        for (const auto &attempt : lost) {
            handleAttemptLost(name, attempt, now);
        }
        m_scheduler.removeWorker(name);
        m_health.remove(name);
        it = m_links.erase(it);
    }
}

void ZoneLeader::confirmFollower(const std::string &name, TimePoint at)
{
    if (at >= m_startedLeadingAt) {
        m_followers.confirm(name, at);
    }
}

bool ZoneLeader::haveLeasesExpired(const WorkerLink &link, TimePoint now) const
{
    if (link.isOpen()) {
        return false;
    }
    if (link.wasOpened()) {
        return now >= link.leasesExpireAt() && m_followers.allConfirmedSince(link.leasesExpireAt());
    }
    const auto confirmedAt = m_followers.firstConfirmedByAll();
    if (!confirmedAt) {
        return false;
    }
    const auto expireAt = std::max(*confirmedAt, m_startedLeadingAt) + m_options.times.lease + ClockMargin;
    return now >= expireAt && m_followers.allConfirmedSince(expireAt);
}

void ZoneLeader::updateRecovery(TimePoint now)
{
    if (m_recovered || !m_areVmsKnown) {
        return;
    }
    const bool isEveryWorkerKnown = std::all_of(m_links.begin(), m_links.end(), [&](const auto &it) {
        return it.second->wasOpened() || haveLeasesExpired(*it.second, now);
    });
    if (isEveryWorkerKnown) {
        finishRecovery(now);
    }
}

void ZoneLeader::finishRecovery(TimePoint now)
{
    m_recovered = true;
    for (auto &[id, job] : m_jobs) {
        std::deque<int> waiting;
        std::vector<int> possiblyStarted;
        for (auto &[index, task] : job.tasks) {
            if (task.phase != TaskPhase::AwaitingRecovery) {
                continue;
            }
            const auto claim = job.spec.repeatable ? std::nullopt : m_replicatedState.claims().claim(taskId(id, index));
            if (claim && !claim->nonce.empty()) {
                possiblyStarted.push_back(index);
            } else {
                waiting.push_back(index);
            }
        }
        // A former leader claimed the start and no worker reports the task, so the task may have run.
        for (const int index : possiblyStarted) {
            recordEnd(job, index, TaskOutcome::Unknown, "a former leader claimed the start, and no worker reports the task; it may have run");
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

void ZoneLeader::handleExpiredWorkers(TimePoint now)
{
    for (auto &[name, link] : m_links) {
        const auto reservations = m_scheduler.workerReservations().find(name);
        if (reservations == m_scheduler.workerReservations().end() || reservations->second.entries().empty() || !haveLeasesExpired(*link, now)) {
            continue;
        }
        std::vector<AttemptId> lost;
        for (const auto &[attempt, entry] : reservations->second.entries()) {
            lost.push_back(attempt);
        }
        for (const auto &attempt : lost) {
            handleAttemptLost(name, attempt, now);
        }
    }
}

void ZoneLeader::updateUsableWorkers(TimePoint now)
{
    for (const auto &[name, link] : m_links) {
        m_scheduler.setUsable(name, link->isOpen() && !link->vm().isLeaving && !m_health.isQuarantined(name, now));
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
        m_lastWorkerReachableAt = link->isOpen() ? now : m_lastWorkerReachableAt;
    }
    handleExpiredWorkers(now);
    updateRecovery(now);
    updateUsableWorkers(now);
    processDueTasks(now);
    closeUnansweredStarts(now);
    checkOverdueShortRequests(now);
    acknowledgeDueAttempts(now);
    stopCancelledTasks(now);
    m_shortRequests.expire(now);
    decideHeld(now);
    if (!m_recovered) {
        return;
    }
    for (const auto &placed : m_scheduler.placeQueued(now, MaxPlacementsPerTick)) {
        startTask(placed, now);
    }
}

void ZoneLeader::onSessionOpened(WorkerLink &link, const OpenSessionResponse &inventory, TimePoint now)
{
    const auto &name = link.vm().name;
    m_scheduler.setWorker(name, link.vm().rack, inventory.capacity, inventory.session);
    reconcileReservations(link, inventory, now);
    for (const auto &report : inventory.attempts) {
        if (report.state == AttemptState::Running) {
            adoptRunningAttempt(link, report, now);
        } else if (report.state == AttemptState::Ended) {
            onAttemptEnded(link, report, now);
        }
    }
    updateUsableWorkers(now);
    updateRecovery(now);
}

// Handles reservations whose attempts the worker does not know. They never started and never will, because the worker
// refuses starts under the old session.
void ZoneLeader::reconcileReservations(WorkerLink &link, const OpenSessionResponse &inventory, TimePoint now)
{
    const auto &name = link.vm().name;
    std::vector<AttemptId> unknown;
    for (const auto &[id, entry] : m_scheduler.workerReservations().at(name).entries()) {
        const auto &attempt = id;
        const bool known = std::any_of(inventory.attempts.begin(), inventory.attempts.end(), [&](const AttemptReport &it) {
            return it.attempt == attempt;
        });
        if (!known) {
            unknown.push_back(attempt);
        }
    }
    for (const auto &attempt : unknown) {
        handleNotStarted(name, attempt, now);
    }
}

void ZoneLeader::adoptRunningAttempt(WorkerLink &link, const AttemptReport &report, TimePoint now)
{
    const auto label = TaskLabel::fromText(report.label);
    if (!label) {
        return;
    }
    const auto &name = link.vm().name;
    m_scheduler.adopt(name, report.attempt, report.reservation, label->owner);
    if (label->kind == JobKind::ShortRequest) {
        if (m_shortRequests.active(report.attempt.task) == nullptr) {
            m_shortRequests.add(report.attempt.task, {name, link.vm().url, report.attempt, link.session(), now + m_options.times.lease, label->repeatable});
        }
        return;
    }
    auto *job = findJob(label->jobId);
    if (job == nullptr) {
        // The job's record may not have been read yet; loadJob() then finds the attempt by its reservation.
        return;
    }
    const auto it = job->tasks.find(label->index);
    if (it == job->tasks.end()) {
        return;
    }
    auto &task = it->second;
    if (task.phase == TaskPhase::Queued || task.phase == TaskPhase::Delayed) {
        for (const int index : m_scheduler.removeQueued(label->jobId)) {
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

void ZoneLeader::onAttemptEnded(WorkerLink &link, const AttemptReport &report, TimePoint now)
{
    const auto label = TaskLabel::fromText(report.label);
    if (!label) {
        link.acknowledge(report.attempt);
        return;
    }
    m_scheduler.release(link.vm().name, report.attempt);
    m_unansweredStarts.erase(report.attempt);
    if (report.outcome == TaskOutcome::Failed) {
        m_health.onFailed(link.vm().name, label->jobId, m_links.size(), now);
    } else if (report.outcome == TaskOutcome::Done) {
        m_health.onSucceeded(link.vm().name);
    }
    if (label->kind == JobKind::ShortRequest) {
        handleShortRequestEnded(link, report, *label, now);
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
    if (m_fencedHandler) {
        m_fencedHandler(now);
    }
}

void ZoneLeader::onUnresponsive(WorkerLink &link, TimePoint /*now*/)
{
    m_scheduler.setUsable(link.vm().name, false);
}

void ZoneLeader::closeUnansweredStarts(TimePoint now)
{
    constexpr Millis CloseInterval {500};
    if (now < m_nextCloseAt) {
        return;
    }
    m_nextCloseAt = now + CloseInterval;
    const std::weak_ptr<bool> alive = m_alive;
    for (const auto &[attempt, worker] : m_unansweredStarts) {
        auto *link = findLink(worker);
        if (link == nullptr || !link->isOpen()) {
            continue;
        }
        link->service().close(attempt, [this, alive, attempt = attempt, worker = worker](const std::optional<AttemptReport> &answer, TimePoint at) {
            if (alive.expired() || !answer || !m_unansweredStarts.contains(attempt)) {
                return;
            }
            m_unansweredStarts.erase(attempt);
            if (answer->state == AttemptState::Closed) {
                handleNotStarted(worker, attempt, at);
            }
        });
    }
}

WorkerLink *ZoneLeader::findLink(const std::string &worker)
{
    const auto it = m_links.find(worker);
    return it == m_links.end() ? nullptr : it->second.get();
}

bool ZoneLeader::hasNoReachableWorker(TimePoint now) const
{
    return !m_links.empty() && now - m_lastWorkerReachableAt > NoWorkerTimeout;
}

bool ZoneLeader::couldEverFit(const Resources &resources) const
{
    return m_scheduler.workerReservations().empty() || m_scheduler.couldEverFit(resources);
}

ZoneCounts ZoneLeader::counts(TimePoint now) const
{
    ZoneCounts out;
    out.workers = static_cast<int>(m_links.size());
    for (const auto &[name, link] : m_links) {
        out.workersWithSession += link->isOpen() ? 1 : 0;
    }
    for (const auto &[name, reservations] : m_scheduler.workerReservations()) {
        out.running += static_cast<int>(reservations.entries().size());
    }
    out.waiting = m_scheduler.waiting();
    out.activeShortRequests = static_cast<int>(m_shortRequests.activeRequests().size());
    out.quarantined = m_health.quarantined(now);
    out.recovered = m_recovered;
    return out;
}

} // namespace marjoramhaven
