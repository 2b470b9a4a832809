#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/fleet/TaskPlacer.h"

namespace marjoramhaven {

/// A ready step with tasks that wait to be placed on workers.
struct TaskPlacer::PendingStep {
    FleetJob *job = nullptr;
    int occurrence = 0;
    int number = 0;
    FleetStep *step = nullptr;
    const StepSpec *spec = nullptr;
    std::vector<FleetTask *> waiting;
    PendingStepRank rank {};

    /// Returns the name of the step in requests to the advisor.
    std::string name() const { return job->id() + "." + std::to_string(occurrence) + "." + std::to_string(number); }
};

} // namespace marjoramhaven
