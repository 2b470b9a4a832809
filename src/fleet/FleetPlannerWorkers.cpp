#include <algorithm>

#include "FleetPlannerBatch.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

// Timeout of a poll beyond the wait that it asks the worker for.
constexpr Millis PollResponseMargin {700};
constexpr Millis PollRetryDelay {100};
// Pause between polls, so that one poll fetches runs that end shortly after each other.
constexpr Millis PollInterval {20};
constexpr Millis PollIntervalWhileStoring {300};
// Polls that extend no lease don't wait at the worker, so that each lease can be extended as soon as leadership is confirmed.
constexpr Millis PollIntervalWhileUnconfirmed {500};
constexpr Millis LastRenewalMargin {200};
constexpr int FailedPollsToSuspect = 1;
constexpr Millis UnansweredStopTimeout {600};

} // namespace

void FleetPlanner::workerReported(const WorkerReport &report, TimePoint now)
{
    auto &worker = m_state.findOrCreateWorker(report.id);
    const bool wasDraining = worker.report.isDraining && worker.isListed;
    const bool isNew = worker.report.host.empty();
    if (contradicts(report, worker)) {
        setLastReason("it names another address or service than the worker itself");
        workerEntryUnreadable(report.id, now);
        return;
    }
    const bool namesNewIncarnation = worker.report.startedUnixMs != report.startedUnixMs;
    worker.report = report;
    worker.isListed = true;
    worker.isEntryUnreadable = false;
    if (worker.startedUnixMs != 0 && report.startedUnixMs != worker.startedUnixMs && namesNewIncarnation && !worker.hadIncarnation(report.startedUnixMs)) {
        // Anybody may write an entry. What became of the runs is decided by what the worker itself lists, which the old incarnation can't answer any more.
        m_events.write("worker_reborn", {{"worker", report.id}, {"born_ms", report.startedUnixMs}, {"was_born_ms", worker.startedUnixMs}});
        // Nothing starts there until the list is in, and the poll for it acknowledges no ended runs.
        worker.isInventoried = false;
        worker.isEarlierPollInFlight = worker.isEarlierPollInFlight || worker.isPollInFlight;
        worker.isPollInFlight = false;
        worker.nextPollAt = now;
        sendPollIfDue(worker, now);
    }
    if (m_isOpen && worker.startedUnixMs == 0 && namesNewIncarnation && mayHoldInheritedLateLease(worker)) {
        assumeLateLease(worker, now);
    }
    if (report.isDraining && !wasDraining) {
        worker.drainingSince = now;
        m_events.write("worker_draining", {{"worker", report.id}, {"remaining_ms", report.remainingMs}});
    }
    if (isNew) {
        worker.nextPollAt = now;
        m_events.write("worker_listed", {{"worker", report.id}, {"zone", report.zone}, {"cpu", report.capacity.cpuMilli}});
    }
}

bool FleetPlanner::contradicts(const WorkerReport &report, const FleetWorker &worker)
{
    const auto &known = worker.report;
    // Reads of the list may be behind, so an entry of an earlier incarnation tells nothing new.
    const bool isKnownIncarnation = report.startedUnixMs == worker.startedUnixMs || worker.hadIncarnation(report.startedUnixMs);
    const bool isConfirmed = worker.startedUnixMs != 0 && known.startedUnixMs == worker.startedUnixMs;
    return isConfirmed && isKnownIncarnation && (report.host != known.host || report.port != known.port || report.service != known.service);
}

bool FleetPlanner::isAddressKnown(const FleetWorker &worker, const WorkerAddress &address) const
{
    if (!worker.answeredHost.empty()) {
        return address.host == worker.answeredHost && address.port == worker.answeredPort;
    }
    // The worker has not answered since the takeover. Its entry holds for the incarnation on which the previous leader started the runs.
    return std::all_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto &it) {
        const auto run = m_state.runs.find(it.first);
        return run == m_state.runs.end() || run->second.workerStartedUnixMs == worker.report.startedUnixMs;
    });
}

void FleetPlanner::workerEntryUnreadable(const std::string &id, TimePoint now)
{
    const auto it = m_state.workers.find(id);
    const bool isKnown = it != m_state.workers.end() && !it->second.report.host.empty();
    m_events.write("entry_unusable", {{"worker", id}, {"reason", lastReason()}, {"known", static_cast<std::int64_t>(isKnown)}});
    if (isKnown && !it->second.isEntryUnreadable) {
        it->second.isEntryUnreadable = true;
        it->second.unlistedSince = now;
    }
}

void FleetPlanner::workerUnlisted(const std::string &id, TimePoint now)
{
    const auto it = m_state.workers.find(id);
    if (it == m_state.workers.end() || !it->second.isListed) {
        return;
    }
    it->second.isListed = false;
    it->second.unlistedSince = now;
    m_events.write("worker_unlisted", {{"worker", id}, {"runs", static_cast<std::int64_t>(it->second.allocations.size())}});
}

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
    std::erase_if(worker.unansweredStarts, [&key](const auto &it) {
        return it.key == key;
    });
    worker.unansweredStarts.push_back({key, now, worker.startedUnixMs != workerStartedUnixMs, false, now});
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
            m_port.sendStop({worker.target(), it.key.task, it.key.attempt, tokenFor(worker), worker.startedUnixMs}, UnansweredStopTimeout);
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

void FleetPlanner::markRunsLost(FleetWorker &worker, const char *reason, const std::vector<RunKey> &except, TimePoint now)
{
    std::vector<RunKey> keys;
    for (const auto &[key, needs] : worker.allocations) {
        if (std::find(except.begin(), except.end(), key) == except.end()) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        auto *run = m_state.findRun(key);
        if (run == nullptr) {
            worker.release(key);
            continue;
        }
        m_events.write("run_lost",
                       {{"task", key.task.toString()},
                        {"attempt", key.attempt},
                        {"worker", worker.report.id},
                        {"reason", std::string(reason)},
                        {"born_ms", run->workerStartedUnixMs},
                        {"entry_born_ms", worker.report.startedUnixMs},
                        {"listed", static_cast<std::int64_t>(run->isListed)},
                        {"answer_age_ms", worker.lastResponseAt == TimePoint {} ? WorkerCallHistory::None : (now - worker.lastResponseAt).count()},
                        {"lease_age_ms", worker.calls.leaseAgeMs(now)},
                        {"answered_lease_age_ms", worker.calls.answeredLeaseAgeMs(now)}});
        if (run->state == RunState::Inherited && namesOtherIncarnation(worker, *run)) {
            // Whether the previous leader's start request was answered is not known, and the next incarnation may carry it out late.
            rememberUnansweredStart(worker, key, run->workerStartedUnixMs, m_openedAt);
        }
        const auto checkpoint = run->checkpoint;
        endRun(key, RunEnd::LeaseExpired, checkpoint, worker.report.id, now);
    }
}

void FleetPlanner::sendPollIfDue(FleetWorker &worker, TimePoint now)
{
    if (worker.isPollInFlight || now < worker.nextPollAt || worker.report.host.empty()) {
        return;
    }
    PollWorkerRequest request;
    request.worker = worker.target();
    // Polls to a worker that does not answer don't renew its lease, so that the lease certainly expires. They acknowledge no ended runs either, because the
    // worker may have restarted and numbers its ended runs from 1 again.
    const bool hasLease = worker.isInventoried && worker.failedPolls == 0;
    if (!hasLease) {
        // The next incarnation has seen no token, and refuses what was sent to this one only under a higher token.
        worker.fencingToken = m_newestToken;
    }
    request.fencingToken = tokenFor(worker);
    request.acknowledged = hasLease ? worker.lastStoredEnd : 0;
    const auto confirmedFor = m_leadership.remaining(now);
    request.leaseUntilMs = hasLease && confirmedFor > Millis(0) ? worker.lease.grant(m_limits.lease, now) : 0;
    if (request.acknowledged > 0 || request.leaseUntilMs > 0) {
        worker.bindingToken = request.fencingToken;
    }
    const bool areEndsStored = hasLease && worker.lastSeenEnd == worker.lastStoredEnd;
    // While it is not known whether a run exists, a list is needed at once, whether it has changed or not.
    const bool isEveryRunKnown = std::none_of(worker.allocations.begin(), worker.allocations.end(), [this](const auto &it) {
        const auto run = m_state.runs.find(it.first);
        return run != m_state.runs.end() && run->second.state == RunState::Unconfirmed;
    });
    // The last poll that extends the lease is sent shortly before the confirmation expires.
    const auto longestWait = std::clamp(confirmedFor - LastRenewalMargin, Millis(0), m_limits.pollWait);
    request.wait = areEndsStored && isEveryRunKnown ? longestWait : Millis(0);
    request.sequence = ++m_sequence;
    worker.isPollInFlight = true;
    worker.pollSequence = request.sequence;
    worker.calls.pollSent(request.acknowledged, request.leaseUntilMs > 0, now);
    m_port.sendPoll(request, request.wait + PollResponseMargin);
}

void FleetPlanner::handlePollResponse(const PollWorkerRequest &request, const PollWorkerResponse &response, TimePoint now)
{
    const auto it = m_state.workers.find(request.worker.id);
    if (it == m_state.workers.end()) {
        return;
    }
    auto &worker = it->second;
    if (request.sequence != worker.pollSequence) {
        worker.isEarlierPollInFlight = false;
        return;
    }
    worker.isPollInFlight = false;
    if (response.outcome == WorkerCallOutcome::Fenced) {
        m_port.fencedByWorker(request.worker.id);
        worker.nextPollAt = now + PollRetryDelay;
        return;
    }
    if (response.outcome == WorkerCallOutcome::OtherIncarnation && isAddressKnown(worker, request.worker)) {
        // Another worker answers where the known one did, so that one no longer exists. Elsewhere, its entry names a wrong address.
        m_events.write("worker_replaced", {{"worker", request.worker.id}});
        handleWorkerRestart(worker, 0, now);
        worker.isReplaced = true;
        worker.nextPollAt = now + Millis(10 * PollRetryDelay.count());
        return;
    }
    if (response.outcome != WorkerCallOutcome::Done) {
        ++worker.failedPolls;
        worker.nextPollAt = now + PollRetryDelay;
        if (worker.failedPolls == FailedPollsToSuspect) {
            m_events.write("worker_suspected",
                           {{"worker", request.worker.id}, {"reason", response.reason}, {"outcome", std::string(nameOf(response.outcome))}});
        }
        return;
    }
    if (worker.failedPolls >= FailedPollsToSuspect) {
        m_events.write("worker_answers", {{"worker", request.worker.id}, {"failed_holds", static_cast<std::int64_t>(worker.failedPolls)}});
    }
    worker.failedPolls = 0;
    worker.lastResponseAt = now;
    if (worker.startedUnixMs != 0 && response.startedUnixMs != 0 && response.startedUnixMs != worker.startedUnixMs) {
        // Whichever incarnation answers the newest poll is the present one. Its time of start may be the earlier one, since the machine's clock may step back.
        handleWorkerRestart(worker, response.startedUnixMs, now);
    }
    if (worker.startedUnixMs == 0) {
        worker.startedUnixMs = response.startedUnixMs;
    }
    worker.answeredToken = std::max(worker.answeredToken, request.fencingToken);
    worker.calls.pollAnswered();
    worker.isReplaced = false;
    worker.answeredHost = request.worker.host;
    worker.answeredPort = request.worker.port;
    worker.lease.observe(response.workerClockMs, now);
    worker.lastListClockMs = std::max(worker.lastListClockMs, response.workerClockMs);
    const bool isClosedToLateRequests = worker.wasInventoried || wasOpenForLong(worker, response.startedUnixMs);
    reconcileRuns(worker, response, request.sequence, now);
    if (!worker.isInventoried && worker.refusesEarlierRequests()) {
        worker.isInventoried = true;
        worker.wasInventoried = true;
        if (!isClosedToLateRequests) {
            // A call to an earlier incarnation, perhaps of an earlier leader, may have granted this one a lease before it had seen this fencing token.
            assumeLateLease(worker, now);
        }
        m_events.write("worker_inventory",
                       {{"worker", request.worker.id},
                        {"born_ms", response.startedUnixMs},
                        {"clock_ms", response.workerClockMs},
                        {"assumed_lease_ms", worker.lease.assumedFor(now).count()},
                        {"running", static_cast<std::int64_t>(response.running.size())},
                        {"ended", static_cast<std::int64_t>(response.ended.size())},
                        {"first_end", response.ended.empty() ? 0 : response.ended.front().number}});
    }
    throttleBestEffortRuns(worker, now);
    if (!worker.isInventoried) {
        // Either the next poll carries a token that is high enough, or none will before the next heartbeat in the log.
        worker.nextPollAt = now + (m_newestToken >= worker.requiredToken ? PollInterval : PollRetryDelay);
        return;
    }
    const auto interval = worker.lastSeenEnd > worker.lastStoredEnd ? PollIntervalWhileStoring : PollInterval;
    worker.nextPollAt = now + (m_leadership.isValid(now) ? interval : PollIntervalWhileUnconfirmed);
}

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
        setState(orphan, RunState::Running, now);
        const bool isKnownStep = job != nullptr && row.task.step >= 0 && row.task.step < static_cast<int>(job->request().steps.size());
        const RunAllocation unknown {worker.report.capacity, 0, false, false, now};
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
