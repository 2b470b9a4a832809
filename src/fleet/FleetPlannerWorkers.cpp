#include <algorithm>

#include "FleetPlannerBatch.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr Millis PollRetryDelay {100};
// Pause between polls, so that one poll fetches runs that end shortly after each other.
constexpr Millis PollInterval {20};
constexpr Millis PollIntervalWhileStoring {300};
// Polls that extend no lease don't wait at the worker, so that each lease can be extended as soon as leadership is confirmed.
constexpr Millis PollIntervalWhileUnconfirmed {500};
constexpr Millis LastRenewalMargin {200};
constexpr int FailedPollsToSuspect = 1;

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
        if (run->state == RunState::Inherited && (run->mayStartLate || namesOtherIncarnation(worker, *run))) {
            // Whether the previous leader's start request was answered is not known, and the next incarnation may carry it out late, whatever the entry says.
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
    m_port.sendPoll(request, now, request.wait + PollResponseMargin);
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
        setReplaced(worker, true);
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
    setReplaced(worker, false);
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

} // namespace marjoramhaven
