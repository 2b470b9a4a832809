#include "marjoramhaven/fleet/FleetPlanner.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

// Jobs are kept for longer than callers may query them, so that a late query still gets its answer.
constexpr Millis RetentionMargin {30000};

} // namespace

void FleetPlanner::jobAccepted(FleetJobRequest request, TimePoint now)
{
    const auto id = request.id;
    if (m_state.jobs.contains(id)) {
        return;
    }
    m_events.write("job_known", {{"id", id}, {"queue", request.queue.name}, {"steps", static_cast<std::int64_t>(request.steps.size())}});
    auto &job = *m_state.jobs.emplace(id, std::make_unique<FleetJob>(std::move(request), now, m_limits.tasksPerPart)).first->second;
    updateQueue(job);
    m_state.activeJobs.insert(id);
    if (m_earlyCancellations.erase(id) > 0) {
        jobCancelled(id, now);
    }
    if (job.request().repeatCount == 0) {
        job.occurrence(0);
    }
}

void FleetPlanner::jobCancelled(const std::string &id, TimePoint now)
{
    auto *job = m_state.findJob(id);
    if (job == nullptr) {
        m_earlyCancellations.insert(id);
        return;
    }
    if (!m_isOpen) {
        job->isCancelRequested = true;
        return;
    }
    if (!job->isEnded()) {
        job->isCancelRequested = true;
        finishJob(*job, FleetJobState::Cancelled, "cancelled by its caller", now);
    }
}

void FleetPlanner::finishJob(FleetJob &job, FleetJobState state, const char *reason, TimePoint now)
{
    job.state = state;
    job.endedAt = now;
    markDirty(job);
    m_events.write("job_ended",
                   {{"id", job.id()},
                    {"state", std::string(nameOf(state))},
                    {"reason", std::string(reason)},
                    {"age_ms", (now - job.acceptedAt()).count()},
                    {"on_time_ms", (job.softDeadline() - job.acceptedAt()).count()}});
    stopRunsOf(job, state == FleetJobState::Cancelled ? StopReason::Cancelled : StopReason::NotNeeded, now);
    scheduleRelease(job);
}

void FleetPlanner::completeJobIfDone(FleetJob &job, TimePoint now)
{
    if (!job.isEnded() && job.hasFinishedAllOccurrences()) {
        finishJob(job, FleetJobState::Completed, "all tasks done", now);
    }
}

void FleetPlanner::scheduleRelease(const FleetJob &job)
{
    if (job.isEnded() && m_state.activeJobs.contains(job.id())) {
        m_jobsToRelease.insert(job.id());
    }
}

void FleetPlanner::releaseEndedJobs()
{
    const auto ending = std::move(m_jobsToRelease);
    m_jobsToRelease.clear();
    for (const auto &it : ending) {
        if (auto *job = m_state.findJob(it)) {
            releaseIfIdle(*job);
        }
    }
}

void FleetPlanner::releaseIfIdle(FleetJob &job)
{
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step.tasks) {
                if (!task.activeAttempts.empty()) {
                    return;
                }
            }
        }
    }
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            m_state.advice.forget(job.id() + "." + std::to_string(number) + "." + std::to_string(step));
        }
    }
    job.releaseTasks();
    m_state.activeJobs.erase(job.id());
    markDirty(job);
}

void FleetPlanner::configurationChanged(const FleetConfiguration &configuration)
{
    m_state.configuration = configuration;
    for (auto &[id, job] : m_state.jobs) {
        updateQueue(*job);
    }
}

void FleetPlanner::updateQueue(FleetJob &job) const
{
    job.currentQueue = m_state.configuration.findAgain(job.request().queue);
}

std::vector<std::string> FleetPlanner::takeExpiredJobs(TimePoint now)
{
    std::vector<std::string> out;
    for (const auto &[id, job] : m_state.jobs) {
        if (job->isEnded() && !m_state.activeJobs.contains(id) && job->endedAt != TimePoint::max()
            && now - job->endedAt > m_limits.statusRetention + RetentionMargin) {
            job->endedAt = TimePoint::max();
            out.push_back(id);
        }
    }
    return out;
}

void FleetPlanner::removeDroppedJob(const std::string &job)
{
    m_state.jobs.erase(job);
    m_dirtyJobs.erase(job);
    m_droppedRecords.push_back(job);
}

std::optional<FleetJobState> FleetPlanner::jobState(const std::string &job) const
{
    const auto it = m_state.jobs.find(job);
    if (it == m_state.jobs.end()) {
        return std::nullopt;
    }
    return it->second->storedState;
}

std::int64_t FleetPlanner::pendingJobCount(const std::string &host, const std::string &prefix) const
{
    // The process that asks may have a newer configuration, with a queue that this one lacks.
    const auto *queue = m_state.configuration.find(host, prefix);
    return std::count_if(m_state.activeJobs.begin(), m_state.activeJobs.end(), [&](const std::string &id) {
        const auto &job = *m_state.jobs.at(id);
        const auto &own = job.request().queue;
        const bool isOfQueue = queue == nullptr ? own.host == host && own.prefix == prefix : job.currentQueue == queue;
        return !job.hasBegun && !job.isEnded() && isOfQueue;
    });
}

} // namespace marjoramhaven
