#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// A worker that fails runs of this many jobs, with no completed run in between, gets no new runs for a while.
constexpr std::size_t FailedJobsToAvoid = 2;
constexpr Millis AvoidAfterFailures {4000};
// While urgent tasks keep arriving, a preempted task that starts again at once is soon preempted again and only wastes its start and its stop.
constexpr Millis PauseAfterPreemption {100};

} // namespace

void FleetPlanner::setState(FleetRun &run, RunState state, TimePoint now)
{
    run.state = state;
    run.stateSince = now;
    run.stateSequence = ++m_sequence;
    auto *job = state == RunState::Running ? m_state.findJob(run.key.task.job) : nullptr;
    if (job != nullptr) {
        job->hasBegun = true;
    }
}

FleetRun &FleetPlanner::createRun(FleetJob &job, FleetTask &task, FleetWorker &worker, std::int64_t attempt, TimePoint now)
{
    FleetRun run;
    run.key = {task.id, attempt};
    run.worker = worker.report.id;
    run.workerStartedUnixMs = worker.startedUnixMs;
    run.mayHoldLateLease = worker.lease.mayBeGrantedLate(now);
    worker.hasMarkedRuns = worker.hasMarkedRuns || run.mayHoldLateLease;
    setState(run, RunState::Planned, now);
    run.percentChangedAt = now;
    run.checkpoint = task.checkpoint;
    run.startedFromCheckpoint = task.checkpoint;
    task.lastAttempt = attempt;
    task.activeAttempts.push_back(attempt);
    const auto &spec = job.spec(task.id.step);
    run.mayStartLate = !spec.isLongRunning;
    worker.allocate(run.key, FleetState::allocationFor(job, spec, now));
    if (job.state == FleetJobState::Queued) {
        job.state = FleetJobState::Running;
    }
    markDirty(job, task.id);
    const auto earlier = m_possibleStarts.find(task.id);
    const auto possible = earlier == m_possibleStarts.end() ? PossibleStarts {} : earlier->second;
    m_events.write("run_placed",
                   {{"task", task.id.toString()},
                    {"attempt", attempt},
                    {"worker", run.worker},
                    {"answer_age_ms", (now - worker.lastResponseAt).count()},
                    {"cpu_left", worker.report.capacity.cpuMilli - worker.used.cpuMilli},
                    {"possible_starts", possible.count},
                    {"newest_possible_start", possible.newestWorker},
                    {"job_age_ms", (now - job.acceptedAt()).count()},
                    {"resumes", static_cast<std::int64_t>(!run.checkpoint.empty())}});
    return m_state.runs.emplace(run.key, std::move(run)).first->second;
}

void FleetPlanner::discardUnstartedRun(const RunKey &key, const char *reason, Millis pause, TimePoint now)
{
    auto *job = m_state.findJob(key.task.job);
    auto *task = job == nullptr ? nullptr : job->find(key.task);
    removeRun(key);
    if (task == nullptr) {
        return;
    }
    m_events.write("run_not_started", {{"task", key.task.toString()}, {"attempt", key.attempt}, {"reason", std::string(reason)}});
    task->notBefore = std::max(task->notBefore, now + pause);
    if (job->spec(key.task.step).isGang) {
        stopGang(*job, *job->findStep(key.task.occurrence, key.task.step), now);
    }
    scheduleRelease(*job);
}

void FleetPlanner::removeRun(const RunKey &key)
{
    const auto it = m_state.runs.find(key);
    if (it == m_state.runs.end()) {
        return;
    }
    m_state.findOrCreateWorker(it->second.worker).release(key);
    auto *job = m_state.findJob(key.task.job);
    auto *task = job == nullptr ? nullptr : job->find(key.task);
    if (task != nullptr) {
        std::erase(task->activeAttempts, key.attempt);
        markDirty(*job, key.task);
    }
    m_state.runs.erase(it);
}

void FleetPlanner::endRun(const RunKey &key, RunEnd end, const std::string &checkpoint, const std::string &worker, TimePoint now)
{
    auto *job = m_state.findJob(key.task.job);
    auto *run = m_state.findRun(key);
    const bool isKnown = run != nullptr && run->worker == worker;
    m_events.write("run_ended",
                   {{"task", key.task.toString()},
                    {"attempt", key.attempt},
                    {"worker", worker},
                    {"end", std::string(nameOf(end))},
                    {"ran_ms", isKnown ? (now - run->stateSince).count() : std::int64_t(-1)}});
    const bool isPreempted = isKnown && run->stopReason == StopReason::Preempted;
    if (isKnown && end == RunEnd::Done && job != nullptr && job->find(key.task) != nullptr) {
        observeFinishedRun(*run, *job->findStep(key.task.occurrence, key.task.step), now);
    }
    if (isKnown) {
        removeRun(key);
    }
    auto *task = job == nullptr ? nullptr : job->find(key.task);
    if (task == nullptr) {
        return;
    }
    auto &step = *job->findStep(key.task.occurrence, key.task.step);
    const auto &spec = job->spec(key.task.step);
    markDirty(*job, key.task);
    if (isPreempted) {
        task->notBefore = std::max(task->notBefore, now + PauseAfterPreemption);
    }
    const bool isStorable = checkpoint.size() <= m_limits.maxCheckpointBytes;
    if (!isStorable) {
        m_events.write("checkpoint_not_kept",
                       {{"task", key.task.toString()},
                        {"bytes", static_cast<std::int64_t>(checkpoint.size())},
                        {"limit", static_cast<std::int64_t>(m_limits.maxCheckpointBytes)}});
    }
    if (isKnown && !checkpoint.empty() && isStorable && !task->isDone) {
        task->checkpoint = checkpoint;
        if (spec.isGang) {
            job->markStepChanged(key.task.occurrence, key.task.step);
            for (auto &it : step.tasks) {
                it.checkpoint = checkpoint;
            }
        }
    }
    if (end == RunEnd::Done && !spec.isLongRunning) {
        m_state.findOrCreateWorker(worker).recentFailures.clear();
        if (spec.isGang) {
            for (auto &it : step.tasks) {
                markTaskDone(*job, it, now);
            }
        } else {
            markTaskDone(*job, *task, now);
        }
        completeJobIfDone(*job, now);
    } else if (end == RunEnd::Failed) {
        recordTaskFailure(*job, *task, key.attempt, worker, now);
    }
    if (spec.isGang && !step.isDone() && isKnown) {
        stopGang(*job, step, now);
    }
    scheduleRelease(*job);
}

void FleetPlanner::markTaskDone(FleetJob &job, FleetTask &task, TimePoint now)
{
    if (task.isDone) {
        return;
    }
    task.isDone = true;
    task.checkpoint.clear();
    markDirty(job, task.id);
    auto &step = *job.findStep(task.id.occurrence, task.id.step);
    ++step.doneCount;
    const auto attempts = task.activeAttempts;
    for (const auto attempt : attempts) {
        auto *run = m_state.findRun({task.id, attempt});
        // The other members of a gang end by themselves.
        if (run != nullptr && !job.spec(task.id.step).isGang) {
            requestStop(*run, StopReason::NotNeeded, now);
        }
    }
    if (step.isDone()) {
        m_state.advice.forget(job.id() + "." + std::to_string(task.id.occurrence) + "." + std::to_string(task.id.step));
    }
}

void FleetPlanner::recordTaskFailure(FleetJob &job, FleetTask &task, std::int64_t attempt, const std::string &workerId, TimePoint now)
{
    auto &worker = m_state.findOrCreateWorker(workerId);
    const bool isNewJob = std::none_of(worker.recentFailures.begin(), worker.recentFailures.end(), [&](const auto &it) {
        return it.second == job.id();
    });
    if (isNewJob) {
        worker.recentFailures.emplace_back(now, job.id());
    }
    if (worker.recentFailures.size() >= FailedJobsToAvoid && worker.avoidUntil < now) {
        worker.avoidUntil = now + AvoidAfterFailures;
        m_events.write("worker_avoided", {{"worker", workerId}, {"failed_jobs", static_cast<std::int64_t>(worker.recentFailures.size())}});
    }
    if (task.isDone || job.isEnded()) {
        return;
    }
    task.failedOn.insert(workerId);
    const auto &spec = job.spec(task.id.step);
    if (spec.isLongRunning) {
        return;
    }
    task.addFailure(attempt);
    markDirty(job, task.id);
    if (spec.isGang) {
        // The members of a gang fail together.
        job.markStepChanged(task.id.occurrence, task.id.step);
        for (auto &it : job.findStep(task.id.occurrence, task.id.step)->tasks) {
            it.addFailure(attempt);
        }
    }
    if (task.failureCount() >= FleetState::queueOf(job).maxAttempts) {
        finishJob(job, FleetJobState::Failed, "a task reached its maximum number of failed attempts", now);
    }
}

} // namespace marjoramhaven
