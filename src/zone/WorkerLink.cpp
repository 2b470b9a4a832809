#include "marjoramhaven/zone/WorkerLink.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr Millis InitialRetryDelay {100};
constexpr int MaxRetryDoublings = 3;
// Pause between the answer to a renewal and the next renewal.
constexpr Millis RenewalPause {20};
// Allowance for the drift between the clocks of this machine and the worker's during one lease.
constexpr Millis ClockMargin {100};
} // namespace

WorkerLink::WorkerLink(Vm vm, std::string owner, WorkerService &service, WorkerLinkTimes times, WorkerLinkListener &listener)
    : m_vm(std::move(vm))
    , m_owner(std::move(owner))
    , m_service(service)
    , m_times(times)
    , m_listener(listener)
{
}

std::int64_t WorkerLink::workerClock(TimePoint now) const
{
    return m_clock + (now - m_clockReadAt).count();
}

std::int64_t WorkerLink::grantLease(TimePoint now)
{
    m_leasesExpireAt = std::max(m_leasesExpireAt, now + m_times.lease + ClockMargin);
    return workerClock(now) + m_times.lease.count();
}

void WorkerLink::updateClock(std::int64_t clock, TimePoint now)
{
    m_clock = clock;
    m_clockReadAt = now;
}

void WorkerLink::acknowledge(const AttemptId &attempt)
{
    if (std::find(m_acknowledged.begin(), m_acknowledged.end(), attempt) == m_acknowledged.end()) {
        m_acknowledged.push_back(attempt);
    }
}

void WorkerLink::tick(TimePoint now)
{
    if (now < m_nextCallAt) {
        return;
    }
    if (m_state == State::Closed) {
        open();
    } else if (m_state == State::Open && !m_isRenewing) {
        renew(now);
    }
}

void WorkerLink::open()
{
    m_state = State::Opening;
    const std::weak_ptr<bool> alive = m_alive;
    m_service.open(m_owner, [this, alive](const std::optional<OpenSessionResponse> &answer, TimePoint at) {
        if (!alive.expired()) {
            handleOpened(answer, at);
        }
    });
}

void WorkerLink::handleOpened(const std::optional<OpenSessionResponse> &answer, TimePoint now)
{
    if (!answer) {
        m_state = State::Closed;
        handleNoAnswer(now);
        return;
    }
    m_state = State::Open;
    m_failures = 0;
    m_session = answer->session;
    m_nextCallAt = now;
    updateClock(answer->clock, now);
    m_listener.onSessionOpened(*this, *answer, now);
}

void WorkerLink::renew(TimePoint now)
{
    m_isRenewing = true;
    RenewRequest request;
    request.session = m_session;
    request.leaseUntil = grantLease(now);
    request.acknowledged = std::exchange(m_acknowledged, {});
    request.wait = m_times.renewInterval;
    const std::weak_ptr<bool> alive = m_alive;
    m_service.renew(request, [this, alive, acknowledged = request.acknowledged](const std::optional<RenewResponse> &answer, TimePoint at) {
        if (!alive.expired()) {
            handleRenewed(answer, acknowledged, at);
        }
    });
}

void WorkerLink::handleRenewed(const std::optional<RenewResponse> &answer, const std::vector<AttemptId> &acknowledged, TimePoint now)
{
    m_isRenewing = false;
    if (!answer) {
        m_acknowledged.insert(m_acknowledged.end(), acknowledged.begin(), acknowledged.end());
        // Opens a new session: its inventory contains whatever happened in the meantime.
        m_state = State::Closed;
        handleNoAnswer(now);
        return;
    }
    if (!answer->isCurrent) {
        m_state = State::Closed;
        m_listener.onFenced(*this, now);
        return;
    }
    m_failures = 0;
    m_usage = answer->usage;
    updateClock(answer->clock, now);
    m_nextCallAt = now + RenewalPause;
    for (const auto &it : answer->ended) {
        m_listener.onAttemptEnded(*this, it, now);
    }
}

void WorkerLink::handleNoAnswer(TimePoint now)
{
    m_nextCallAt = now + InitialRetryDelay * (1 << std::min(m_failures, MaxRetryDoublings));
    ++m_failures;
    if (m_failures == 1) {
        m_listener.onUnresponsive(*this, now);
    }
}

} // namespace marjoramhaven
