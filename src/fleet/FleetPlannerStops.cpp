#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

constexpr Millis StopTimeout {600};
constexpr Millis StopRetryDelay {150};

} // namespace

// Each reason here follows from the stored state of the job and from what workers list, so a leader that takes over finds the stops that are owed by itself.
StopReason FleetPlanner::owedStop(const FleetRun &run, FleetJob *job, const FleetTask *task)
{
    if (job == nullptr || task == nullptr) {
        return StopReason::Orphaned;
    }
    if (job->isEnded()) {
        return job->state == FleetJobState::Cancelled ? StopReason::Cancelled : StopReason::NotNeeded;
    }
    if (task->isDone) {
        return StopReason::NotNeeded;
    }
    // The members of a gang work only together, so one without the others waits in vain.
    const bool isGang = job->spec(run.key.task.step).isGang;
    const bool isBroken = isGang && !job->findStep(run.key.task.occurrence, run.key.task.step)->areAllActive(run.key.attempt);
    return isBroken ? StopReason::GangBroken : StopReason::None;
}

std::int64_t FleetPlanner::otherRunsAtWork(const FleetRun &run) const
{
    const auto job = m_state.jobs.find(run.key.task.job);
    const auto *task = job == m_state.jobs.end() ? nullptr : job->second->find(run.key.task);
    if (task == nullptr) {
        return 0;
    }
    return std::count_if(task->activeAttempts.begin(), task->activeAttempts.end(), [&](std::int64_t attempt) {
        const auto it = m_state.runs.find({run.key.task, attempt});
        return attempt != run.key.attempt && it != m_state.runs.end() && it->second.state == RunState::Running;
    });
}

void FleetPlanner::requestStop(FleetRun &run, StopReason reason, TimePoint now)
{
    if (run.stopReason == StopReason::None) {
        run.stopReason = reason;
        auto &allocations = m_state.findOrCreateWorker(run.worker).allocations;
        if (const auto it = allocations.find(run.key); it != allocations.end()) {
            it->second.isStopping = true;
            it->second.stoppingSince = now;
        }
        m_events.write("run_stop",
                       {{"task", run.key.task.toString()},
                        {"attempt", run.key.attempt},
                        {"worker", run.worker},
                        {"reason", std::string(nameOf(reason))},
                        {"born_ms", run.workerStartedUnixMs},
                        {"others_at_work", otherRunsAtWork(run)},
                        {"percent", static_cast<std::int64_t>(run.percent)}});
    }
    if (run.state == RunState::Planned) {
        discardUnstartedRun(RunKey(run.key), "stopped before the start request was sent", Millis(0), now);
        return;
    }
    trySendStop(run, now);
}

void FleetPlanner::trySendStop(FleetRun &run, TimePoint now)
{
    // While a start request is in flight, the stop waits for its answer, so that the stop can't overtake the start.
    if (run.state == RunState::Starting || run.isStopInFlight || run.isStopAnswered || now < run.nextStopAt) {
        return;
    }
    const auto &worker = m_state.findOrCreateWorker(run.worker);
    if (worker.report.host.empty()) {
        return;
    }
    run.isStopInFlight = true;
    m_port.sendStop({worker.target(), run.key.task, run.key.attempt, tokenFor(worker), run.workerStartedUnixMs}, now, StopTimeout);
}

void FleetPlanner::handleStopResponse(const StopRunRequest &request, const WorkerResponse &response, TimePoint now)
{
    const RunKey key {request.task, request.attempt};
    auto *run = m_state.findRun(key);
    if (run == nullptr) {
        auto &worker = m_state.findOrCreateWorker(request.worker.id);
        for (auto &it : worker.unansweredStarts) {
            if (it.key == key) {
                it.isStopInFlight = false;
                it.mustStop = it.mustStop && (response.outcome != WorkerCallOutcome::Done || request.workerStartedUnixMs != worker.startedUnixMs);
                it.nextStopAt = now + StopRetryDelay;
            }
        }
        return;
    }
    run->isStopInFlight = false;
    auto &worker = m_state.findOrCreateWorker(run->worker);
    if (response.outcome == WorkerCallOutcome::Done && request.workerStartedUnixMs == run->workerStartedUnixMs) {
        for (auto &it : worker.unansweredStarts) {
            it.mustStop = it.mustStop && !(it.key == key && request.workerStartedUnixMs == worker.startedUnixMs);
        }
        run->isStopAnswered = true;
        run->stopAnsweredSequence = ++m_sequence;
        run->stopAnsweredAt = now;
        worker.nextPollAt = std::min(worker.nextPollAt, now);
        return;
    }
    if (response.outcome == WorkerCallOutcome::Fenced && !isOwnFence(request.fencingToken, worker)) {
        m_port.fencedByWorker(request.worker.id);
    }
    run->nextStopAt = now + StopRetryDelay;
}

void FleetPlanner::stopRunsOf(FleetJob &job, StopReason reason, TimePoint now)
{
    std::vector<RunKey> keys;
    for (const auto &[number, occurrence] : job.occurrences()) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step.tasks) {
                for (const auto attempt : task.activeAttempts) {
                    keys.push_back({task.id, attempt});
                }
            }
        }
    }
    for (const auto &key : keys) {
        auto *run = m_state.findRun(key);
        if (run != nullptr) {
            requestStop(*run, reason, now);
        }
    }
}

void FleetPlanner::stopGang(FleetJob &job, FleetStep &step, TimePoint now)
{
    std::vector<RunKey> keys;
    for (const auto &task : step.tasks) {
        for (const auto attempt : task.activeAttempts) {
            keys.push_back({task.id, attempt});
        }
    }
    for (const auto &key : keys) {
        auto *run = m_state.findRun(key);
        if (run != nullptr && run->stopReason == StopReason::None) {
            requestStop(*run, job.isEnded() ? StopReason::NotNeeded : StopReason::GangBroken, now);
        }
    }
}

} // namespace marjoramhaven
