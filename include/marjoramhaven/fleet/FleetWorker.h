#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetCalls.h"

namespace marjoramhaven {

/// Slowest that a worker's clock may run against ours.
inline constexpr double MinWorkerClockRate = 0.98;

/// What the planner believes of one worker's clock and lease, all in that worker's milliseconds.
class WorkerLease
{
public:
    /// Takes a reading of the worker's clock, which was taken at some moment before now.
    void observe(std::int64_t workerClockMs, TimePoint now);
    /// True when a reading is older than the clock can be by now: it is another incarnation's.
    bool isFromEarlierIncarnation(std::int64_t workerClockMs, TimePoint now) const;
    /// The worker's clock at least shows this; nothing before the first reading.
    std::optional<std::int64_t> clockAt(TimePoint now) const;
    /// The lease end to grant for a length of time from now, and remembers it as granted.
    std::int64_t grant(Millis length, TimePoint now);
    /// True when all that was granted has surely lapsed on the worker's own clock.
    bool hasCertainlyExpired(TimePoint now) const;
    /// Makes the lease count as granted until an instant of ours; used for what another planner granted.
    void assumeGrantedUntil(TimePoint until) { m_assumedUntil = std::max(m_assumedUntil, until); }
    /// Forgets everything; for a new incarnation.
    void reset() { *this = {}; }

private:
    std::optional<std::int64_t> m_clockMs;
    TimePoint m_observedAt {};
    std::int64_t m_grantedMs = 0;
    TimePoint m_assumedUntil {};
};

/// One run that stands on a worker: a task, and the number of its attempt.
struct RunKey {
    FleetTaskId task;
    std::int64_t attempt = 0;

    bool operator==(const RunKey &other) const { return task == other.task && attempt == other.attempt; }
    bool operator<(const RunKey &other) const { return std::tie(task, attempt) < std::tie(other.task, other.attempt); }
};

/// What one run takes of its worker, and whether it may have to give way.
struct RunAllocation {
    TaskNeeds needs;
    /// Of its queue; 0 is the most urgent.
    int priority = 0;
    /// It resumes elsewhere from where it was stopped.
    bool isPreemptible = false;
    /// A stop was ordered; its room comes free soon.
    bool isStopping = false;
    /// When it was placed.
    TimePoint placedAt {};
};

/// One worker as the planner believes it to be.
struct FleetWorker {
    WorkerReport report;
    /// True while the worker's entry stands in the platform's list.
    bool isListed = false;
    TimePoint unlistedSince {};
    /// The incarnation that the inventory was taken of; 0 before the first inventory.
    std::int64_t bornMs = 0;
    /// True when the worker has told all its runs under this planner's fencing token.
    bool isInventoried = false;
    WorkerLease lease;
    TimePoint lastResponseAt {};
    TimePoint drainingSince {};
    int failedPolls = 0;
    bool isPollInFlight = false;
    TimePoint nextPollAt {};
    /// EndedRuns up to this number are stored; the worker may forget them.
    std::int64_t lastStoredEnd = 0;
    /// EndedRuns up to this number are taken note of.
    std::int64_t lastSeenEnd = 0;
    /// Runs that may stand on the worker.
    std::map<RunKey, RunAllocation> allocations;
    TaskNeeds used;
    /// No starts before this instant, since the worker refused or failed.
    TimePoint avoidUntil {};
    /// Starts that were given up without an answer; they may still be carried out, on a new incarnation too.
    std::vector<std::pair<TimePoint, RunKey>> unansweredStarts;
    /// Jobs whose runs failed here lately, newest last.
    std::vector<std::pair<TimePoint, std::string>> recentFailures;

    /// Where calls go.
    WorkerTarget target() const { return {report.id, report.host, report.port}; }
    /// True when needs fit beside what stands on the worker.
    bool hasRoomFor(const TaskNeeds &needs) const;
    /// How many tasks with these needs fit beside what stands on the worker.
    std::int64_t slotsFor(const TaskNeeds &needs) const;
    /// Adds and removes a run; nothing happens when it is there, or is not there, already.
    void allocate(const RunKey &key, const RunAllocation &occupant);
    void release(const RunKey &key);
    /// True when the worker carries a label; racks are labels too.
    bool hasLabel(const std::string &label) const;
};

} // namespace marjoramhaven
