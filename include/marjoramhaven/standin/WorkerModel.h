#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// Start or end of an attempt on a worker. The time is on the worker's clock, in milliseconds.
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

/// Model of a worker as the platform implements it: sessions, leases and attempts. Each call takes the time, so that tests control it.
///
/// The work of a task is a JSON object with `run_ms`, `fail` (true: the attempt ends as failed) and `echo` (the result).
class WorkerModel
{
public:
    WorkerModel(std::string name, Resources capacity);

    /// Opens a session, which supersedes all earlier ones, and reports all attempts that are not closed.
    OpenSessionResponse open(const std::string &owner, std::int64_t clock);
    /// Extends the leases of all attempts and removes acknowledged ends. Returns false when a newer session has been opened.
    bool renew(const RenewRequest &request, std::int64_t clock);
    /// Returns whether takeUnreportedEnds() has something to report: an end not yet reported in this session, or that a newer session has been opened.
    bool hasUnreportedEnds(std::int64_t session) const;
    /// Returns the response to a renewal, with the ends not yet reported in this session, and marks them as reported.
    RenewResponse takeUnreportedEnds(std::int64_t session, std::int64_t clock);
    /// Starts an attempt unless it is known already. A refused attempt is closed and never starts later.
    StartResponse start(const StartRequest &request, std::int64_t clock);
    /// Closes an attempt that is not known, so that it never starts. Returns the report of the attempt.
    AttemptReport close(const AttemptId &attempt, std::int64_t clock);
    /// Stops a running attempt if the session is the newest one; closes an attempt that is not known.
    AttemptReport stop(std::int64_t session, const AttemptId &attempt, std::int64_t clock);
    /// Ends the attempts whose run time is over or whose lease has expired.
    void advance(std::int64_t clock);
    /// Returns the current report of an attempt.
    AttemptReport report(const AttemptId &attempt) const;
    /// Returns when the next running attempt ends by itself, or std::nullopt when none is running.
    std::optional<std::int64_t> nextEnd() const;

    /// Makes every attempt that starts from now on end as failed, when its run time is over.
    void setFailsAll(bool failsAll) { m_failsAll = failsAll; }
    /// Sets a function that is called for each start and end of an attempt.
    void setObserver(std::function<void(const WorkerEvent &)> observer) { m_observer = std::move(observer); }
    /// Forgets all attempts, as a replaced VM does. Running attempts end without a report to the session.
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
        std::int64_t expiresAt = 0;
        bool fails = false;
        bool isReported = false;
    };

    StartResponse refuse(const AttemptId &attempt, std::string reason, std::int64_t expiresAt);
    void end(Attempt &attempt, TaskOutcome outcome, std::string result, std::int64_t clock);
    void notifyObserver(WorkerEvent::Kind kind, const Attempt &attempt, std::int64_t clock) const;

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
