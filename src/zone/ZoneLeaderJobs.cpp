#include <algorithm>
#include <charconv>
#include <limits>

#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven {

namespace {

// The worker refuses a start that reaches it later than this after it was sent.
constexpr Millis StartValidity {1000};
// A claim that the log has not confirmed within this time is released, and the task is delayed.
constexpr Millis ClaimTimeout {5000};
constexpr Millis InitialRestartDelay {200};
// A service task that has run for longer than this before it ends restarts with the initial delay.
constexpr Millis FailureResetAfter {10'000};
constexpr int MaxRestartDoublings = 8;
constexpr int MaxAttempts = 3;
// Index of a task whose name, which workers report, has no valid number; no job has a task with it.
constexpr int InvalidIndex = std::numeric_limits<int>::max();

int indexOf(const AttemptId &attempt)
{
    const auto slash = attempt.task.rfind('/');
    if (slash == std::string::npos) {
        return ShortRequestIndex;
    }
    int out = InvalidIndex;
    const char *end = attempt.task.data() + attempt.task.size();
    const auto [rest, ec] = std::from_chars(attempt.task.data() + slash + 1, end, out);
    return ec == std::errc() && rest == end && out >= 0 ? out : InvalidIndex;
}

std::string jobOf(const AttemptId &attempt)
{
    return attempt.task.substr(0, attempt.task.rfind('/'));
}

} // namespace

JobProgress *ZoneLeader::findJob(const std::string &id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

TaskProgress *ZoneLeader::findTask(const AttemptId &attempt, JobProgress **job, int *index)
{
    *index = indexOf(attempt);
    *job = findJob(jobOf(attempt));
    if (*job == nullptr) {
        return nullptr;
    }
    const auto it = (*job)->tasks.find(*index);
    if (it == (*job)->tasks.end() || it->second.attempt != attempt) {
        return nullptr;
    }
    return &it->second;
}

void ZoneLeader::loadJob(const std::string &id, TimePoint now)
{
    const auto entry = m_replicatedState.jobs().job(id);
    if (!m_areJobsLoaded || !entry || entry->homeZone != m_options.zone || entry->isFinished() || m_jobs.contains(id)) {
        return;
    }
    auto &job = m_jobs[id];
    job.spec = entry->spec;
    std::deque<int> waiting;
    for (int i = 0; i < job.spec.tasks; ++i) {
        if (!entry->ended.contains(i)) {
            job.tasks[i].phase = TaskPhase::AwaitingRecovery;
            job.tasks[i].mayHaveRun = !m_recovered;
            waiting.push_back(i);
        }
    }
    adoptRunningTasks(job);
    applyEarlyEnds(job, now);
    if (m_recovered) {
        std::erase_if(waiting, [&](int index) {
            return job.tasks[index].phase != TaskPhase::AwaitingRecovery;
        });
        enqueueTasks(job, std::move(waiting), now);
    }
    if (entry->cancelled) {
        cancelJob(id, now);
    }
}

// Marks those tasks as running that workers reported before the job's record was read.
void ZoneLeader::adoptRunningTasks(JobProgress &job)
{
    for (const auto &[worker, reservations] : m_scheduler.workerReservations()) {
        for (const auto &[attempt, entry] : reservations.entries()) {
            const auto it = entry.owner.jobId == job.spec.id ? job.tasks.find(indexOf(attempt)) : job.tasks.end();
            if (it != job.tasks.end()) {
                it->second.phase = TaskPhase::Running;
                it->second.worker = worker;
                it->second.attempt = attempt;
            }
        }
    }
}

void ZoneLeader::applyEarlyEnds(JobProgress &job, TimePoint now)
{
    for (auto &[index, task] : job.tasks) {
        const auto node = m_earlyEnds.extract(taskId(job.spec.id, index));
        auto *link = node.empty() ? nullptr : findLink(node.mapped().worker);
        const auto label = node.empty() ? std::nullopt : TaskLabel::fromText(node.mapped().report.label);
        if (link != nullptr && label) {
            handleJobTaskEnded(*link, node.mapped().report, *label, now);
        }
    }
}

void ZoneLeader::enqueueTasks(const JobProgress &job, std::deque<int> indices, TimePoint now)
{
    auto &tasks = m_jobs[job.spec.id].tasks;
    for (const int index : indices) {
        tasks[index].phase = TaskPhase::Queued;
    }
    QueuedTasks waiting;
    waiting.jobId = job.spec.id;
    waiting.team = job.spec.team;
    waiting.urgency = job.spec.urgency;
    waiting.resources = job.spec.resources;
    // Only the first start of a gang is placed as a whole; tasks that are restarted later are placed one by one.
    waiting.isGang = job.spec.kind == JobKind::Gang && static_cast<int>(indices.size()) == job.spec.tasks;
    waiting.spread = job.spec.kind == JobKind::Service;
    waiting.queuedAt = now;
    waiting.indices = std::move(indices);
    m_scheduler.enqueue(std::move(waiting));
}

void ZoneLeader::startTask(const TaskPlacement &placed, TimePoint now)
{
    auto *job = findJob(placed.jobId);
    if (job == nullptr) {
        m_scheduler.release(placed.worker, placed.attempt);
        return;
    }
    auto &task = job->tasks[placed.index];
    task.worker = placed.worker;
    task.attempt = placed.attempt;
    if (job->spec.repeatable) {
        sendStart(placed, *job, now);
    } else {
        claimThenStart(placed, *job, now);
    }
}

void ZoneLeader::claimThenStart(const TaskPlacement &placed, JobProgress &job, TimePoint now)
{
    auto &task = job.tasks[placed.index];
    const auto claim = m_replicatedState.claims().claim(placed.attempt.task);
    if (claim && !claim->nonce.empty() && claim->nonce == task.claimNonce) {
        sendStart(placed, job, now);
        return;
    }
    task.phase = TaskPhase::Claiming;
    task.due = now + ClaimTimeout;
    m_dueTasks.emplace(task.due, placed.attempt.task);
    task.claimNonce =
        m_options.self + ":" + std::to_string(m_epoch) + ":" + std::to_string(++m_claimCount) + ":" + std::to_string(millisOf(m_startedLeadingAt));
    m_appender.add(ClaimMade {placed.attempt.task, task.claimNonce, m_options.self, job.spec.fingerprint()});
}

void ZoneLeader::handleClaimRecord(const ClaimMade &record, TimePoint now)
{
    const AttemptId key {record.key, 0};
    auto *job = findJob(jobOf(key));
    const auto it = job == nullptr ? std::map<int, TaskProgress>::iterator() : job->tasks.find(indexOf(key));
    if (job == nullptr || it == job->tasks.end() || it->second.phase != TaskPhase::Claiming) {
        return;
    }
    auto &task = it->second;
    const auto claim = m_replicatedState.claims().claim(record.key);
    if (!claim || claim->nonce.empty()) {
        return;
    }
    if (claim->nonce == task.claimNonce) {
        sendStart({job->spec.id, it->first, task.worker, task.attempt, job->spec.resources, {job->spec.team, job->spec.urgency, job->spec.id}}, *job, now);
        return;
    }
    m_scheduler.release(task.worker, task.attempt);
    recordEnd(*job, it->first, TaskOutcome::Unknown, "another process claimed the start; the task may have run");
}

void ZoneLeader::sendStart(const TaskPlacement &placed, const JobProgress &job, TimePoint now)
{
    auto &task = m_jobs[placed.jobId].tasks[placed.index];
    auto *link = findLink(placed.worker);
    if (link == nullptr || !link->isOpen()) {
        handleNotStarted(placed.worker, placed.attempt, now);
        return;
    }
    task.phase = TaskPhase::Running;
    task.startedAt = now;
    StartRequest request;
    request.session = link->session();
    request.attempt = placed.attempt;
    request.reservation = placed.reservation;
    request.notAfter = link->workerClock(now) + StartValidity.count();
    request.leaseUntil = link->grantLease(now);
    request.label = TaskLabel {placed.jobId, placed.index, job.spec.kind, placed.owner, job.spec.repeatable}.toText();
    request.work = job.spec.work;
    const std::weak_ptr<bool> alive = m_alive;
    link->service().start(request, [this, alive, placed](const std::optional<StartResponse> &answer, TimePoint at) {
        if (!alive.expired()) {
            handleStarted(placed, answer, at);
        }
    });
}

void ZoneLeader::handleStarted(const TaskPlacement &placed, const std::optional<StartResponse> &answer, TimePoint now)
{
    if (!answer) {
        m_unansweredStarts.emplace(placed.attempt, placed.worker);
        return;
    }
    // An attempt that has already ended is reported by the next renewal too and handled there.
    if (answer->report.state == AttemptState::Closed) {
        handleNotStarted(placed.worker, placed.attempt, now);
    }
}

// Handles an attempt that was not started and never will be.
void ZoneLeader::handleNotStarted(const std::string &worker, const AttemptId &attempt, TimePoint now)
{
    m_scheduler.release(worker, attempt);
    m_unansweredStarts.erase(attempt);
    const auto *active = m_shortRequests.active(attempt.task);
    if (active != nullptr && active->attempt == attempt) {
        m_shortRequests.remove(attempt.task);
        return;
    }
    JobProgress *job = nullptr;
    int index = 0;
    if (findTask(attempt, &job, &index) == nullptr) {
        return;
    }
    if (job->cancelled) {
        endCancelled(*job, index);
    } else {
        scheduleRestart(*job, index, now);
    }
}

void ZoneLeader::scheduleRestart(JobProgress &job, int index, TimePoint now)
{
    auto &task = job.tasks[index];
    task.phase = TaskPhase::Delayed;
    task.attempt = {};
    task.due = now + InitialRestartDelay * (1 << std::min(task.failures, MaxRestartDoublings));
    ++task.failures;
    m_dueTasks.emplace(task.due, taskId(job.spec.id, index));
}

void ZoneLeader::processDueTasks(TimePoint now)
{
    while (m_recovered && !m_dueTasks.empty() && m_dueTasks.begin()->first <= now) {
        const AttemptId key {m_dueTasks.begin()->second, 0};
        m_dueTasks.erase(m_dueTasks.begin());
        auto *job = findJob(jobOf(key));
        const int index = indexOf(key);
        if (job == nullptr || !job->tasks.contains(index) || job->tasks[index].due > now) {
            continue;
        }
        const auto &task = job->tasks[index];
        if (task.phase == TaskPhase::Delayed) {
            enqueueTasks(*job, {index}, now);
        } else if (task.phase == TaskPhase::Claiming) {
            m_appender.add(ClaimReleased {key.task, task.claimNonce});
            m_scheduler.release(task.worker, task.attempt);
            scheduleRestart(*job, index, now);
        }
    }
}

void ZoneLeader::handleJobTaskEnded(WorkerLink &link, const AttemptReport &report, const TaskLabel &label, TimePoint now)
{
    if (m_replicatedState.jobs().hasEnded(label.jobId, label.index)) {
        link.acknowledge(report.attempt);
        return;
    }
    auto *job = findJob(label.jobId);
    if (job == nullptr) {
        // The job's record may not have been read yet. The end is stored for loadJob(), as a session reports each end only once.
        m_earlyEnds[report.attempt.task] = {link.vm().name, report};
        return;
    }
    const auto it = job->tasks.find(label.index);
    if (it == job->tasks.end() || it->second.phase == TaskPhase::Recording) {
        return;
    }
    auto &task = it->second;
    const bool isOtherAttempt = (task.phase == TaskPhase::Running || task.phase == TaskPhase::Claiming) && task.attempt != report.attempt;
    if (isOtherAttempt) {
        link.acknowledge(report.attempt);
        return;
    }
    if (task.phase == TaskPhase::Queued) {
        // A former leader had not recorded this end, so this leader queued the task again. Removes it from the queue.
        auto otherTasks = m_scheduler.removeQueued(label.jobId);
        std::erase(otherTasks, label.index);
        enqueueTasks(*job, {otherTasks.begin(), otherTasks.end()}, now);
    }
    task.attempt = report.attempt;
    retryOrRecordEnd(*job, label.index, report.outcome, report.result, now);
    if (job->tasks[label.index].phase != TaskPhase::Recording) {
        link.acknowledge(report.attempt);
    }
}

void ZoneLeader::retryOrRecordEnd(JobProgress &job, int index, TaskOutcome outcome, const std::string &result, TimePoint now)
{
    auto &task = job.tasks[index];
    task.mayHaveRun = true;
    if (job.cancelled) {
        recordEnd(job, index, outcome, result);
        return;
    }
    if (job.spec.kind == JobKind::Service) {
        if (now - task.startedAt > FailureResetAfter) {
            task.failures = 0;
        }
        scheduleRestart(job, index, now);
        return;
    }
    const bool mayRetry = job.spec.repeatable && task.failures + 1 < MaxAttempts;
    const bool isFinal = outcome == TaskOutcome::Done || (outcome == TaskOutcome::Failed && !mayRetry) || !job.spec.repeatable;
    if (isFinal) {
        recordEnd(job, index, outcome, result);
    } else {
        scheduleRestart(job, index, now);
    }
}

void ZoneLeader::handleAttemptLost(const std::string &worker, const AttemptId &attempt, TimePoint now)
{
    m_scheduler.release(worker, attempt);
    m_unansweredStarts.erase(attempt);
    const auto *active = m_shortRequests.active(attempt.task);
    if (active != nullptr && active->attempt == attempt) {
        if (!active->repeatable) {
            m_appender.add(ClaimSettled {attempt.task, TaskOutcome::Unknown, "the worker was lost; the request may have run"});
        }
        m_shortRequests.remove(attempt.task);
        return;
    }
    JobProgress *job = nullptr;
    int index = 0;
    if (findTask(attempt, &job, &index) == nullptr) {
        return;
    }
    if (job->cancelled || !job->spec.repeatable) {
        recordEnd(*job, index, TaskOutcome::Unknown, "the worker was lost; the task may have run");
    } else {
        job->tasks[index].mayHaveRun = true;
        scheduleRestart(*job, index, now);
    }
}

// Records the end of a task of a cancelled job that does not run.
void ZoneLeader::endCancelled(JobProgress &job, int index)
{
    recordEnd(job, index, job.tasks[index].mayHaveRun ? TaskOutcome::Unknown : TaskOutcome::NotRun, "cancelled");
}

void ZoneLeader::recordEnd(JobProgress &job, int index, TaskOutcome outcome, const std::string &result)
{
    constexpr std::size_t MaxResultBytes = 4096;
    job.tasks[index].phase = TaskPhase::Recording;
    m_appender.add(TaskEnded {job.spec.id, index, outcome, result.substr(0, MaxResultBytes)});
}

} // namespace marjoramhaven
