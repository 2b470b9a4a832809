#pragma once

#include <array>
#include <string>

#include "ZoneSimulation.h"

namespace marjoramhaven::test {

/// Faults that a test can inject.
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
    LogResponsesLost,
    StartResponsesLost,
    WorkerFailsAll,
    MassCancellation,
    ConflictingPatches,
    BurstOfLeastUrgent,
    BurstOfMostUrgent,
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
    Fault::LogResponsesLost,
    Fault::StartResponsesLost,
    Fault::WorkerFailsAll,
    Fault::MassCancellation,
    Fault::ConflictingPatches,
    Fault::BurstOfLeastUrgent,
    Fault::BurstOfMostUrgent,
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

/// Result of one cell of the matrix, that is, of one run with its faults.
struct CellResult {
    /// False when a fault was not injected, because its step was not reached.
    bool wasInjected = false;
    /// True when every call was answered and every job finished after the faults had ended.
    bool settled = false;
    /// True when a new short request was served after the faults had ended.
    bool servesAfterwards = false;
    std::vector<Violation> violations;
    int done = 0;
    int notRun = 0;
    int unknown = 0;

    bool passed() const { return wasInjected && settled && servesAfterwards && violations.empty(); }
    std::string toString() const;
};

/// Runs the mixed workload (jobs of all kinds and short requests) on one zone and injects each fault at its step.
CellResult runCell(const std::vector<std::pair<Fault, Step>> &faults, std::uint64_t seed);

} // namespace marjoramhaven::test
