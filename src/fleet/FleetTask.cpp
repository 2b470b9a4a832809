#include "marjoramhaven/fleet/FleetTask.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

// Bounds the stored size of a task. The ends of earlier runs were discarded by their workers long ago.
constexpr std::size_t MaxListedFailures = 64;

} // namespace

bool FleetStep::areAllActive(std::int64_t attempt) const
{
    return std::all_of(tasks.begin(), tasks.end(), [attempt](const FleetTask &it) {
        return std::find(it.activeAttempts.begin(), it.activeAttempts.end(), attempt) != it.activeAttempts.end();
    });
}

bool FleetOccurrence::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const FleetStep &it) {
        return it.isDone();
    });
}

bool FleetOccurrence::isReady(const StepSpec &step) const
{
    return std::all_of(step.after.begin(), step.after.end(), [this](int it) {
        return steps[static_cast<std::size_t>(it)].isDone();
    });
}

void FleetTask::addFailure(std::int64_t attempt)
{
    // A lower attempt number than all these is counted in olderFailures.
    if (failedAttempts.size() == MaxListedFailures && attempt < *failedAttempts.begin()) {
        return;
    }
    failedAttempts.insert(attempt);
    if (failedAttempts.size() > MaxListedFailures) {
        failedAttempts.erase(failedAttempts.begin());
        ++olderFailures;
    }
}

} // namespace marjoramhaven
