#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/fleet/StepFit.h"
#include "marjoramhaven/fleet/TaskPlacer.h"

namespace marjoramhaven {

/// A ready step with tasks that wait to be placed on workers.
struct TaskPlacer::PendingStep {
    FleetJob *job = nullptr;
    FleetStep *step = nullptr;
    const StepSpec *spec = nullptr;
    std::vector<FleetTask *> waiting;
    StepFit fit;
    PendingStepRank rank {};
};

} // namespace marjoramhaven
