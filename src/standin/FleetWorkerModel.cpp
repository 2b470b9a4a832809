#include "marjoramhaven/standin/FleetWorkerModel.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

constexpr int FullPercent = 100;

bool isSameStep(const FleetTaskId &a, const FleetTaskId &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

// Returns the reading of a worker's clock at its start. It differs between incarnations and says nothing about their order or age.
std::int64_t clockOriginMs(std::int64_t startedUnixMs)
{
    constexpr std::uint64_t Spread = 5'000'000;
    constexpr std::uint64_t Multiplier = 2'654'435'761;
    return 1 + static_cast<std::int64_t>(static_cast<std::uint64_t>(startedUnixMs) * Multiplier % Spread);
}

} // namespace

FleetWorkerModel::FleetWorkerModel(WorkerReport report, FleetWorkerTimes times, BehaviourLookup behaviours, std::function<void(const RunEvent &)> onEvent)
    : m_report(std::move(report))
    , m_times(times)
    , m_lookUpBehaviour(std::move(behaviours))
    , m_onEvent(std::move(onEvent))
{
}

WorkerReport FleetWorkerModel::reportAt(TimePoint now) const
{
    auto out = m_report;
    out.clockMs = clockAt(now);
    return out;
}

void FleetWorkerModel::setDraining(Millis remaining)
{
    m_report.isDraining = true;
    m_report.remainingMs = remaining.count();
}

std::int64_t FleetWorkerModel::clockAt(TimePoint now) const
{
    return clockOriginMs(m_report.startedUnixMs) + static_cast<std::int64_t>(static_cast<double>((now - m_instanceStartedAt).count()) * m_times.clockRate);
}

bool FleetWorkerModel::acceptFencingToken(std::int64_t fencingToken)
{
    if (fencingToken < m_fencingToken) {
        return false;
    }
    m_fencingToken = fencingToken;
    return true;
}

void FleetWorkerModel::extendLease(std::int64_t untilMs, TimePoint now)
{
    const auto longest = clockAt(now) + m_times.maxLease.count();
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, longest));
}

WorkerResponse FleetWorkerModel::answer(WorkerCallOutcome outcome, TimePoint now) const
{
    return {outcome, clockAt(now), std::string(nameOf(outcome))};
}

void FleetWorkerModel::accrueWork(Run &run, TimePoint now)
{
    const bool isWorking = !run.behaviour.hangs && (run.behaviour.gangSize == 0 || run.isGangComplete);
    if (isWorking) {
        run.completedWork += (now - run.accruedUntil) * run.pace / FullPercent;
    }
    run.accruedUntil = now;
}

std::optional<RunEnd> FleetWorkerModel::endOf(const Run &run, TimePoint now) const
{
    if (run.stoppingSince && now - *run.stoppingSince >= m_times.stopTime) {
        return RunEnd::Stopped;
    }
    const bool waitsForGang = run.behaviour.gangSize > 0 && !run.isGangComplete;
    if (waitsForGang && now - run.startedAt >= m_times.gangTimeout) {
        return RunEnd::GangTimedOut;
    }
    if (!run.behaviour.isLongRunning && !waitsForGang && run.completedWork >= run.behaviour.duration) {
        return run.behaviour.fails ? RunEnd::Failed : RunEnd::Done;
    }
    return std::nullopt;
}

void FleetWorkerModel::endRun(std::size_t index, RunEnd end, TimePoint now)
{
    const auto run = m_runs[index];
    m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(index));
    m_ended.push_back({++m_lastEndNumber, run.task, run.attempt, end, checkpointOf(run)});
    m_endedAt[m_lastEndNumber] = now;
    auto &closed = m_closedAttempts[run.task];
    closed = std::max(closed, run.attempt);
    m_onEvent({RunEvent::Kind::Ended, m_report.id, run.task, run.attempt, end, now});
}

std::string FleetWorkerModel::checkpointOf(const Run &run) const
{
    return run.behaviour.checkpoints ? std::to_string(run.completedWork.count()) : std::string();
}

void FleetWorkerModel::advance(TimePoint now)
{
    for (auto &it : m_runs) {
        accrueWork(it, now);
    }
    const bool hasLeaseExpired = clockAt(now) > m_leaseUntilMs;
    m_leaseExpiredAt = hasLeaseExpired ? now : m_leaseExpiredAt;
    for (std::size_t i = 0; i < m_runs.size();) {
        const auto end = hasLeaseExpired ? std::optional(RunEnd::LeaseExpired) : endOf(m_runs[i], now);
        if (end) {
            endRun(i, *end, now);
        } else {
            ++i;
        }
    }
}

WorkerResponse FleetWorkerModel::start(const StartRunRequest &request, TimePoint now)
{
    advance(now);
    if (!acceptFencingToken(request.fencingToken)) {
        return answer(WorkerCallOutcome::Fenced, now);
    }
    const bool isAlreadyRunning = std::any_of(m_runs.begin(), m_runs.end(), [&](const Run &it) {
        return it.task == request.task && it.attempt == request.attempt;
    });
    if (isAlreadyRunning) {
        return answer(WorkerCallOutcome::Done, now);
    }
    const auto closed = m_closedAttempts.find(request.task);
    if (closed != m_closedAttempts.end() && request.attempt <= closed->second) {
        extendLease(request.leaseUntilMs, now);
        return answer(WorkerCallOutcome::Stale, now);
    }
    if (request.leaseUntilMs <= clockAt(now)) {
        return answer(WorkerCallOutcome::Late, now);
    }
    const auto behaviour = m_lookUpBehaviour(request.task);
    if (!behaviour) {
        return answer(WorkerCallOutcome::Invalid, now);
    }
    extendLease(request.leaseUntilMs, now);
    Run run;
    run.task = request.task;
    run.attempt = request.attempt;
    run.behaviour = *behaviour;
    run.startedAt = now;
    run.accruedUntil = now;
    run.completedWork = request.checkpoint.empty() ? Millis(0) : Millis(std::stoll(request.checkpoint));
    m_runs.push_back(run);
    m_onEvent({RunEvent::Kind::Started, m_report.id, request.task, request.attempt, RunEnd::Done, now});
    return answer(WorkerCallOutcome::Done, now);
}

WorkerResponse FleetWorkerModel::stop(const StopRunRequest &request, TimePoint now)
{
    advance(now);
    if (!acceptFencingToken(request.fencingToken)) {
        return answer(WorkerCallOutcome::Fenced, now);
    }
    for (auto &it : m_runs) {
        if (it.task == request.task && it.attempt == request.attempt && !it.stoppingSince) {
            it.stoppingSince = now;
        }
    }
    auto &closed = m_closedAttempts[request.task];
    closed = std::max(closed, request.attempt);
    return answer(WorkerCallOutcome::Done, now);
}

WorkerResponse FleetWorkerModel::throttle(const ThrottleRunRequest &request, TimePoint now)
{
    advance(now);
    if (!acceptFencingToken(request.fencingToken)) {
        return answer(WorkerCallOutcome::Fenced, now);
    }
    for (auto &it : m_runs) {
        if (it.task == request.task && it.attempt == request.attempt) {
            it.pace = request.percent;
            return answer(WorkerCallOutcome::Done, now);
        }
    }
    return answer(WorkerCallOutcome::Stale, now);
}

PollWorkerResponse FleetWorkerModel::poll(const PollWorkerRequest &request, TimePoint now)
{
    advance(now);
    PollWorkerResponse out;
    out.workerClockMs = clockAt(now);
    out.startedUnixMs = m_report.startedUnixMs;
    if (!acceptFencingToken(request.fencingToken)) {
        out.outcome = WorkerCallOutcome::Fenced;
        return out;
    }
    out.outcome = WorkerCallOutcome::Done;
    acknowledgeEnds(request.acknowledged);
    extendLease(request.leaseUntilMs, now);
    out.ended = m_ended;
    for (const auto &it : m_runs) {
        const auto share = it.behaviour.isLongRunning
            ? (now - it.startedAt >= m_times.warmUp ? FullPercent : 0)
            : static_cast<int>(it.completedWork.count() * FullPercent / std::max<std::int64_t>(1, it.behaviour.duration.count()));
        out.running.push_back({it.task, it.attempt, checkpointOf(it), std::min(share, FullPercent), 0});
    }
    return out;
}

void FleetWorkerModel::acknowledgeEnds(std::int64_t acknowledged)
{
    std::erase_if(m_ended, [&](const EndedRunInfo &it) {
        if (it.number > acknowledged) {
            return false;
        }
        const auto endedAt = m_endedAt.at(it.number);
        m_endedAt.erase(it.number);
        if (onAcknowledgement) {
            onAcknowledgement({m_report.id, it.task, it.attempt, it.end, endedAt, m_leaseExpiredAt >= endedAt});
        }
        return true;
    });
}

void FleetWorkerModel::restart(TimePoint now)
{
    restartAs(m_report.startedUnixMs + 1 + (now - TimePoint {}).count(), now);
}

void FleetWorkerModel::restartAs(std::int64_t startedUnixMs, TimePoint now)
{
    for (const auto &it : m_runs) {
        m_onEvent({RunEvent::Kind::Ended, m_report.id, it.task, it.attempt, RunEnd::LeaseExpired, now});
    }
    m_runs.clear();
    m_ended.clear();
    m_endedAt.clear();
    m_closedAttempts.clear();
    m_fencingToken = 0;
    m_leaseUntilMs = 0;
    m_lastEndNumber = 0;
    m_instanceStartedAt = now;
    m_report.startedUnixMs = startedUnixMs;
}

int FleetWorkerModel::gangMemberCount(const FleetTaskId &member, std::int64_t attempt) const
{
    return static_cast<int>(std::count_if(m_runs.begin(), m_runs.end(), [&](const Run &it) {
        return isSameStep(it.task, member) && it.attempt == attempt;
    }));
}

void FleetWorkerModel::completeGang(const FleetTaskId &member, std::int64_t attempt)
{
    for (auto &it : m_runs) {
        if (isSameStep(it.task, member) && it.attempt == attempt) {
            it.isGangComplete = true;
        }
    }
}

void FleetWorkerModel::breakGang(const FleetTaskId &member, std::int64_t attempt, TimePoint now)
{
    for (std::size_t i = 0; i < m_runs.size();) {
        const auto &it = m_runs[i];
        if (it.isGangComplete && isSameStep(it.task, member) && it.attempt == attempt) {
            endRun(i, RunEnd::GangBroken, now);
        } else {
            ++i;
        }
    }
}

std::vector<std::pair<FleetTaskId, std::int64_t>> FleetWorkerModel::runs() const
{
    std::vector<std::pair<FleetTaskId, std::int64_t>> out;
    for (const auto &it : m_runs) {
        out.emplace_back(it.task, it.attempt);
    }
    return out;
}

FleetResources FleetWorkerModel::used() const
{
    FleetResources out;
    for (const auto &it : m_runs) {
        out.cpuMilli += it.behaviour.isBestEffort ? 0 : it.behaviour.needs.cpuMilli;
        out.memoryMb += it.behaviour.needs.memoryMb;
        out.gpus += it.behaviour.needs.gpus;
    }
    return out;
}

} // namespace marjoramhaven
