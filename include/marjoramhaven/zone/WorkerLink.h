#pragma once

#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/platform/VmList.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

class WorkerLink;

/// Receives the events of the links to workers.
class WorkerLinkListener
{
public:
    virtual ~WorkerLinkListener() = default;

    /// A session was opened. The inventory lists the attempts that run and those that ended.
    virtual void onSessionOpened(WorkerLink &link, const OpenSessionResponse &inventory, TimePoint now) = 0;
    /// An attempt ended. A session reports each end once; later sessions report it again until it is acknowledged.
    virtual void onAttemptEnded(WorkerLink &link, const AttemptReport &report, TimePoint now) = 0;
    /// The worker refused a renewal because another process has opened a newer session.
    virtual void onFenced(WorkerLink &link, TimePoint now) = 0;
    /// A call to the worker got no answer, for the first time since the last answer.
    virtual void onUnresponsive(WorkerLink &link, TimePoint now) = 0;
};

/// Timing of leases and renewals.
struct WorkerLinkTimes {
    /// Length of every lease.
    Millis lease {6000};
    /// A worker with nothing to report delays its answer to a renewal by at most this long, which sets the pace of renewals.
    Millis renewInterval {1000};
};

/// The leader's connection to one worker: opens a session there, renews all leases of the session together, and
/// collects the ends of attempts.
///
/// The end of a lease is given as an instant on the worker's clock, computed from an estimate that is never ahead of
/// that clock. A renewal that arrives late therefore extends no lease beyond the end that was chosen when it was sent.
class WorkerLink
{
public:
    WorkerLink(Vm vm, std::string owner, WorkerService &service, WorkerLinkTimes times, WorkerLinkListener &listener);

    /// Opens the session or renews the leases when that is due.
    void tick(TimePoint now);
    /// Tells the worker with the next renewal that it may forget an ended attempt.
    void acknowledge(const AttemptId &attempt);
    /// Updates the VM's data from the platform's list.
    void setVm(const Vm &vm) { m_vm = vm; }

    const Vm &vm() const { return m_vm; }
    WorkerService &service() const { return m_service; }
    /// Returns true while the session is open and the worker answers.
    bool isOpen() const { return m_state == State::Open; }
    /// Returns true when this leader has opened a session at the worker at least once.
    bool wasOpened() const { return m_session != 0; }
    std::int64_t session() const { return m_session; }
    /// Returns an estimate of the worker's clock, in milliseconds, that is never ahead of it.
    std::int64_t workerClock(TimePoint now) const;
    /// Grants a lease that begins now: returns its end on the worker's clock, in milliseconds, and postpones leasesExpireAt().
    std::int64_t grantLease(TimePoint now);
    /// Returns the instant by which every lease granted so far has ended, including a margin for clock drift.
    TimePoint leasesExpireAt() const { return m_leasesExpireAt; }
    /// Returns the resource use that the worker measured last.
    const Resources &usage() const { return m_usage; }

private:
    enum class State {
        Closed,
        Opening,
        Open,
    };

    void open();
    void renew(TimePoint now);
    void handleOpened(const std::optional<OpenSessionResponse> &answer, TimePoint now);
    void handleRenewed(const std::optional<RenewResponse> &answer, const std::vector<AttemptId> &acknowledged, TimePoint now);
    void handleNoAnswer(TimePoint now);
    void updateClock(std::int64_t clock, TimePoint now);

    Vm m_vm;
    std::string m_owner;
    WorkerService &m_service;
    WorkerLinkTimes m_times;
    WorkerLinkListener &m_listener;
    State m_state = State::Closed;
    bool m_isRenewing = false;
    int m_failures = 0;
    std::int64_t m_session = 0;
    std::int64_t m_clock = 0;
    TimePoint m_clockReadAt {};
    TimePoint m_leasesExpireAt {};
    TimePoint m_nextCallAt {};
    Resources m_usage;
    std::vector<AttemptId> m_acknowledged;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
