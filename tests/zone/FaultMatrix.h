#pragma once

#include <array>
#include <string>

#include "FakeZone.h"

namespace marjoramhaven::test {

/// What can go wrong.
enum class Fault {
    ProcessDies,
    ProcessPauses,
    PausedPastLease,
    CutFromPeers,
    CutFromLog,
    CutFromWorkers,
    WorkerLost,
    RackLost,
    LogDown,
    LogSlow,
    LogAnswersLost,
    StartAnswersLost,
    WorkerFailsAll,
    CancellationWave,
    RivalPatches,
    FloodOfLeastUrgent,
    FloodOfMostUrgent,
};

inline constexpr std::array AllFaults = {
    Fault::ProcessDies,
    Fault::ProcessPauses,
    Fault::PausedPastLease,
    Fault::CutFromPeers,
    Fault::CutFromLog,
    Fault::CutFromWorkers,
    Fault::WorkerLost,
    Fault::RackLost,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LogAnswersLost,
    Fault::StartAnswersLost,
    Fault::WorkerFailsAll,
    Fault::CancellationWave,
    Fault::RivalPatches,
    Fault::FloodOfLeastUrgent,
    Fault::FloodOfMostUrgent,
};

inline constexpr std::array AllSteps = {
    Step::Submit,
    Step::Claim,
    Step::Dispatch,
    Step::Renew,
    Step::Finish,
    Step::Answer,
    Step::Takeover,
    Step::Patch,
    Step::Snapshot,
    Step::Stop,
};

const char *nameOf(Fault fault);
const char *nameOf(Step step);

/// How a cell of the matrix went.
struct CellResult {
    /// False when the step never came, so that the fault did not strike.
    bool struck = false;
    bool settled = false;
    bool servesAfterwards = false;
    std::vector<Breach> breaches;
    int done = 0;
    int notRun = 0;
    int unknown = 0;

    bool passed() const { return struck && settled && servesAfterwards && breaches.empty(); }
    std::string toString() const;
};

/// Runs the mixed workload of both users on one zone, with faults that strike at steps.
CellResult runCell(const std::vector<std::pair<Fault, Step>> &faults, std::uint64_t seed);

} // namespace marjoramhaven::test
