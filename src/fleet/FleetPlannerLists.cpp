#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

void FleetPlanner::reconcileRuns(FleetWorker &worker, const PollWorkerResponse &response, std::int64_t requestSequence, TimePoint now)
{
    std::set<RunKey> listed;
    for (const auto &row : response.running) {
        listed.insert({row.task, row.attempt});
        reconcileRunningRun(worker, row, now);
    }
    const auto previousLastSeenEnd = worker.lastSeenEnd;
    for (const auto &row : response.ended) {
        listed.insert({row.task, row.attempt});
        if (row.number > previousLastSeenEnd) {
            worker.lastSeenEnd = std::max(worker.lastSeenEnd, row.number);
            worker.unstoredEnds.emplace_back(row.number, row.task.job);
            m_hasUnstoredEnds = true;
            if (auto *job = m_state.findJob(row.task.job)) {
                job->hasBegun = true;
            }
            endRun({row.task, row.attempt}, row.end, row.checkpoint, worker.report.id, now);
        }
    }
    if (!response.isComplete) {
        m_events.write("worker_list_incomplete", {{"worker", worker.report.id}, {"reason", response.reason}});
        return;
    }
    std::vector<RunKey> absent;
    for (const auto &[key, needs] : worker.allocations) {
        if (!listed.contains(key)) {
            absent.push_back(key);
        }
    }
    for (const auto &key : absent) {
        auto *run = m_state.findRun(key);
        if (run == nullptr) {
            worker.release(key);
        } else {
            reconcileMissingRun(worker, *run, requestSequence, now);
        }
    }
}

void FleetPlanner::reconcileRunningRun(FleetWorker &worker, const RunningRunInfo &row, TimePoint now)
{
    const RunKey key {row.task, row.attempt};
    auto *job = m_state.findJob(row.task.job);
    auto *task = job == nullptr ? nullptr : job->find(row.task);
    auto *run = m_state.findRun(key);
    if (run == nullptr) {
        // The run is not needed any more, but uses the worker's resources until it has ended.
        FleetRun orphan;
        orphan.key = key;
        orphan.worker = worker.report.id;
        orphan.workerStartedUnixMs = worker.startedUnixMs;
        orphan.mayHoldLateLease = !worker.isInventoried || worker.lease.mayBeGrantedLate(now);
        worker.hasMarkedRuns = worker.hasMarkedRuns || orphan.mayHoldLateLease;
        setState(orphan, RunState::Running, now);
        const bool isKnownStep = job != nullptr && row.task.step >= 0 && row.task.step < static_cast<int>(job->request().steps.size());
        RunAllocation unknown;
        unknown.needs = worker.report.capacity;
        unknown.placedAt = now;
        unknown.expectedEnd = now;
        worker.allocate(key, isKnownStep ? FleetState::allocationFor(*job, job->spec(row.task.step), now) : unknown);
        run = &m_state.runs.emplace(key, std::move(orphan)).first->second;
        if (task != nullptr) {
            task->activeAttempts.push_back(row.attempt);
            task->lastAttempt = std::max(task->lastAttempt, row.attempt);
            markDirty(*job, row.task);
        }
        requestStop(*run, StopReason::Orphaned, now);
    }
    if (run->worker != worker.report.id) {
        return;
    }
    if (run->state == RunState::Inherited || run->state == RunState::Unconfirmed) {
        setState(*run, RunState::Running, now);
        run->percentChangedAt = now;
    }
    run->isListed = true;
    if (row.percent != run->percent || run->percentChangedClockMs == 0) {
        run->percentChangedAt = row.percent != run->percent ? now : run->percentChangedAt;
        run->percentChangedClockMs = worker.lastListClockMs;
        run->percent = row.percent;
    }
    run->usage = row.usage;
    if (!row.checkpoint.empty()) {
        run->checkpoint = row.checkpoint;
    }
    if (task != nullptr && !task->isDone) {
        observeRunningRun(*run, worker, *job->findStep(row.task.occurrence, row.task.step), job->spec(row.task.step), now);
    }
    if (const auto reason = owedStop(*run, job, task); reason != StopReason::None && run->stopReason == StopReason::None) {
        requestStop(*run, reason, now);
    } else if (run->isStopAnswered && now - run->stopAnsweredAt > m_limits.stopTime + m_limits.pollWait + PollResponseMargin) {
        // The run goes on although its worker has confirmed the stop.
        run->isStopAnswered = false;
    }
}

// Decides what the absence of a run from a worker's lists means. It proves something only if the poll was sent after the last answer about the run arrived:
// an answer and a list that were under way at the same time may have been made in either order, whatever the times at which they were sent and received.
void FleetPlanner::reconcileMissingRun(FleetWorker &worker, FleetRun &run, std::int64_t requestSequence, TimePoint now)
{
    const RunKey key = run.key;
    switch (run.state) {
    case RunState::Planned:
    case RunState::Starting:
        return;
    case RunState::Inherited:
        // The worker has seen this planner's fencing token, so a start request of the previous leader can't take effect any more. Its next incarnation has not.
        rememberUnansweredStart(worker, key, run.workerStartedUnixMs, now);
        discardUnstartedRun(key, "not listed by its worker after the takeover", Millis(0), now);
        return;
    case RunState::Unconfirmed:
        if (run.isStopAnswered && run.stopAnsweredSequence < requestSequence) {
            discardUnstartedRun(key, "its start request was not answered and it was stopped", Millis(0), now);
        } else if (run.stateSequence < requestSequence && run.stopReason == StopReason::None && !mayRepeatStart(run, now)) {
            requestStop(run, StopReason::Unanswered, now);
        }
        return;
    case RunState::Running:
        if (run.stateSequence < requestSequence) {
            m_events.write("run_vanished",
                           {{"task", key.task.toString()},
                            {"attempt", key.attempt},
                            {"worker", worker.report.id},
                            {"born_ms", worker.startedUnixMs},
                            {"acknowledged", worker.calls.acknowledged()},
                            {"earlier_acknowledged", worker.calls.earlierAcknowledged()},
                            {"earlier_acknowledged_age_ms", worker.calls.earlierAcknowledgedAgeMs(now)},
                            {"lease_age_ms", worker.calls.leaseAgeMs(now)}});
            const auto checkpoint = run.checkpoint;
            endRun(key, RunEnd::LeaseExpired, checkpoint, worker.report.id, now);
        }
        return;
    }
}

} // namespace marjoramhaven
