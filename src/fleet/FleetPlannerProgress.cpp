#include "marjoramhaven/fleet/FleetPlanner.h"

#include <algorithm>
#include <iterator>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

constexpr Millis HoldBackPause {2000};

} // namespace

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

} // namespace marjoramhaven
