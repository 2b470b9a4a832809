#include <algorithm>

#include "FleetPlannerBatch.h"
#include "marjoramhaven/fleet/GivenUpStarts.h"

namespace marjoramhaven {

namespace {

constexpr Millis StartTimeout {600};
// A start request whose outcome is not known is sent again to the same worker, with pauses that double. It may time out any number of times.
constexpr int MaxStartRefusals = 3;
constexpr int MaxStartRetryDoublings = 3;
constexpr Millis FirstStartRetryDelay {40};
constexpr Millis StartRetryWindow {600};
constexpr Millis LongestRepetitionOfLongRunningTask {2000};
constexpr Millis PauseAfterRefusal {50};
constexpr Millis PauseOfBoundTaskAfterRefusal {400};
constexpr Millis AvoidAfterRefusal {400};
constexpr Millis AvoidAfterSilence {1500};

// Returns the name of a task's step in requests to the advisor.
std::string stepOf(const FleetTaskId &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

} // namespace

void FleetPlanner::sendStart(FleetRun &run, TimePoint now)
{
    auto *job = m_state.findJob(run.key.task.job);
    auto &worker = m_state.findOrCreateWorker(run.worker);
    if (job == nullptr || job->isEnded() || worker.startedUnixMs != run.workerStartedUnixMs) {
        discardUnstartedRun(RunKey(run.key), "its worker restarted or its job ended before the start request was sent", Millis(0), now);
        return;
    }
    if (FleetState::queueOf(*job).needsAdvice
        && m_state.advice.verdict(stepOf(run.key.task), run.worker, run.workerStartedUnixMs, now) != AdviceCache::Verdict::Allowed) {
        discardUnstartedRun(RunKey(run.key), "its ticket expired before the start request was sent", Millis(0), now);
        return;
    }
    if (const auto *reason = reasonNotToStart(run, *job, now)) {
        discardUnstartedRun(RunKey(run.key), reason, Millis(0), now);
        return;
    }
    if (!m_leadership.isValid(now)) {
        discardUnstartedRun(RunKey(run.key), "leadership was not confirmed when the start request was due", PauseAfterRefusal, now);
        return;
    }
    run.repeatStartUntil = now + StartRetryWindow;
    requestStart(run, now);
}

const char *FleetPlanner::reasonNotToStart(const FleetRun &run, const FleetJob &job, TimePoint now) const
{
    const auto &worker = m_state.workers.at(run.worker);
    const auto &spec = job.spec(run.key.task.step);
    if (!m_state.isOpenForStarts(worker, now)) {
        return "its worker stopped accepting runs before the start request was sent";
    }
    if (!FleetState::isEligible(worker, job, spec)) {
        return "its worker is of another kind since it was placed";
    }
    if (!worker.hasRoomFor({})) {
        return "its worker has less room than when it was placed";
    }
    if (!spec.allowsSpeculation && !givenUpStartsOf(m_state, run.key.task).mayStartOn(run.worker, spec.isLongRunning, now)) {
        return "an earlier start of its task may be carried out now";
    }
    if (spec.maxPerWorker > 0) {
        const auto &step = job.occurrences().at(run.key.task.occurrence).steps[static_cast<std::size_t>(run.key.task.step)];
        if (m_state.runsPerWorker(step)[run.worker] > spec.maxPerWorker) {
            return "its worker may run too many tasks of the step";
        }
    }
    return nullptr;
}

bool FleetPlanner::mayRepeatStart(const FleetRun &run, TimePoint now) const
{
    const auto worker = m_state.workers.find(run.worker);
    const auto it = m_state.jobs.find(run.key.task.job);
    // A repeated request grants a lease like the first.
    if (!m_leadership.isValid(now) || run.startRefusals >= MaxStartRefusals || now >= run.repeatStartUntil || run.isListed || it == m_state.jobs.end()
        || it->second->isEnded()) {
        return false;
    }
    const auto &queue = FleetState::queueOf(*it->second);
    const bool isAllowed =
        !queue.needsAdvice || m_state.advice.verdict(stepOf(run.key.task), run.worker, run.workerStartedUnixMs, now) == AdviceCache::Verdict::Allowed;
    return isAllowed && worker != m_state.workers.end() && m_state.acceptsStarts(worker->second, now) && worker->second.report.service == queue.service;
}

void FleetPlanner::requestStart(FleetRun &run, TimePoint now)
{
    auto &worker = m_state.findOrCreateWorker(run.worker);
    const auto *job = m_state.findJob(run.key.task.job);
    setState(run, RunState::Starting, now);
    ++run.startSendings;
    StartRunRequest request;
    request.worker = worker.target();
    request.task = run.key.task;
    request.attempt = run.key.attempt;
    request.payload = job->request().payload;
    request.leaseUntilMs = worker.lease.grant(m_limits.lease, now);
    request.fencingToken = tokenFor(worker);
    worker.bindingToken = request.fencingToken;
    request.checkpoint = run.startedFromCheckpoint;
    request.ticket = FleetState::queueOf(*job).needsAdvice ? m_state.advice.ticket(stepOf(run.key.task), run.worker) : std::string();
    request.workerStartedUnixMs = run.workerStartedUnixMs;
    worker.calls.startSent(request.leaseUntilMs > 0, now);
    m_port.sendStart(request, now, StartTimeout);
}

void FleetPlanner::handleStartResponse(const StartRunRequest &request, const WorkerResponse &response, TimePoint now)
{
    const RunKey key {request.task, request.attempt};
    auto *run = m_state.findRun(key);
    auto &worker = m_state.findOrCreateWorker(request.worker.id);
    // The worker has restarted since the request was sent, so the answer and its clock may be those of the earlier incarnation.
    const bool isRestartKnown = run != nullptr && run->workerStartedUnixMs != request.workerStartedUnixMs;
    const bool isClockBack = response.workerClockMs > 0 && !isRestartKnown && worker.lease.isFromEarlierIncarnation(response.workerClockMs, now);
    if (isClockBack) {
        m_events.write("worker_clock_back", {{"worker", request.worker.id}, {"clock_ms", response.workerClockMs}});
        worker.isInventoried = false;
        worker.nextPollAt = now;
    } else if (response.workerClockMs > 0 && run != nullptr && worker.startedUnixMs == request.workerStartedUnixMs) {
        worker.lease.observe(response.workerClockMs, now);
    }
    if (response.outcome != WorkerCallOutcome::Done) {
        m_events.write("start_refused",
                       {{"task", request.task.toString()},
                        {"attempt", request.attempt},
                        {"worker", request.worker.id},
                        {"outcome", std::string(nameOf(response.outcome))},
                        {"reason", response.reason},
                        {"sendings", static_cast<std::int64_t>(response.sendings)}});
    }
    // The answer to a later sending doesn't tell what becomes of the first.
    if (response.outcome == WorkerCallOutcome::Unknown || response.sendings > 1) {
        rememberUnansweredStart(worker, key, request.workerStartedUnixMs, now);
    }
    if (run == nullptr || run->state != RunState::Starting) {
        return;
    }
    // A worker that refuses a request because of a later one of this planner has not carried it out.
    const bool isFencedByItself = response.outcome == WorkerCallOutcome::Fenced && isOwnFence(request.fencingToken, worker);
    const char *reason = "refused";
    Millis pause {0};
    Millis avoid = AvoidAfterRefusal;
    switch (response.outcome) {
    case WorkerCallOutcome::Done:
        // A worker that has restarted lists the run in its new incarnation or not at all.
        setState(*run, isClockBack || isRestartKnown ? RunState::Unconfirmed : RunState::Running, now);
        run->startAnsweredAt = now;
        run->percentChangedAt = now;
        run->startedClockMs = run->state == RunState::Running ? response.workerClockMs : 0;
        return;
    case WorkerCallOutcome::Unknown:
        extendStartRepetition(*run, now);
        keepUnconfirmed(*run, now);
        return;
    case WorkerCallOutcome::Fenced:
        if (!isFencedByItself) {
            m_port.fencedByWorker(request.worker.id);
        }
        reason = isFencedByItself ? "fenced by a later request" : "fenced";
        pause = PauseAfterRefusal;
        avoid = Millis(0);
        break;
    case WorkerCallOutcome::NoTicket:
        m_state.advice.discardTicket(stepOf(request.task), request.worker.id);
        reason = "the worker refused its ticket";
        avoid = Millis(0);
        break;
    case WorkerCallOutcome::OtherIncarnation:
        worker.isInventoried = false;
        worker.nextPollAt = now;
        reason = "another incarnation of the worker answered";
        avoid = Millis(0);
        break;
    case WorkerCallOutcome::Unsent:
        worker.nextPollAt = std::min(worker.nextPollAt, now);
        reason = "unsent";
        avoid = AvoidAfterSilence;
        break;
    case WorkerCallOutcome::Stale:
    case WorkerCallOutcome::Late:
    case WorkerCallOutcome::NoRoom:
    case WorkerCallOutcome::Unhealthy:
    case WorkerCallOutcome::Invalid:
        pause = PauseAfterRefusal;
        break;
    }
    // A task that may start on this worker only is not kept from it by avoidUntil.
    if (pause > Millis(0) && !givenUpStartsOf(m_state, key.task).workers.empty()) {
        pause = PauseOfBoundTaskAfterRefusal;
    }
    worker.avoidUntil = std::max(worker.avoidUntil, now + avoid);
    if (run->startSendings > 1 || (isFencedByItself && response.sendings > 1)) {
        // The refusal proves nothing about the earlier requests, whose outcome is not known.
        ++run->startRefusals;
        keepUnconfirmed(*run, now);
    } else {
        discardUnstartedRun(key, reason, pause, now);
    }
}

void FleetPlanner::extendStartRepetition(FleetRun &run, TimePoint now)
{
    const auto *job = m_state.findJob(run.key.task.job);
    if (job == nullptr || run.repeatStartUntil == TimePoint {}) {
        return;
    }
    if (!run.firstUnansweredAt) {
        run.firstUnansweredAt = now;
    }
    const auto &spec = job->spec(run.key.task.step);
    // A long-running task has to be at work again soon, perhaps on another worker.
    const bool isTooLong = spec.isLongRunning && now - *run.firstUnansweredAt > LongestRepetitionOfLongRunningTask;
    // A speculative run may start elsewhere beside the one that is not known.
    if (!spec.allowsSpeculation && !isTooLong) {
        run.repeatStartUntil = now + StartRetryWindow;
    }
}

void FleetPlanner::keepUnconfirmed(FleetRun &run, TimePoint now)
{
    auto &worker = m_state.findOrCreateWorker(run.worker);
    setState(run, RunState::Unconfirmed, now);
    run.nextStartAt = now + FirstStartRetryDelay * (1 << std::min(run.startSendings - 1, MaxStartRetryDoublings));
    worker.avoidUntil = std::max(worker.avoidUntil, now + AvoidAfterRefusal);
    worker.nextPollAt = std::min(worker.nextPollAt, now);
}

} // namespace marjoramhaven
