#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Resources.h"

namespace marjoramhaven {

/// What a caller was told.
enum class ToldAnswer {
    Done,
    Failed,
    NotRun,
    Unknown,
    Accepted,
};

template<>
struct EnumTable<ToldAnswer> {
    static constexpr EnumName<ToldAnswer> Rows[] = {
        {ToldAnswer::Done, "done"},
        {ToldAnswer::Failed, "failed"},
        {ToldAnswer::NotRun, "not-run"},
        {ToldAnswer::Unknown, "unknown"},
        {ToldAnswer::Accepted, "accepted"},
    };
};

/// One send of a request by a caller, and what came back. Times in milliseconds on the run's one clock.
struct CallSeen {
    std::string id;
    bool repeatable = true;
    /// The result that a right answer carries; empty when it can't be told.
    std::string expected;
    std::int64_t sentAt = 0;
    std::int64_t answeredAt = 0;
    ToldAnswer answer = ToldAnswer::Unknown;
    std::string result;
    /// The id that the answer names.
    std::string answerId;
};

/// One run of one task on a worker. Ends open at the end of the history have endedAt below zero.
struct RunSeen {
    std::string task;
    std::string worker;
    Resources reservation;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = -1;
};

/// A worker's true capacity.
struct CapacitySeen {
    std::string worker;
    Resources capacity;
};

/// The instant at which the platform announced that a worker leaves.
struct LeavingSeen {
    std::string worker;
    std::int64_t at = 0;
};

/// A configuration version that an operator saw at one process.
struct VersionSeen {
    std::string process;
    std::int64_t at = 0;
    std::int64_t number = 0;
    std::string hash;
};

/// Everything that outsiders saw of a run.
struct History {
    std::vector<CallSeen> calls;
    std::vector<RunSeen> runs;
    std::vector<CapacitySeen> capacities;
    std::vector<LeavingSeen> leavings;
    std::vector<VersionSeen> versions;
};

} // namespace marjoramhaven
