#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// What a worker did, for a history of a run. Times are on the worker's clock, in milliseconds.
struct WorkerEvent {
    enum class Kind {
        Started,
        Ended,
    };
    Kind kind = Kind::Started;
    std::int64_t at = 0;
    std::string worker;
    AttemptId attempt;
    Resources reservation;
};

/// The platform's side of the worker contract: sessions, leases, attempts. Time is an argument, so tests drive it.
///
/// Work is described by its JSON: `run_ms`, `fail` (true ends it as failed), `echo` (the result).
class WorkerModel
{
public:
    WorkerModel(std::string name, Resources capacity);

    SessionOpened open(const std::string &owner, std::int64_t clock);
    /// Extends leases and takes acknowledgements. Nothing is told yet; see takeNews().
    bool renew(const RenewRequest &request, std::int64_t clock);
    /// True when an attempt ended that the session was not told of.
    bool hasNews(std::int64_t session) const;
    /// The answer to a renewal: ends not told in this session.
    Renewed takeNews(std::int64_t session, std::int64_t clock);
    Started start(const StartRequest &request, std::int64_t clock);
    AttemptReport close(const AttemptId &attempt, std::int64_t clock);
    AttemptReport stop(std::int64_t session, const AttemptId &attempt, std::int64_t clock);
    /// Ends what is over: run times and leases.
    void advance(std::int64_t clock);
    /// The report of an attempt as it stands.
    AttemptReport report(const AttemptId &attempt) const;
    /// When the next running attempt ends by itself; nothing when none runs.
    std::optional<std::int64_t> nextChange() const;

    /// Makes every task that starts fail at once.
    void setFailsAll(bool failsAll) { m_failsAll = failsAll; }
    /// Called for each start and end.
    void setObserver(std::function<void(const WorkerEvent &)> observer) { m_observer = std::move(observer); }
    /// Forgets everything, as a replaced VM does. Running work ends unreported.
    void reset(std::int64_t clock);
    const std::string &name() const { return m_name; }
    const Resources &capacity() const { return m_capacity; }
    const Resources &reserved() const { return m_reserved; }
    int runningCount() const { return m_running; }

private:
    struct Attempt {
        AttemptReport report;
        std::int64_t endsAt = 0;
        std::int64_t leaseUntil = 0;
        std::int64_t forgetAt = 0;
        bool fails = false;
        bool told = false;
    };

    Started refuse(const AttemptId &attempt, std::string reason, std::int64_t forgetAt);
    void end(Attempt &attempt, TaskOutcome outcome, std::string result, std::int64_t clock);
    void observe(WorkerEvent::Kind kind, const Attempt &attempt, std::int64_t clock) const;

    std::string m_name;
    Resources m_capacity;
    Resources m_reserved;
    int m_running = 0;
    std::int64_t m_session = 0;
    bool m_failsAll = false;
    std::map<AttemptId, Attempt> m_attempts;
    std::function<void(const WorkerEvent &)> m_observer;
};

} // namespace marjoramhaven
