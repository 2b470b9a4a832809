#include "marjoramhaven/fleet/FleetPlanner.h"

#include <algorithm>
#include <iterator>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// Jobs are kept for longer than callers may query them, so that a late query still gets its answer.
constexpr Millis RetentionMargin {30000};
constexpr Millis HoldBackPause {2000};

} // namespace

FleetPlanner::FleetPlanner(PlannerTransport &port, EventLog &events, PlannerLimits limits, std::int64_t fencingToken, TimePoint now)
    : m_port(port)
    , m_events(events)
    , m_limits(limits)
    , m_fencingToken(fencingToken)
    , m_newestToken(fencingToken)
    , m_openedAt(now)
    , m_leadership(limits.leadershipBound)
    , m_placer(m_state, *this)
{
}

FleetPlanner::~FleetPlanner() = default;

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
    // An earlier leader was confirmed before this planner opened, and may be granting leases where this one can't reach.
    const auto longest = LeadershipConfirmation::longestLease(m_limits.leadershipBound, m_limits.lease);
    for (auto &[id, worker] : m_state.workers) {
        worker.lease.assumeGrantedUntil(now + longest);
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

void FleetPlanner::confirmLeadership(TimePoint asOf, TimePoint now)
{
    m_leadership.confirm(asOf);
    checkLeadership(now);
}

void FleetPlanner::raiseFencingToken(std::int64_t token)
{
    m_newestToken = std::max(m_newestToken, token);
}

void FleetPlanner::markDirty(FleetJob &job)
{
    m_dirtyJobs.insert(job.id());
}

void FleetPlanner::markDirty(FleetJob &job, const FleetTaskId &task)
{
    job.markChanged(task);
    markDirty(job);
}

void FleetPlanner::holdBack(FleetJob &job, TimePoint now)
{
    m_events.write("job_held_back", {{"id", job.id()}, {"reason", std::string("the log refuses its progress")}});
    job.heldBackUntil = now + HoldBackPause;
    job.markAllChanged();
    markDirty(job);
    std::vector<RunKey> unsent;
    for (const auto &[key, run] : m_state.runs) {
        if (key.task.job == job.id() && run.state == RunState::Planned) {
            unsent.push_back(key);
        }
    }
    for (const auto &key : unsent) {
        discardUnstartedRun(key, "its record is not stored", HoldBackPause, now);
    }
}

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

void FleetPlanner::addAdvisorProxy(const std::string &proxy)
{
    m_state.advice.addProxy(proxy);
}

void FleetPlanner::removeAdvisorProxy(const std::string &proxy)
{
    m_state.advice.removeProxy(proxy);
}

void FleetPlanner::plan(TimePoint now)
{
    if (m_isOpen) {
        releaseEndedJobs();
        m_possibleStarts = possibleStarts();
        m_placer.plan(now);
    }
}

void FleetPlanner::reportWaiting(const WaitingStepReport &report)
{
    m_events.write("step_waits",
                   {{"step", report.step},
                    {"waiting", static_cast<std::int64_t>(report.waitingTasks)},
                    {"waited_ms", report.waited.count()},
                    {"workers", report.workers}});
}

void FleetPlanner::handleAdviceResponse(const AdviceRequest &request, const AdviceResponse &response, TimePoint now)
{
    m_events.write("advice",
                   {{"step", request.step},
                    {"helper", request.proxy},
                    {"asked", static_cast<std::int64_t>(request.workers.size())},
                    {"allowed", static_cast<std::int64_t>(response.allowed.size())},
                    {"answered", static_cast<std::int64_t>(response.isAnswered)},
                    {"reason", response.reason}});
    m_state.advice.handleResponse(request.proxy, request.step, response, now);
}

ProgressBatch FleetPlanner::takeBatch(TimePoint now)
{
    ProgressBatch out;
    if (!hasUnstoredChanges()) {
        return out;
    }
    out.number = ++m_batchNumber;
    m_batch = std::make_unique<Batch>();
    out.dropped = std::move(m_droppedRecords);
    m_droppedRecords.clear();
    const auto locateGivenUp = givenUpStartLocator();
    for (auto it = m_dirtyJobs.begin(); it != m_dirtyJobs.end();) {
        auto *job = m_state.findJob(*it);
        if (job != nullptr && job->heldBackUntil && now < *job->heldBackUntil) {
            ++it;
            continue;
        }
        if (job != nullptr) {
            auto progress = job->takeProgress(runLocator(), locateGivenUp);
            std::move(progress.records.begin(), progress.records.end(), std::back_inserter(out.records));
            std::move(progress.deletedKeys.begin(), progress.deletedKeys.end(), std::back_inserter(out.dropped));
            m_batch->storedStates.emplace_back(*it, job->state);
        }
        it = m_dirtyJobs.erase(it);
    }
    for (auto &[key, run] : m_state.runs) {
        if (run.state == RunState::Planned && !m_dirtyJobs.contains(key.task.job)) {
            m_batch->starts.push_back(key);
        }
    }
    for (const auto &[id, worker] : m_state.workers) {
        const auto last = worker.lastEndBefore(m_dirtyJobs);
        if (last > worker.lastStoredEnd) {
            m_batch->ends.push_back({id, worker.startedUnixMs, last});
        }
    }
    m_hasUnstoredEnds = false;
    if (out.isEmpty()) {
        // Ended runs that change no job need no record; their workers may discard them at once.
        batchStored(out.number, now);
    }
    return out;
}

RunLocator FleetPlanner::runLocator() const
{
    return [this](const FleetTaskId &task, std::int64_t attempt) {
        const auto it = m_state.runs.find({task, attempt});
        if (it == m_state.runs.end()) {
            return RunRecord {attempt, {}, 0};
        }
        const auto &run = it->second;
        return RunRecord {attempt, run.worker, run.workerStartedUnixMs, run.stopReason == StopReason::Orphaned, run.mayHoldLateLease, run.mayStartLate};
    };
}

std::optional<JobRecord> FleetPlanner::progressOf(const std::string &job) const
{
    const auto it = m_state.jobs.find(job);
    return it == m_state.jobs.end() ? std::nullopt : std::optional(it->second->record(runLocator(), givenUpStartLocator()));
}

void FleetPlanner::batchStored(std::int64_t number, TimePoint now, const std::set<std::string> &refused)
{
    if (!m_batch || number != m_batchNumber) {
        return;
    }
    const auto batch = std::move(m_batch);
    for (const auto &[id, state] : batch->storedStates) {
        auto *job = m_state.findJob(id);
        if (job != nullptr && refused.contains(id)) {
            holdBack(*job, now);
        } else if (job != nullptr) {
            job->storedState = state;
            job->heldBackUntil.reset();
        }
    }
    for (const auto &it : batch->ends) {
        auto &worker = m_state.findOrCreateWorker(it.worker);
        const auto last = std::min(it.number, worker.lastEndBefore(refused));
        if (worker.startedUnixMs == it.startedUnixMs && last > worker.lastStoredEnd) {
            worker.acknowledgeEnds(last);
            worker.nextPollAt = std::min(worker.nextPollAt, now);
        }
    }
    for (const auto &key : batch->starts) {
        auto *run = m_state.findRun(key);
        if (run != nullptr && run->state == RunState::Planned && !refused.contains(key.task.job)) {
            sendStart(*run, now);
        }
    }
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
