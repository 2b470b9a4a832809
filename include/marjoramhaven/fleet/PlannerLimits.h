#pragma once

#include <cstddef>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJobState.h"

namespace marjoramhaven {

/// Time limits of the planner.
struct PlannerLimits {
    /// Length of the leases that the planner grants; longer than the takeover by a new leader takes, so that runs survive it.
    Millis lease {5000};
    /// How long after a confirmation of its leadership the planner grants leases; longer than the calls that confirm it take while the log is slow.
    Millis leadershipBound {3000};
    /// Longest lease that a worker accepts, whatever the request says.
    Millis maxLease {10000};
    /// A request without an answer is carried out within this time or never.
    Millis maxExecutionDelay {13000};
    /// How long a worker may hold back its answer to a poll while no run ends.
    Millis pollWait {1000};
    Millis stopTime {400};
    Millis statusRetention {120000};
    Millis earlyStartTolerance {250};
    /// Maximum time for which response times of a long-running task may stay above their target.
    Millis latencyViolationTolerance {4000};
    /// Largest checkpoint that is stored, in bytes. Runs that write larger ones resume from an earlier one, or from the beginning.
    std::size_t maxCheckpointBytes = 2048;
    /// See FleetJob::TasksPerPart.
    int tasksPerPart = FleetJob::TasksPerPart;
};

} // namespace marjoramhaven
