#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetCalls.h"

namespace marjoramhaven {

/// How one task behaves on any worker.
struct TaskBehaviour {
    TaskNeeds needs;
    Millis duration {1000};
    /// It ends as failed instead of done.
    bool fails = false;
    /// Its progress stands still.
    bool hangs = false;
    bool isLasting = false;
    bool checkpoints = false;
    bool isFiller = false;
    /// Members of its gang; 0 when it runs alone.
    int gangSize = 0;
};

/// Times that every worker of a fleet keeps.
struct FleetWorkerTimes {
    Millis longestLease {10000};
    Millis stopTime {200};
    Millis gangTimeout {3000};
    /// A lasting task is at work this long after its start.
    Millis warmUp {400};
};

/// What happens to runs, as the worker itself sees it.
struct RunEvent {
    enum class Kind {
        Begun,
        Ended,
    };
    Kind kind = Kind::Begun;
    std::string worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    RunEnd end = RunEnd::Done;
    TimePoint at {};
};

/// A worker that runs tasks under a lease, keeps the highest fencing token it has seen, and lists ends until they are acknowledged.
///
/// Decides in virtual time; does no I/O.
class FleetWorkerModel
{
public:
    using Behaviours = std::function<std::optional<TaskBehaviour>(const FleetTaskId &)>;

    FleetWorkerModel(WorkerReport report, FleetWorkerTimes times, Behaviours behaviours, std::function<void(const RunEvent &)> onEvent);

    const WorkerReport &report() const { return m_report; }
    /// The entry as the worker would write it now.
    WorkerReport reportAt(TimePoint now) const;
    void setDraining(Millis remaining);

    /// Lets time pass: tasks end, leases lapse.
    void advance(TimePoint now);
    OrderAnswer start(const StartOrder &order, TimePoint now);
    OrderAnswer stop(const StopOrder &order, TimePoint now);
    OrderAnswer pace(const PaceOrder &order, TimePoint now);
    HoldAnswer hold(const HoldOrder &order, TimePoint now);
    /// True when a hold that acknowledges up to a number would list an end.
    bool hasEndAfter(std::int64_t acknowledged) const { return !m_ended.empty() && m_ended.back().number > acknowledged; }
    /// Everything that runs is gone, and nothing is known of before.
    void restart(TimePoint now);

    /// Members of a gang that are present: runs of the same step and attempt.
    int gangMembers(const FleetTaskId &member, std::int64_t attempt) const;
    /// All members are present on some workers: they begin to work.
    void completeGang(const FleetTaskId &member, std::int64_t attempt);
    /// A member of a gang that was complete is missing: the others end.
    void breakGang(const FleetTaskId &member, std::int64_t attempt, TimePoint now);

    /// What runs now uses.
    TaskNeeds used() const;
    std::size_t runningCount() const { return m_runs.size(); }
    /// When the lease was last seen to have lapsed.
    TimePoint lapsedAt() const { return m_lapsedAt; }
    /// The runs that stand on the worker.
    std::vector<std::pair<FleetTaskId, std::int64_t>> runs() const;

private:
    struct Run {
        FleetTaskId task;
        std::int64_t attempt = 0;
        TaskBehaviour behaviour;
        TimePoint begunAt {};
        Millis done {0};
        TimePoint workedUntil {};
        int pace = 100;
        std::optional<TimePoint> stoppingSince;
        bool isGangComplete = false;
    };

    std::int64_t clockAt(TimePoint now) const;
    bool followsToken(std::int64_t fence);
    void extendLease(std::int64_t untilMs, TimePoint now);
    void work(Run &run, TimePoint now);
    std::optional<RunEnd> endOf(const Run &run, TimePoint now) const;
    void endRun(std::size_t index, RunEnd end, TimePoint now);
    std::string checkpointOf(const Run &run) const;
    OrderAnswer answer(OrderOutcome outcome, TimePoint now) const;

    WorkerReport m_report;
    const FleetWorkerTimes m_times;
    Behaviours m_behaviours;
    std::function<void(const RunEvent &)> m_onEvent;
    TimePoint m_bornAt {};
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    TimePoint m_lapsedAt {};
    std::int64_t m_lastNumber = 0;
    std::vector<Run> m_runs;
    std::vector<EndedRow> m_ended;
    std::map<FleetTaskId, std::int64_t> m_closedAttempts;
};

} // namespace marjoramhaven
