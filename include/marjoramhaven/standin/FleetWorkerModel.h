#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetClients.h"

namespace marjoramhaven {

/// Simulated behaviour of a task; the same on every worker.
struct TaskBehaviour {
    FleetResources needs;
    Millis duration {1000};
    /// The run ends as failed instead of done.
    bool fails = false;
    /// The run makes no progress.
    bool hangs = false;
    bool isLongRunning = false;
    bool checkpoints = false;
    bool isBestEffort = false;
    /// Number of members of the task's gang; 0 when the task is not part of a gang.
    int gangSize = 0;
};

/// Time limits that are the same on every simulated worker.
struct FleetWorkerTimes {
    /// Longest lease that a worker grants; a later expiry is cut to this.
    Millis maxLease {10000};
    /// How long a run takes to end after the request to stop.
    Millis stopTime {200};
    /// A gang member ends when the gang is still incomplete this long after the member's start.
    Millis gangTimeout {3000};
    /// A long-running task reports 0 percent for this long after its start, then 100 percent.
    Millis warmUp {400};
    /// Rate of the worker's clock.
    double clockRate = 1;
};

/// Start or end of a run, as observed by the worker itself.
struct RunEvent {
    enum class Kind {
        Started,
        Ended,
    };
    Kind kind = Kind::Started;
    std::string worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    RunEnd end = RunEnd::Done;
    TimePoint at {};
};

/// Acknowledgement of an end of a run, as observed by the worker itself.
struct EndAcknowledgement {
    std::string worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    RunEnd end = RunEnd::Done;
    TimePoint endedAt {};
    /// Whether the worker's lease expired between the end and its acknowledgement.
    bool hasLeaseExpired = false;
};

/// Model of a worker that runs tasks under a lease, rejects requests with a fencing token lower than the highest it has seen, and lists ended runs
/// until they are acknowledged.
///
/// Works in virtual time: each call takes the current time. Does no I/O.
class FleetWorkerModel
{
public:
    using BehaviourLookup = std::function<std::optional<TaskBehaviour>(const FleetTaskId &)>;

    FleetWorkerModel(WorkerReport report, FleetWorkerTimes times, BehaviourLookup behaviours, std::function<void(const RunEvent &)> onEvent);

    /// Called for each end that a poll acknowledges, before the poll extends the lease, if set.
    std::function<void(const EndAcknowledgement &)> onAcknowledgement;

    const WorkerReport &report() const { return m_report; }
    /// Returns the inventory entry as the worker would write it now, with its current clock.
    WorkerReport reportAt(TimePoint now) const;
    /// Marks the worker as draining, with the time that remains until it is removed.
    void setDraining(Millis remaining);

    /// Advances to a point in time: ends the runs that are due by then, and all runs when the lease has expired.
    void advance(TimePoint now);
    /// Starts a run. Refuses an attempt that is not newer than one that has ended or was stopped, and a request whose lease has already expired.
    /// Succeeds without effect when the run is running already.
    WorkerResponse start(const StartRunRequest &request, TimePoint now);
    /// Begins to stop a run, which ends after FleetWorkerTimes::stopTime. No attempt of the task up to this one can start any more.
    WorkerResponse stop(const StopRunRequest &request, TimePoint now);
    /// Limits the speed of a run to a percentage.
    WorkerResponse throttle(const ThrottleRunRequest &request, TimePoint now);
    /// Extends the lease, forgets the acknowledged ends, and lists the current runs and the other ends.
    PollWorkerResponse poll(const PollWorkerRequest &request, TimePoint now);
    /// Returns whether a poll that acknowledges ends up to a number would list a later one.
    bool hasEndAfter(std::int64_t acknowledged) const { return !m_ended.empty() && m_ended.back().number > acknowledged; }
    /// Restarts the worker: all runs end without a report, and the worker forgets leases, fencing tokens, ended runs and closed attempts.
    void restart(TimePoint now);
    /// Restarts the worker as an incarnation that reports this start, in milliseconds since the Unix epoch. After a step of the worker's clock, it may be
    /// earlier than that of the incarnation before.
    void restartAs(std::int64_t startedUnixMs, TimePoint now);

    /// Counts the running members of a gang on this worker: the runs of the same step and attempt.
    int gangMemberCount(const FleetTaskId &member, std::int64_t attempt) const;
    /// Lets the members of a gang on this worker make progress. To be called once all members run, on whichever workers.
    void completeGang(const FleetTaskId &member, std::int64_t attempt);
    /// Ends the members on this worker of a gang that was complete and has lost a member.
    void breakGang(const FleetTaskId &member, std::int64_t attempt, TimePoint now);

    /// Returns the sum of the needs of all current runs. The CPU needs of best-effort tasks don't count.
    FleetResources used() const;
    std::size_t runningCount() const { return m_runs.size(); }
    /// Returns the latest time at which advance() found the lease expired.
    TimePoint leaseExpiredAt() const { return m_leaseExpiredAt; }
    /// Returns the task and attempt of each current run.
    std::vector<std::pair<FleetTaskId, std::int64_t>> runs() const;

private:
    struct Run {
        FleetTaskId task;
        std::int64_t attempt = 0;
        TaskBehaviour behaviour;
        TimePoint startedAt {};
        Millis completedWork {0};
        TimePoint accruedUntil {};
        int pace = 100;
        std::optional<TimePoint> stoppingSince;
        bool isGangComplete = false;
    };

    std::int64_t clockAt(TimePoint now) const;
    bool acceptFencingToken(std::int64_t fencingToken);
    void extendLease(std::int64_t untilMs, TimePoint now);
    void accrueWork(Run &run, TimePoint now);
    std::optional<RunEnd> endOf(const Run &run, TimePoint now) const;
    void endRun(std::size_t index, RunEnd end, TimePoint now);
    std::string checkpointOf(const Run &run) const;
    // Forgets the ends up to a number.
    void acknowledgeEnds(std::int64_t acknowledged);
    WorkerResponse answer(WorkerCallOutcome outcome, TimePoint now) const;

    WorkerReport m_report;
    const FleetWorkerTimes m_times;
    BehaviourLookup m_lookUpBehaviour;
    std::function<void(const RunEvent &)> m_onEvent;
    TimePoint m_instanceStartedAt {};
    std::int64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    TimePoint m_leaseExpiredAt {};
    std::int64_t m_lastEndNumber = 0;
    std::vector<Run> m_runs;
    std::vector<EndedRunInfo> m_ended;
    // When each of the ends happened, by number.
    std::map<std::int64_t, TimePoint> m_endedAt;
    std::map<FleetTaskId, std::int64_t> m_closedAttempts;
};

} // namespace marjoramhaven
