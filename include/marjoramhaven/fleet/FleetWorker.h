#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetClients.h"
#include "marjoramhaven/fleet/LeadershipConfirmation.h"
#include "marjoramhaven/fleet/WorkerCallHistory.h"

namespace marjoramhaven {

/// Estimates one worker's clock and tracks the lease granted to it. Lease ends are in milliseconds on the worker's own clock.
class WorkerLease
{
public:
    /// Records a reading of the worker's clock that the worker took at an unknown time before `now`.
    void observe(std::int64_t workerClockMs, TimePoint now);
    /// Returns true if a reading is lower than this incarnation's clock can be by now, so that it belongs to another incarnation.
    bool isFromEarlierIncarnation(std::int64_t workerClockMs, TimePoint now) const;
    /// Returns a lower bound of the worker's clock, or `std::nullopt` before the first reading.
    std::optional<std::int64_t> clockAt(TimePoint now) const;
    /// Grants a lease of this length from now. Returns its end on the worker's clock, or 0 before the first reading.
    std::int64_t grant(Millis length, TimePoint now);
    /// Returns true if every granted lease has certainly expired on the worker's own clock.
    bool hasCertainlyExpired(TimePoint now) const;
    /// Treats the lease as valid until this time on this process's clock; used for leases that an earlier planner may have granted.
    void assumeGrantedUntil(TimePoint until) { m_assumedUntil = std::max(m_assumedUntil, until); }
    /// The same for a lease that a late request to an earlier incarnation may have granted to this one.
    void assumeLateGrantUntil(TimePoint until);
    /// Returns true while a late request may have granted the worker a longer lease than this process and its predecessors did.
    bool mayBeGrantedLate(TimePoint now) const { return now < m_lateGrantUntil; }
    /// Returns for how much longer the lease is treated as valid because of assumed grants.
    Millis assumedFor(TimePoint now) const { return std::max(Millis(0), m_assumedUntil - now); }
    /// Discards all readings and grants, for a new incarnation of the worker.
    void reset() { *this = {}; }

private:
    std::optional<std::int64_t> m_clockMs;
    TimePoint m_observedAt {};
    std::int64_t m_grantedMs = 0;
    TimePoint m_assumedUntil {};
    TimePoint m_lateGrantUntil {};
};

/// Identifies one run: its task and its attempt number.
struct RunKey {
    FleetTaskId task;
    std::int64_t attempt = 0;

    bool operator==(const RunKey &other) const { return task == other.task && attempt == other.attempt; }
    bool operator<(const RunKey &other) const { return std::tie(task, attempt) < std::tie(other.task, other.attempt); }
};

/// Resources that one run takes up on its worker, and whether it may be preempted.
struct RunAllocation {
    FleetResources needs;
    /// Priority of the run's queue; 0 is the highest.
    int priority = 0;
    /// True if the run may be stopped for a higher priority, because it resumes elsewhere from its checkpoint.
    bool isPreemptible = false;
    /// True if a stop was requested, so that the resources become free soon, and since when.
    bool isStopping = false;
    TimePoint stoppingSince {};
    /// True if the run does not end by itself.
    bool isLasting = false;
    /// When the run was placed on the worker.
    TimePoint placedAt {};
    /// When the run probably ends, by the estimate of its step; of no meaning for one that lasts.
    TimePoint expectedEnd {};
};

/// Room on a worker that is kept free for a gang.
struct WorkerHold {
    FleetResources resources;
    /// When the gang probably has room on all its workers.
    TimePoint until {};
};

/// A start request that its worker may carry out later than its answer came, also in a new incarnation.
struct UnansweredStart {
    RunKey key;
    /// When the planner learned that the outcome of the newest request is not known.
    TimePoint since {};
    /// The same for the first of the requests, which all carry the same attempt.
    TimePoint firstSince {};
    /// True if the worker has restarted since, and its new incarnation has not confirmed that the run is stopped.
    bool mustStop = false;
    bool isStopInFlight = false;
    TimePoint nextStopAt {};
};

/// State of one worker as the planner knows it.
struct FleetWorker {
    WorkerReport report;
    /// True while the platform's list contains the worker.
    bool isListed = false;
    /// True while the newest entry under the worker's id can't be read or contradicts what the worker says of itself.
    bool isEntryUnreadable = false;
    /// When the worker disappeared from the platform's list.
    TimePoint unlistedSince {};
    /// Start of the incarnation that last listed its runs, in milliseconds since the Unix epoch; 0 before the first list.
    std::int64_t startedUnixMs = 0;
    /// Starts of the newest earlier incarnations, oldest first. A start identifies an incarnation and does not order two of them.
    std::vector<std::int64_t> earlierStarts;
    /// True if this incarnation of the worker has listed all its runs under this planner's fencing token.
    bool isInventoried = false;
    /// True if this incarnation was inventoried at any time since the takeover.
    bool wasInventoried = false;
    /// Fencing token of the requests that are sent to the worker now; it only grows. 0 until one had to be raised.
    std::int64_t fencingToken = 0;
    /// Highest fencing token of the requests that may change what a later incarnation of the worker does: starts, and polls that grant a lease or acknowledge
    /// ends.
    std::int64_t bindingToken = 0;
    /// Lowest fencing token under which the present incarnation refuses all that was sent to its predecessors; 0 if none of them was sent anything.
    std::int64_t requiredToken = 0;
    /// Highest fencing token of the polls that the present incarnation has answered.
    std::int64_t answeredToken = 0;
    /// True while another worker answers where this one did. What was sent to this one can't be carried out there.
    bool isReplaced = false;
    /// Address at which the worker answered its newest poll.
    std::string answeredHost;
    int answeredPort = 0;
    WorkerLease lease;
    /// True if runs of the worker may be marked with FleetRun::mayHoldLateLease.
    bool hasMarkedRuns = false;
    /// What the polls asked for, for the event log.
    WorkerCallHistory calls;
    TimePoint lastResponseAt {};
    TimePoint drainingSince {};
    /// Polls without an answer since the last answered one.
    int failedPolls = 0;
    bool isPollInFlight = false;
    /// PollWorkerRequest::sequence of the newest poll.
    std::int64_t pollSequence = 0;
    /// True while a poll is under way that was sent to an earlier incarnation. It acknowledges the ends of that one, and would delete those of the present one.
    bool isEarlierPollInFlight = false;
    TimePoint nextPollAt {};
    /// The worker's clock in its newest list, in milliseconds; 0 before the first list of this incarnation.
    std::int64_t lastListClockMs = 0;
    /// Number of the last ended run that is stored; the worker may discard ended runs up to it.
    std::int64_t lastStoredEnd = 0;
    /// Number of the last ended run that the planner has processed.
    std::int64_t lastSeenEnd = 0;
    /// Numbers of the ended runs that the planner has processed and not stored, with their jobs.
    std::vector<std::pair<std::int64_t, std::string>> unstoredEnds;
    /// Resources of the runs that may exist on the worker.
    std::map<RunKey, RunAllocation> allocations;
    /// Sum of the resources in `allocations`.
    FleetResources used;
    /// The part of `used` that belongs to runs which do not end by themselves.
    FleetResources usedByLastingRuns;
    /// True if the worker was slow when plan() began.
    bool isSlow = false;
    /// Set while plan() keeps room for a gang that ranks before the steps that are still to be placed.
    std::optional<WorkerHold> hold;
    /// No runs start here before this time, because the worker refused a request, did not answer or had failing runs.
    TimePoint avoidUntil {};
    /// Start requests at least one sending of which was not answered; the worker may still carry them out, also in a new incarnation.
    std::vector<UnansweredStart> unansweredStarts;
    /// Jobs whose runs failed here recently, newest last.
    std::vector<std::pair<TimePoint, std::string>> recentFailures;

    /// Returns the address for calls to the worker.
    WorkerAddress target() const { return {report.id, report.host, report.port}; }
    /// Records that the present incarnation has ended.
    void rememberIncarnation();
    /// Returns true if the incarnation that started then has ended.
    bool hadIncarnation(std::int64_t unixMs) const;
    /// Returns true if the present incarnation refuses all requests that were sent to its predecessors.
    bool refusesEarlierRequests() const { return answeredToken >= requiredToken; }
    /// Returns true if the worker has these resources free.
    bool hasRoomFor(const FleetResources &needs) const { return needs.fitBeside(used, report.capacity); }
    /// Returns true if the worker has these resources free once all runs that end by themselves have ended.
    bool mayHaveRoomFor(const FleetResources &needs) const { return needs.fitBeside(usedByLastingRuns, report.capacity); }
    /// Returns when the worker probably has these resources free, `now` at the earliest; TimePoint::max() if only the end of a run that lasts could free them.
    TimePoint roomExpectedAt(const FleetResources &needs, TimePoint now) const;
    /// Allocates the resources of a run; does nothing if the run has an allocation already.
    void allocate(const RunKey &key, const RunAllocation &allocation);
    /// Releases the resources of a run; does nothing if the run has no allocation.
    void release(const RunKey &key);
    /// Returns the number of the last processed end such that neither it nor an earlier unstored one belongs to one of these jobs.
    std::int64_t lastEndBefore(const std::set<std::string> &jobs) const;
    /// Records that the ends up to this number are stored.
    void acknowledgeEnds(std::int64_t number);
    /// Returns true if the worker has this label; its rack is a label too.
    bool hasLabel(const std::string &label) const;
};

} // namespace marjoramhaven
