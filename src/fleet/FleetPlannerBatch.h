#pragma once

#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"

namespace marjoramhaven {

/// What may happen once the records taken last are stored.
struct FleetPlanner::Batch {
    /// EndedRuns of one incarnation of a worker up to a number.
    struct EndedRuns {
        std::string worker;
        std::int64_t bornMs = 0;
        std::int64_t number = 0;
    };

    std::vector<RunKey> starts;
    std::vector<EndedRuns> ends;
    std::vector<std::pair<std::string, FleetJobState>> shown;
};

/// One step with tasks that wait for a place.
struct FleetPlanner::PendingStep {
    FleetJob *job = nullptr;
    int occurrence = 0;
    int number = 0;
    FleetStep *step = nullptr;
    const StepSpec *spec = nullptr;
    std::vector<FleetTask *> waiting;
    PendingStepRank rank {};

    /// The step's name towards the advisor.
    std::string name() const { return job->id() + "." + std::to_string(occurrence) + "." + std::to_string(number); }
};

} // namespace marjoramhaven
