#pragma once

#include <map>
#include <set>
#include <string>

#include "marjoramhaven/fleet/FleetState.h"

namespace marjoramhaven {

/// Starts of one task that were given up and that their workers, or these workers' next incarnations, may still carry out.
struct GivenUpStarts {
    /// True if one of them may be carried out at any moment, because what its worker is bound to is not known.
    bool isAnyOpen = false;
    /// When the planner learned that the outcome of the first of them is not known.
    TimePoint oldest {};
    /// Worker of the last of them that takes tasks, and when the planner learned that its outcome is not known. Empty if there is none.
    std::string worker;
    TimePoint newest {};
    /// Ids of all workers on which one of them may be carried out.
    std::set<std::string> workers;

    /// Adds a start on a worker.
    void add(const FleetState &state, const FleetWorker &on, const UnansweredStart &start);
    /// Returns true if the task must not start anywhere now.
    bool mustWait(bool isLongRunning, TimePoint now) const;
    /// Returns true if the task may start only where they were given up: elsewhere, a restart of that worker could make it run twice.
    bool isBound(bool isLongRunning, TimePoint now) const;
    /// Returns true if the task may start on a worker now.
    bool mayStartOn(const std::string &id, bool isLongRunning, TimePoint now) const;
};

/// Returns true if a start that was given up may be carried out by the worker now: the worker is silent and may have restarted, or its present incarnation has
/// not answered under a higher fencing token yet.
bool mayCarryOutEarlierStarts(const FleetWorker &worker);

/// Returns the starts that were given up of all tasks that have any.
std::map<FleetTaskId, GivenUpStarts> givenUpStarts(const FleetState &state);

/// Returns the starts of one task that were given up.
GivenUpStarts givenUpStartsOf(const FleetState &state, const FleetTaskId &task);

} // namespace marjoramhaven
