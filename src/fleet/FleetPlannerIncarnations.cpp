#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

constexpr Millis UnansweredStopTimeout {600};
// Short runs end before their records are written again because of this.
constexpr Millis StartSettleTime {3000};

} // namespace

void FleetPlanner::handleWorkerRestart(FleetWorker &worker, std::int64_t startedUnixMs, TimePoint now)
{
    rememberInheritedStarts(worker, now);
    const auto kept = startedUnixMs == 0 ? std::vector<RunKey> {} : keepUnlistedRuns(worker, startedUnixMs, now);
    markRunsLost(worker, "worker restarted", kept, now);
    oweStopsOfUnansweredStarts(worker, now);
    forgetIncarnation(worker, now);
    worker.rememberIncarnation();
    worker.startedUnixMs = startedUnixMs;
    if (worker.bindingToken > 0) {
        worker.requiredToken = worker.bindingToken + 1;
        assumeLateLease(worker, now);
    }
    stopUnansweredStarts(worker, now);
}

// The previous leader may have sent the start request of a run that no list has shown just before the takeover.
void FleetPlanner::rememberInheritedStarts(FleetWorker &worker, TimePoint now)
{
    for (const auto &[key, needs] : worker.allocations) {
        const auto *run = m_state.findRun(key);
        if (run != nullptr && run->state == RunState::Inherited) {
            rememberUnansweredStart(worker, key, run->workerStartedUnixMs, now);
        }
    }
}

// The new incarnation may have received a start request that is not answered yet, or whose answer came before the restart was known. Such a run is kept until
// the new incarnation has confirmed or stopped it. Returns these runs.
std::vector<RunKey> FleetPlanner::keepUnlistedRuns(FleetWorker &worker, std::int64_t startedUnixMs, TimePoint now)
{
    std::vector<RunKey> kept;
    for (const auto &[key, needs] : worker.allocations) {
        auto *run = m_state.findRun(key);
        const bool isAnswered = run != nullptr && run->state == RunState::Running && !run->isListed;
        const bool isUnanswered = run != nullptr && (run->state == RunState::Starting || run->state == RunState::Unconfirmed);
        if (!isAnswered && !isUnanswered) {
            continue;
        }
        if (isAnswered) {
            setState(*run, RunState::Unconfirmed, now);
        }
        run->workerStartedUnixMs = startedUnixMs;
        run->mayHoldLateLease = true;
        const auto *owner = m_state.findJob(key.task.job);
        run->mayStartLate = owner != nullptr && !owner->spec(key.task.step).isLongRunning;
        worker.hasMarkedRuns = true;
        run->isStopAnswered = false;
        // The new incarnation may be of another kind.
        run->repeatStartUntil = {};
        kept.push_back(key);
        if (auto *job = m_state.findJob(key.task.job)) {
            markDirty(*job, key.task);
        }
    }
    return kept;
}

// A stop that an earlier incarnation confirmed binds the present one to nothing.
void FleetPlanner::oweStopsOfUnansweredStarts(FleetWorker &worker, TimePoint now)
{
    for (auto &it : worker.unansweredStarts) {
        it.mustStop = true;
        it.isStopInFlight = false;
        it.nextStopAt = now;
    }
}

// Forgets what the earlier incarnation said of its clock, its lists and its speed; the next list is due at once.
void FleetPlanner::forgetIncarnation(FleetWorker &worker, TimePoint now)
{
    worker.lease.reset();
    worker.answeredToken = 0;
    worker.calls.restarted();
    worker.lastStoredEnd = 0;
    worker.lastSeenEnd = 0;
    worker.unstoredEnds.clear();
    worker.lastListClockMs = 0;
    worker.isInventoried = false;
    worker.wasInventoried = false;
    worker.nextPollAt = now;
    worker.recentFailures.clear();
    m_state.speeds.forget(worker.report.id);
}

// A late request carries a lease end on the clock of an earlier incarnation. The present one limits it to the longest lease from its arrival.
void FleetPlanner::assumeLateLease(FleetWorker &worker, TimePoint now) const
{
    worker.lease.assumeLateGrantUntil(now + LeadershipConfirmation::longestLease(Millis(0), m_limits.maxLease));
}

void FleetPlanner::removeLateLeaseMarks(FleetWorker &worker, TimePoint now)
{
    if (!worker.hasMarkedRuns || !worker.isInventoried || worker.lease.mayBeGrantedLate(now)) {
        return;
    }
    worker.hasMarkedRuns = false;
    for (const auto &[key, needs] : worker.allocations) {
        auto *run = m_state.findRun(key);
        auto *job = m_state.findJob(key.task.job);
        if (run == nullptr || !run->mayHoldLateLease) {
            continue;
        }
        run->mayHoldLateLease = false;
        if (job != nullptr && job->find(key.task) != nullptr) {
            markDirty(*job, key.task);
        }
    }
}

void FleetPlanner::settleStart(FleetRun &run, TimePoint now)
{
    if (!run.mayStartLate || !run.isListed || now - run.stateSince < StartSettleTime) {
        return;
    }
    const auto &worker = m_state.findOrCreateWorker(run.worker);
    const bool isUnanswered = std::any_of(worker.unansweredStarts.begin(), worker.unansweredStarts.end(), [&run](const auto &it) {
        return it.key == run.key;
    });
    // What became of the requests of the previous leader is not known.
    const bool isInherited = run.startSendings == 0;
    if (isUnanswered || (isInherited && now - m_openedAt <= m_limits.maxExecutionDelay)) {
        return;
    }
    run.mayStartLate = false;
    auto *job = m_state.findJob(run.key.task.job);
    if (job != nullptr && job->find(run.key.task) != nullptr) {
        markDirty(*job, run.key.task);
    }
}

bool FleetPlanner::mayHoldInheritedLateLease(const FleetWorker &worker) const
{
    return std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto &it) {
        const auto run = m_state.runs.find(it.first);
        const bool isInherited = run != m_state.runs.end() && run->second.state == RunState::Inherited;
        return isInherited && (run->second.mayHoldLateLease || namesOtherIncarnation(worker, run->second));
    });
}

bool FleetPlanner::namesOtherIncarnation(const FleetWorker &worker, const FleetRun &run)
{
    return !worker.report.host.empty() && worker.report.startedUnixMs != run.workerStartedUnixMs;
}

bool FleetPlanner::wasOpenForLong(const FleetWorker &worker, std::int64_t startedUnixMs) const
{
    return std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto &it) {
        const auto run = m_state.runs.find(it.first);
        return run != m_state.runs.end() && run->second.state == RunState::Inherited && run->second.workerStartedUnixMs == startedUnixMs
            && !run->second.mayHoldLateLease;
    });
}

std::vector<RunKey> FleetPlanner::runsOfUnknownIncarnation(const FleetWorker &worker, TimePoint now) const
{
    const auto longest = LeadershipConfirmation::longestLease(Millis(0), m_limits.maxLease);
    std::vector<RunKey> out;
    for (const auto &[key, needs] : worker.allocations) {
        const auto run = m_state.runs.find(key);
        const bool isAnswered = run != m_state.runs.end() && run->second.startAnsweredAt && !run->second.isListed;
        if (isAnswered && now < *run->second.startAnsweredAt + longest) {
            out.push_back(key);
        }
    }
    return out;
}

void FleetPlanner::rememberUnansweredStart(FleetWorker &worker, const RunKey &key, std::int64_t workerStartedUnixMs, TimePoint now)
{
    auto since = now;
    auto firstSince = now;
    std::erase_if(worker.unansweredStarts, [&](const auto &it) {
        if (it.key == key) {
            since = std::max(since, it.since);
            firstSince = std::min(firstSince, it.firstSince);
        }
        return it.key == key;
    });
    worker.unansweredStarts.push_back({key, since, firstSince, worker.startedUnixMs != workerStartedUnixMs, false, now});
    markGivenUpStartChanged(key);
}

void FleetPlanner::forgetOldUnansweredStarts(FleetWorker &worker, TimePoint now)
{
    std::erase_if(worker.unansweredStarts, [this, now](const auto &it) {
        const bool isOld = now - it.since > m_limits.maxExecutionDelay;
        if (isOld) {
            markGivenUpStartChanged(it.key);
        }
        return isOld;
    });
}

void FleetPlanner::setReplaced(FleetWorker &worker, bool isReplaced)
{
    if (worker.isReplaced == isReplaced) {
        return;
    }
    worker.isReplaced = isReplaced;
    for (const auto &it : worker.unansweredStarts) {
        markGivenUpStartChanged(it.key);
    }
}

void FleetPlanner::markGivenUpStartChanged(const RunKey &key)
{
    auto *job = m_state.findJob(key.task.job);
    const auto *task = job == nullptr ? nullptr : job->find(key.task);
    if (task != nullptr && !task->isDone) {
        markDirty(*job, key.task);
    }
}

void FleetPlanner::restoreGivenUpStarts(const std::string &job, const TaskRecord &row, TimePoint now)
{
    for (const auto &it : row.givenUpStarts) {
        const RunKey key {{job, row.occurrence, row.step, row.index}, it.attempt};
        m_state.findOrCreateWorker(it.worker).unansweredStarts.push_back({key, now, now, false, false, now});
    }
}

GivenUpStartLocator FleetPlanner::givenUpStartLocator() const
{
    std::map<FleetTaskId, std::vector<GivenUpStartRecord>> starts;
    for (const auto &[id, worker] : m_state.workers) {
        for (const auto &it : worker.unansweredStarts) {
            if (!worker.isReplaced) {
                starts[it.key.task].push_back({it.key.attempt, id});
            }
        }
    }
    return [starts = std::move(starts)](const FleetTaskId &task) {
        const auto it = starts.find(task);
        return it == starts.end() ? std::vector<GivenUpStartRecord> {} : it->second;
    };
}

void FleetPlanner::stopUnansweredStarts(FleetWorker &worker, TimePoint now)
{
    if (worker.startedUnixMs == 0) {
        return;
    }
    for (auto &it : worker.unansweredStarts) {
        // A run that the planner still knows is stopped by itself, if at all.
        if (it.mustStop && !it.isStopInFlight && now >= it.nextStopAt && m_state.findRun(it.key) == nullptr) {
            it.isStopInFlight = true;
            m_port.sendStop({worker.target(), it.key.task, it.key.attempt, tokenFor(worker), worker.startedUnixMs}, now, UnansweredStopTimeout);
        }
    }
}

std::map<FleetTaskId, FleetPlanner::PossibleStarts> FleetPlanner::possibleStarts() const
{
    std::map<FleetTaskId, PossibleStarts> out;
    for (const auto &[id, worker] : m_state.workers) {
        for (const auto &it : worker.unansweredStarts) {
            auto &starts = out[it.key.task];
            if (++starts.count == 1 || it.since >= starts.newestSince) {
                starts.newestWorker = id;
                starts.newestSince = it.since;
            }
        }
    }
    return out;
}

} // namespace marjoramhaven
