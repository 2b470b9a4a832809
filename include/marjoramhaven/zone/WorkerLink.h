#pragma once

#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/platform/VmList.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

class WorkerLink;

/// Hears what happens on the links to workers.
class WorkerLinkListener
{
public:
    virtual ~WorkerLinkListener() = default;

    /// A session was opened; the inventory says what runs and what ended.
    virtual void onSessionOpened(WorkerLink &link, const SessionOpened &inventory, TimePoint now) = 0;
    /// An attempt ended and is not acknowledged yet. Told again until it is.
    virtual void onAttemptEnded(WorkerLink &link, const AttemptReport &report, TimePoint now) = 0;
    /// Another process opened a newer session.
    virtual void onFenced(WorkerLink &link, TimePoint now) = 0;
    /// The worker stopped answering.
    virtual void onUnresponsive(WorkerLink &link, TimePoint now) = 0;
};

/// How a link keeps its session.
struct WorkerLinkTimes {
    /// Length of every lease.
    Millis lease {6000};
    /// A renewal is answered at the latest after this long.
    Millis renewEvery {1000};
};

/// The leader's session at one worker: opens it, renews all its leases together, and collects ends.
///
/// Lease ends are set on the worker's own clock, from a reading that can only be too early. A renewal that
/// arrives late therefore extends nothing beyond what it promised when it was sent.
class WorkerLink
{
public:
    WorkerLink(Vm vm, std::string owner, WorkerService &service, WorkerLinkTimes times, WorkerLinkListener &listener);

    /// Opens or renews when it is time.
    void tick(TimePoint now);
    /// Lets the worker forget an ended attempt with the next renewal.
    void acknowledge(const AttemptId &attempt);
    /// Takes over what the platform's list says of the VM.
    void setVm(const Vm &vm) { m_vm = vm; }

    const Vm &vm() const { return m_vm; }
    WorkerService &service() const { return m_service; }
    /// True while the session is open and the worker answers.
    bool isOpen() const { return m_state == State::Open; }
    /// True when this process opened a session here at least once.
    bool wasOpened() const { return m_session != 0; }
    std::int64_t session() const { return m_session; }
    /// A reading of the worker's clock that is at most its true one.
    std::int64_t workerClock(TimePoint now) const;
    /// Grants a lease from now on: returns its end on the worker's clock, and moves leasesExpireAt() on.
    std::int64_t grantLease(TimePoint now);
    /// When every lease granted over this link has surely ended, if none is granted from now on. The margin for clocks is in it.
    TimePoint leasesExpireAt() const { return m_leasesExpireAt; }
    /// Measured use as last reported.
    const Resources &usage() const { return m_usage; }

private:
    enum class State {
        Closed,
        Opening,
        Open,
    };

    void open();
    void renew(TimePoint now);
    void handleOpened(const std::optional<SessionOpened> &answer, TimePoint now);
    void handleRenewed(const std::optional<Renewed> &answer, const std::vector<AttemptId> &acknowledged, TimePoint now);
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
