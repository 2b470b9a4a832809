#pragma once

#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"

namespace marjoramhaven {

/// Timeout of a poll beyond the wait that it asks the worker for.
inline constexpr Millis PollResponseMargin {700};

/// Actions that become allowed once the records of the last batch are stored.
struct FleetPlanner::Batch {
    /// Ended runs of one incarnation of a worker up to a number, which the worker may then discard.
    struct EndedRuns {
        std::string worker;
        std::int64_t startedUnixMs = 0;
        std::int64_t number = 0;
    };

    /// Runs whose start requests may be sent.
    std::vector<RunKey> starts;
    std::vector<EndedRuns> ends;
    /// States of jobs that may be reported to callers.
    std::vector<std::pair<std::string, FleetJobState>> storedStates;
};

} // namespace marjoramhaven
