#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// Workers whose entries expired while the log was down are listed again within this time after the log is back.
constexpr Millis UnlistedRetention {8000};
// A task without progress for this long is stopped, or for the given share of its estimated duration if that is longer.
constexpr Millis StuckAfter {2500};
constexpr double StuckShareOfEstimate = 0.35;
// Progress in percent becomes visible in steps of this length, so the limit is extended by it.
constexpr Millis ProgressGranularity {100};
// A list is held back for up to a second, so the worker's clock in the newest list lags behind by that much.
constexpr Millis MaxListAge {1000};
constexpr Millis FailureWindow {10000};
// Time reserved for a draining worker to report the ends of the runs that are stopped on it.
constexpr Millis DrainMargin {800};
constexpr Millis ThrottleTimeout {600};
constexpr Millis ThrottleRetryDelay {150};
constexpr Millis SpeedUpInterval {700};
constexpr double ThrottleAboveRatio = 0.9;
constexpr double SpeedUpBelowRatio = 0.6;
constexpr int SpeedUpStepPercent = 25;
constexpr int FullPercent = 100;

} // namespace

void FleetPlanner::tick(std::int64_t nowUnixMs, TimePoint now)
{
    checkLeadership(now);
    for (const auto &id : m_state.activeJobs) {
        auto &job = *m_state.jobs.at(id);
        if (!job.isEnded() && job.request().repeatCount > 0) {
            job.createDueOccurrences(nowUnixMs + m_limits.earlyStartTolerance.count() / 2);
        }
    }
    for (auto it = m_state.workers.begin(); it != m_state.workers.end();) {
        auto &worker = it->second;
        ++it;
        checkWorker(worker, now);
    }
    // Erasing from m_state.runs would invalidate this loop. No call removes a run whose start request was sent, and only such runs are passed to them.
    for (auto &[key, run] : m_state.runs) {
        settleStart(run, now);
        if (run.stopReason != StopReason::None) {
            trySendStop(run, now);
        } else if (run.state == RunState::Unconfirmed && now >= run.nextStartAt && mayRepeatStart(run, now)) {
            requestStart(run, now);
        } else if (run.state == RunState::Running) {
            checkStuck(run, now);
        }
    }
}

void FleetPlanner::checkLeadership(TimePoint now)
{
    const bool isConfirmed = m_leadership.isValid(now);
    if (isConfirmed == m_isConfirmed) {
        return;
    }
    m_isConfirmed = isConfirmed;
    m_events.write(isConfirmed ? "leadership_confirmed" : "leadership_unconfirmed",
                   {{"fence", m_fencingToken}, {"age_ms", m_leadership.age(now).value_or(Millis(0)).count()}});
    for (auto &[id, worker] : m_state.workers) {
        if (isConfirmed) {
            worker.nextPollAt = std::min(worker.nextPollAt, now);
        }
    }
}

void FleetPlanner::checkWorker(FleetWorker &worker, TimePoint now)
{
    const auto id = worker.report.id;
    std::erase_if(worker.recentFailures, [now](const auto &it) {
        return now - it.first > FailureWindow;
    });
    forgetOldUnansweredStarts(worker, now);
    stopUnansweredStarts(worker, now);
    removeLateLeaseMarks(worker, now);
    sendPollIfDue(worker, now);
    const bool isSilent = worker.failedPolls > 0 || worker.report.host.empty();
    if (isSilent && !worker.allocations.empty() && worker.lease.hasCertainlyExpired(now)) {
        markRunsLost(worker, "worker does not answer and its lease has expired", runsOfUnknownIncarnation(worker, now), now);
    }
    if (worker.report.isDraining) {
        stopRunsOnDrainingWorker(worker, now);
    }
    const bool isUnlisted = !worker.isListed || worker.isEntryUnreadable;
    const bool isIdle = worker.allocations.empty() && worker.unansweredStarts.empty() && !worker.isPollInFlight;
    if (isUnlisted && isIdle && now - worker.unlistedSince > UnlistedRetention) {
        m_state.workers.erase(id);
    }
}

void FleetPlanner::checkStuck(FleetRun &run, TimePoint now)
{
    auto *job = m_state.findJob(run.key.task.job);
    if (job == nullptr || run.state != RunState::Running || run.speedPercent != FullPercent) {
        return;
    }
    const auto &worker = m_state.findOrCreateWorker(run.worker);
    const auto &spec = job->spec(run.key.task.step);
    if (spec.isBestEffort || spec.isGang || worker.failedPolls > 0 || (spec.isLongRunning && run.percent >= FullPercent)) {
        return;
    }
    const auto limit = std::max(StuckAfter, Millis(static_cast<std::int64_t>(static_cast<double>(spec.estimateMs) * StuckShareOfEstimate)));
    // The worker's own clock must have advanced without progress too: this process or the worker may have been paused, or its lists delayed.
    const Millis observed(run.percentChangedClockMs == 0 ? 0 : worker.lastListClockMs - run.percentChangedClockMs);
    if (now - run.percentChangedAt > limit + ProgressGranularity && observed >= limit - MaxListAge) {
        auto &failing = m_state.findOrCreateWorker(run.worker);
        failing.recentFailures.emplace_back(now, job->id());
        failing.avoidUntil = std::max(failing.avoidUntil, now + StuckAfter);
        requestStop(run, StopReason::Stuck, now);
    }
}

int FleetPlanner::unavailableCount(const FleetStep &step) const
{
    int out = 0;
    for (const auto &task : step.tasks) {
        const bool isRunning = std::any_of(task.activeAttempts.begin(), task.activeAttempts.end(), [&](std::int64_t attempt) {
            const auto it = m_state.runs.find({task.id, attempt});
            return it != m_state.runs.end() && it->second.state == RunState::Running && it->second.percent >= FullPercent
                && it->second.stopReason == StopReason::None;
        });
        out += isRunning ? 0 : 1;
    }
    return out;
}

void FleetPlanner::stopRunsOnDrainingWorker(FleetWorker &worker, TimePoint now)
{
    const auto remaining = Millis(worker.report.remainingMs) - (now - worker.drainingSince);
    std::vector<RunKey> keys;
    for (const auto &[key, needs] : worker.allocations) {
        keys.push_back(key);
    }
    for (const auto &key : keys) {
        auto *run = m_state.findRun(key);
        auto *job = m_state.findJob(key.task.job);
        if (run == nullptr || job == nullptr || run->state != RunState::Running || run->stopReason != StopReason::None) {
            continue;
        }
        const auto &spec = job->spec(key.task.step);
        if (spec.isLongRunning) {
            auto *step = job->findStep(key.task.occurrence, key.task.step);
            const bool mayStop = spec.maxUnavailable == 0 || step == nullptr || unavailableCount(*step) < spec.maxUnavailable || run->percent < FullPercent;
            if (mayStop) {
                requestStop(*run, StopReason::WorkerDraining, now);
            }
            continue;
        }
        if (spec.isGang) {
            continue;
        }
        const auto remainingWorkMs = static_cast<double>(spec.estimateMs) * (FullPercent - run->percent) / FullPercent;
        const bool endsInTime = Millis(static_cast<std::int64_t>(remainingWorkMs)) + DrainMargin < remaining;
        const bool mustStop = spec.checkpoints ? remaining < m_limits.stopTime + DrainMargin : !endsInTime;
        if (!endsInTime && mustStop) {
            requestStop(*run, StopReason::WorkerDraining, now);
        }
    }
}

void FleetPlanner::throttleBestEffortRuns(FleetWorker &worker, TimePoint now)
{
    double worstRatio = 0;
    std::vector<FleetRun *> bestEffortRuns;
    for (const auto &[key, needs] : worker.allocations) {
        auto *run = m_state.findRun(key);
        const auto *job = m_state.findJob(key.task.job);
        if (run == nullptr || job == nullptr || run->state != RunState::Running) {
            continue;
        }
        const auto &spec = job->spec(key.task.step);
        if (spec.isBestEffort && run->stopReason == StopReason::None) {
            bestEffortRuns.push_back(run);
        } else if (spec.isLongRunning && spec.latencyTargetMs > 0) {
            worstRatio = std::max(worstRatio, run->usage / static_cast<double>(spec.latencyTargetMs));
        }
    }
    for (auto *run : bestEffortRuns) {
        if (worstRatio > ThrottleAboveRatio) {
            setRunSpeed(*run, 0, now);
        } else if (worstRatio < SpeedUpBelowRatio && now - run->speedChangedAt > SpeedUpInterval) {
            setRunSpeed(*run, std::min(FullPercent, run->speedPercent + SpeedUpStepPercent), now);
        }
    }
}

void FleetPlanner::setRunSpeed(FleetRun &run, int percent, TimePoint now)
{
    const bool isRepetitionDue = !run.isSpeedKnown && now - run.speedChangedAt > ThrottleRetryDelay;
    if ((run.speedPercent == percent && !isRepetitionDue) || run.isThrottleInFlight) {
        return;
    }
    m_events.write("run_paced",
                   {{"task", run.key.task.toString()},
                    {"worker", run.worker},
                    {"from", static_cast<std::int64_t>(run.speedPercent)},
                    {"to", static_cast<std::int64_t>(percent)}});
    run.isThrottleInFlight = true;
    run.speedChangedAt = now;
    const auto &worker = m_state.findOrCreateWorker(run.worker);
    m_port.sendThrottle({worker.target(), run.key.task, run.key.attempt, percent, tokenFor(worker)}, now, ThrottleTimeout);
}

void FleetPlanner::handleThrottleResponse(const ThrottleRunRequest &request, const WorkerResponse &response, TimePoint now)
{
    auto *run = m_state.findRun({request.task, request.attempt});
    if (run == nullptr) {
        return;
    }
    run->isThrottleInFlight = false;
    const bool isDone = response.outcome == WorkerCallOutcome::Done;
    if (response.outcome == WorkerCallOutcome::Unknown || response.sendings > 1) {
        run->speedUncertainUntil = now + m_limits.maxExecutionDelay;
    }
    run->isSpeedKnown = isDone && now >= run->speedUncertainUntil;
    if (isDone) {
        run->speedPercent = request.percent;
        run->percentChangedAt = now;
    }
}

} // namespace marjoramhaven
