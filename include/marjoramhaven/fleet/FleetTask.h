#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// State of one task as the planner knows it.
struct FleetTask {
    FleetTaskId id;
    /// Attempt number of the newest run; attempt numbers are never reused.
    std::int64_t lastAttempt = 0;
    /// Attempt numbers of the newest failed runs. A set, because a worker may report the end of a run more than once.
    std::set<std::int64_t> failedAttempts;
    /// Number of the earlier failed runs, whose ends no worker reports any more.
    int olderFailures = 0;
    bool isDone = false;
    /// Checkpoint from which the next run resumes; empty to start from the beginning.
    std::string checkpoint;
    /// Attempt numbers of the runs that may exist on workers.
    std::vector<std::int64_t> activeAttempts;
    /// The next run starts no earlier than this.
    TimePoint notBefore {};
    /// Ids of the workers on which a run failed.
    std::set<std::string> failedOn;

    /// Records the failure of a run; does nothing if it is recorded already.
    void addFailure(std::int64_t attempt);
    /// Returns the number of failed runs.
    int failureCount() const { return olderFailures + static_cast<int>(failedAttempts.size()); }
    /// Returns true if the task needs a run and may start one now.
    bool isWaiting(TimePoint now) const { return !isDone && activeAttempts.empty() && notBefore <= now; }
};

/// A worker on which room is kept for tasks of a gang.
struct GangHold {
    std::string worker;
    std::int64_t tasks = 0;
};

/// One step of one occurrence of a job.
struct FleetStep {
    std::vector<FleetTask> tasks;
    int doneCount = 0;
    /// Durations of the finished runs on the clocks of their workers, in milliseconds.
    std::vector<double> durationsMs;
    /// Start of the current wait: when the step became ready, or when tasks of it last began to wait again.
    TimePoint readySince {};
    /// Other runs are preempted for this step again no earlier than this.
    TimePoint nextPreemptAt {};
    /// For a gang that waits: the workers that are held for it, chosen again after the time below, and when it probably has room on all of them.
    std::vector<GangHold> holds;
    TimePoint nextHoldAt {};
    TimePoint expectedStart {};
    /// Why the step waits is reported again no earlier than this.
    TimePoint nextReportAt {};
    /// True if advice was requested before the step became ready.
    bool isAdvicePrefetched = false;

    bool isDone() const { return doneCount == static_cast<int>(tasks.size()); }
    /// Returns true if each task of the step has an active run of this attempt.
    bool areAllActive(std::int64_t attempt) const;
};

/// One repetition of a job; a job that runs once has a single occurrence.
struct FleetOccurrence {
    std::vector<FleetStep> steps;

    bool isDone() const;
    /// Returns true if all steps that this step depends on are done.
    bool isReady(const StepSpec &step) const;
};

} // namespace marjoramhaven
