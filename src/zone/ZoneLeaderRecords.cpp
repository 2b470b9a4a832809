#include <algorithm>

#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven {

void ZoneLeader::cancelJob(const std::string &id, TimePoint now)
{
    auto *job = findJob(id);
    if (job == nullptr || job->cancelled) {
        return;
    }
    job->cancelled = true;
    m_scheduler.removeQueued(id);
    for (auto &[index, task] : job->tasks) {
        if (task.phase == TaskPhase::Queued || task.phase == TaskPhase::Delayed) {
            endCancelled(*job, index);
        } else if (task.phase == TaskPhase::Claiming) {
            m_appender.add(ClaimReleased {taskId(id, index), task.claimNonce});
            m_scheduler.release(task.worker, task.attempt);
            endCancelled(*job, index);
        } else if (task.phase == TaskPhase::Running) {
            stopTask(id, index, now);
        }
    }
}

// Repeats the stops of cancelled tasks that still run, since a stop may be lost or its worker be unreachable for a while.
void ZoneLeader::stopCancelledTasks(TimePoint now)
{
    constexpr Millis StopInterval {1000};
    if (now < m_nextStopAt) {
        return;
    }
    m_nextStopAt = now + StopInterval;
    for (const auto &[id, job] : m_jobs) {
        if (!job.cancelled) {
            continue;
        }
        for (const auto &[index, task] : job.tasks) {
            if (task.phase == TaskPhase::Running) {
                stopTask(id, index, now);
            }
        }
    }
}

void ZoneLeader::stopTask(const std::string &jobId, int index, TimePoint /*now*/)
{
    const auto *job = findJob(jobId);
    if (job == nullptr || !job->tasks.contains(index)) {
        return;
    }
    const auto &task = job->tasks.at(index);
    auto *link = findLink(task.worker);
    if (link == nullptr || !link->isOpen()) {
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    link->service().stop(link->session(), task.attempt, [this, alive, worker = task.worker, attempt = task.attempt](const auto &answer, TimePoint at) {
        if (!alive.expired() && answer && answer->state == AttemptState::Closed) {
            handleNotStarted(worker, attempt, at);
        }
    });
}

void ZoneLeader::onRecord(const LogRecord &record, TimePoint now)
{
    if (const auto *job = std::get_if<JobAccepted>(&record)) {
        loadJob(job->spec.id, now);
    } else if (const auto *cancel = std::get_if<JobCancelled>(&record)) {
        cancelJob(cancel->jobId, now);
    } else if (const auto *claim = std::get_if<ClaimMade>(&record)) {
        handleClaimRecord(*claim, now);
    } else if (const auto *ended = std::get_if<TaskEnded>(&record)) {
        handleTaskEndRecord(*ended);
    } else if (const auto *settled = std::get_if<ClaimSettled>(&record)) {
        handleClaimSettledRecord(*settled, now);
    } else if (std::holds_alternative<ConfigurationPatch>(record) || std::holds_alternative<ConfigurationSnapshot>(record)) {
        onConfigurationChanged();
    }
}

void ZoneLeader::handleTaskEndRecord(const TaskEnded &record)
{
    auto *progress = findJob(record.jobId);
    if (progress == nullptr) {
        return;
    }
    const auto it = progress->tasks.find(record.index);
    if (it != progress->tasks.end()) {
        if (auto *link = findLink(it->second.worker)) {
            link->acknowledge(it->second.attempt);
        }
        progress->tasks.erase(it);
    }
    if (progress->tasks.empty()) {
        m_jobs.erase(record.jobId);
    }
}

void ZoneLeader::handleClaimSettledRecord(const ClaimSettled &record, TimePoint now)
{
    const auto node = m_settlingRequests.extract(record.key);
    auto *link = node.empty() ? nullptr : findLink(node.mapped().worker);
    const auto label = link == nullptr ? std::nullopt : TaskLabel::fromText(node.mapped().report.label);
    if (label) {
        m_deferredAcks.push_back({now + label->deadline + EndedAttemptRetention, node.mapped().worker, node.mapped().report.attempt});
    }
}

std::map<int, std::string> ZoneLeader::runningTasks(const std::string &jobId) const
{
    std::map<int, std::string> out;
    const auto it = m_jobs.find(jobId);
    if (it != m_jobs.end()) {
        for (const auto &[index, task] : it->second.tasks) {
            if (task.phase == TaskPhase::Running) {
                out.emplace(index, task.worker);
            }
        }
    }
    return out;
}

} // namespace marjoramhaven
