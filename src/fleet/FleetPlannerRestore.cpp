#include "marjoramhaven/fleet/FleetPlanner.h"

#include <algorithm>

namespace marjoramhaven {

void FleetPlanner::restoreJob(FleetJobRequest request, std::int64_t nowUnixMs, TimePoint now)
{
    const auto age = std::clamp<std::int64_t>(nowUnixMs - request.acceptedUnixMs, 0, m_limits.statusRetention.count());
    const auto id = request.id;
    if (!m_state.jobs.contains(id)) {
        updateQueue(*m_state.jobs.emplace(id, std::make_unique<FleetJob>(std::move(request), now - Millis(age), m_limits.tasksPerPart)).first->second);
    }
}

void FleetPlanner::restoreProgress(const JobRecord &record, TimePoint now)
{
    auto *job = m_state.findJob(record.job);
    if (job == nullptr) {
        m_droppedRecords.push_back(progressKey(record.job, record.part));
        return;
    }
    if (!job->restore(record)) {
        return;
    }
    job->endedAt = now;
    for (const auto &row : record.tasks) {
        if (job->find({record.job, row.occurrence, row.step, row.index}) == nullptr) {
            continue;
        }
        for (const auto &it : row.runs) {
            FleetRun run;
            run.key = {{record.job, row.occurrence, row.step, row.index}, it.attempt};
            run.worker = it.worker;
            run.workerStartedUnixMs = it.workerStartedUnixMs;
            run.state = RunState::Inherited;
            run.stopReason = it.isOrphaned ? StopReason::Orphaned : StopReason::None;
            run.mayHoldLateLease = it.mayHoldLateLease;
            run.mayStartLate = it.mayStartLate;
            run.isSpeedKnown = false;
            run.stateSince = now;
            auto &worker = m_state.findOrCreateWorker(it.worker);
            const auto &spec = job->spec(row.step);
            auto allocation = FleetState::allocationFor(*job, spec, now);
            allocation.isStopping = it.isOrphaned;
            allocation.stoppingSince = now;
            allocation.expectedEnd = now;
            worker.allocate(run.key, allocation);
            worker.hasMarkedRuns = worker.hasMarkedRuns || run.mayHoldLateLease;
            m_state.runs.emplace(run.key, std::move(run));
        }
        restoreGivenUpStarts(record.job, row, now);
    }
}

void FleetPlanner::startPlanning(TimePoint now)
{
    m_isOpen = true;
    m_openedAt = now;
    for (auto &[id, job] : m_state.jobs) {
        if (m_earlyCancellations.erase(id) > 0 && !job->isEnded()) {
            job->isCancelRequested = true;
        }
        m_state.activeJobs.insert(id);
        if (!job->isEnded() && job->request().repeatCount == 0) {
            job->occurrence(0);
        }
        if (!job->isEnded()) {
            job->alignGangs();
        }
        if (job->hasChanges()) {
            markDirty(*job);
        }
        if (job->isCancelRequested && !job->isEnded()) {
            finishJob(*job, FleetJobState::Cancelled, "cancelled before the takeover", now);
        }
        scheduleRelease(*job);
    }
    // An earlier leader was confirmed before its end, and may be granting leases where this one can't reach.
    const auto lastLeaseEnd = m_earlierLeadersEndedAt.value_or(now) + LeadershipConfirmation::longestLease(m_limits.leadershipBound, m_limits.lease);
    for (auto &[id, worker] : m_state.workers) {
        worker.lease.assumeGrantedUntil(lastLeaseEnd);
        // Their age is not stored; they were sent before this planner opened.
        for (auto &it : worker.unansweredStarts) {
            it.since = now;
            it.firstSince = now;
        }
        if (mayHoldInheritedLateLease(worker)) {
            assumeLateLease(worker, now);
        }
    }
    m_events.write("planner_open",
                   {{"fence", m_fencingToken},
                    {"jobs", static_cast<std::int64_t>(m_state.jobs.size())},
                    {"runs", static_cast<std::int64_t>(m_state.runs.size())},
                    {"workers", static_cast<std::int64_t>(m_state.workers.size())}});
}

} // namespace marjoramhaven
