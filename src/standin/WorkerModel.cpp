#include "marjoramhaven/standin/WorkerModel.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
// Closed and refused attempts are remembered this long after the last time at which a delayed copy of their start would be accepted.
constexpr std::int64_t ClosedRetentionMs = 60'000;
} // namespace

WorkerModel::WorkerModel(std::string name, Resources capacity)
    : m_name(std::move(name))
    , m_capacity(capacity)
{
}

void WorkerModel::notifyObserver(WorkerEvent::Kind kind, const Attempt &attempt, std::int64_t clock) const
{
    if (m_observer) {
        m_observer({kind, clock, m_name, attempt.report.attempt, attempt.report.reservation});
    }
}

OpenSessionResponse WorkerModel::open(const std::string & /*owner*/, std::int64_t clock)
{
    advance(clock);
    OpenSessionResponse out;
    out.session = ++m_session;
    out.clock = clock;
    out.capacity = m_capacity;
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.report.state != AttemptState::Closed) {
            attempt.isReported = attempt.report.state == AttemptState::Ended;
            out.attempts.push_back(attempt.report);
        }
    }
    return out;
}

bool WorkerModel::renew(const RenewRequest &request, std::int64_t clock)
{
    advance(clock);
    if (request.session != m_session) {
        return false;
    }
    for (auto &[id, attempt] : m_attempts) {
        attempt.leaseUntil = std::max(attempt.leaseUntil, request.leaseUntil);
    }
    for (const auto &it : request.acknowledged) {
        const auto found = m_attempts.find(it);
        if (found != m_attempts.end() && found->second.report.state == AttemptState::Ended) {
            m_attempts.erase(found);
        }
    }
    return true;
}

bool WorkerModel::hasUnreportedEnds(std::int64_t session) const
{
    return session != m_session || std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto &it) {
               return it.second.report.state == AttemptState::Ended && !it.second.isReported;
           });
}

RenewResponse WorkerModel::takeUnreportedEnds(std::int64_t session, std::int64_t clock)
{
    RenewResponse out;
    out.clock = clock;
    out.isCurrent = session == m_session;
    out.usage = m_reserved;
    if (!out.isCurrent) {
        return out;
    }
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.report.state == AttemptState::Ended && !attempt.isReported) {
            attempt.isReported = true;
            out.ended.push_back(attempt.report);
        }
    }
    return out;
}

StartResponse WorkerModel::refuse(const AttemptId &attempt, std::string reason, std::int64_t expiresAt)
{
    Attempt closed;
    closed.report.attempt = attempt;
    closed.report.state = AttemptState::Closed;
    closed.expiresAt = expiresAt;
    m_attempts[attempt] = closed;
    return {closed.report, std::move(reason)};
}

StartResponse WorkerModel::start(const StartRequest &request, std::int64_t clock)
{
    advance(clock);
    const auto known = m_attempts.find(request.attempt);
    if (known != m_attempts.end()) {
        return {known->second.report, known->second.report.state == AttemptState::Closed ? "closed" : ""};
    }
    const auto expiresAt = std::max(clock, request.notAfter) + ClosedRetentionMs;
    if (request.session != m_session) {
        return refuse(request.attempt, "a newer session has been opened", expiresAt);
    }
    if (clock > request.notAfter) {
        return refuse(request.attempt, "too late", expiresAt);
    }
    if (!request.reservation.fitsIn(m_capacity - m_reserved)) {
        return refuse(request.attempt, "no room", expiresAt);
    }
    Attempt attempt;
    attempt.report.attempt = request.attempt;
    attempt.report.state = AttemptState::Running;
    attempt.report.reservation = request.reservation;
    attempt.report.label = request.label;
    attempt.report.result = request.work.value(QLatin1String("echo")).toString().toStdString();
    attempt.endsAt = clock + static_cast<std::int64_t>(request.work.value(QLatin1String("run_ms")).toDouble(0));
    attempt.leaseUntil = request.leaseUntil;
    attempt.fails = m_failsAll || request.work.value(QLatin1String("fail")).toBool(false);
    m_reserved += request.reservation;
    ++m_running;
    notifyObserver(WorkerEvent::Kind::Started, attempt, clock);
    m_attempts[request.attempt] = attempt;
    return {attempt.report, ""};
}

void WorkerModel::end(Attempt &attempt, TaskOutcome outcome, std::string result, std::int64_t clock)
{
    attempt.report.state = AttemptState::Ended;
    attempt.report.outcome = outcome;
    attempt.report.result = std::move(result);
    m_reserved -= attempt.report.reservation;
    --m_running;
    notifyObserver(WorkerEvent::Kind::Ended, attempt, clock);
}

AttemptReport WorkerModel::close(const AttemptId &attempt, std::int64_t clock)
{
    advance(clock);
    const auto known = m_attempts.find(attempt);
    if (known != m_attempts.end()) {
        return known->second.report;
    }
    return refuse(attempt, "closed", clock + ClosedRetentionMs).report;
}

AttemptReport WorkerModel::stop(std::int64_t session, const AttemptId &attempt, std::int64_t clock)
{
    advance(clock);
    const auto known = m_attempts.find(attempt);
    if (known == m_attempts.end()) {
        return close(attempt, clock);
    }
    if (session == m_session && known->second.report.state == AttemptState::Running) {
        end(known->second, TaskOutcome::Stopped, "stopped", clock);
    }
    return known->second.report;
}

void WorkerModel::advance(std::int64_t clock)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        auto &attempt = it->second;
        if (attempt.report.state == AttemptState::Running) {
            if (attempt.endsAt <= clock && attempt.endsAt <= attempt.leaseUntil) {
                end(attempt, attempt.fails ? TaskOutcome::Failed : TaskOutcome::Done, attempt.report.result, attempt.endsAt);
            } else if (attempt.leaseUntil < clock) {
                end(attempt, TaskOutcome::Stopped, "the lease lapsed", attempt.leaseUntil);
            }
        }
        const bool isExpired = attempt.report.state == AttemptState::Closed && attempt.expiresAt < clock;
        it = isExpired ? m_attempts.erase(it) : std::next(it);
    }
}

AttemptReport WorkerModel::report(const AttemptId &attempt) const
{
    const auto it = m_attempts.find(attempt);
    if (it != m_attempts.end()) {
        return it->second.report;
    }
    AttemptReport out;
    out.attempt = attempt;
    out.state = AttemptState::NotKnown;
    return out;
}

std::optional<std::int64_t> WorkerModel::nextEnd() const
{
    std::optional<std::int64_t> out;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.report.state == AttemptState::Running) {
            const auto at = std::min(attempt.endsAt, attempt.leaseUntil + 1);
            out = out ? std::min(*out, at) : at;
        }
    }
    return out;
}

void WorkerModel::reset(std::int64_t clock)
{
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.report.state == AttemptState::Running) {
            end(attempt, TaskOutcome::Stopped, "the worker's VM was replaced", clock);
        }
    }
    m_attempts.clear();
}

} // namespace marjoramhaven
