#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Resources.h"

namespace marjoramhaven {

/// The answer that a client received.
enum class ObservedAnswer {
    Done,
    Failed,
    NotRun,
    Unknown,
    Accepted,
};

template<>
struct EnumTable<ObservedAnswer> {
    static constexpr EnumName<ObservedAnswer> Rows[] = {
        {ObservedAnswer::Done, "done"},
        {ObservedAnswer::Failed, "failed"},
        {ObservedAnswer::NotRun, "not-run"},
        {ObservedAnswer::Unknown, "unknown"},
        {ObservedAnswer::Accepted, "accepted"},
    };
};

/// One request sent by a client and the answer to it. A retry is recorded as a request of its own. All times in a history are milliseconds on a
/// single clock.
struct ObservedCall {
    std::string id;
    /// False when the task must run at most once.
    bool repeatable = true;
    /// The result that a correct answer carries; empty when it is not known.
    std::string expected;
    std::int64_t sentAt = 0;
    std::int64_t answeredAt = 0;
    ObservedAnswer answer = ObservedAnswer::Unknown;
    std::string result;
    /// The task id in the answer; empty when the answer has none.
    std::string answerId;
};

/// One run of a task on a worker. `endedAt` is negative when the run had not ended at the end of the history.
struct ObservedRun {
    std::string task;
    std::string worker;
    Resources reservation;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = -1;
};

/// The actual capacity of a worker.
struct WorkerCapacity {
    std::string worker;
    Resources capacity;
};

/// The time at which the platform announced the removal of a worker.
struct RemovalNotice {
    std::string worker;
    std::int64_t at = 0;
};

/// The configuration version that an operator read from one process.
struct ObservedVersion {
    /// Name of the process.
    std::string process;
    std::int64_t at = 0;
    /// Number and hash of the version in force at the process.
    std::int64_t number = 0;
    std::string hash;
};

/// Everything that was observed from outside the system during a test run or demo.
struct History {
    std::vector<ObservedCall> calls;
    std::vector<ObservedRun> runs;
    std::vector<WorkerCapacity> capacities;
    std::vector<RemovalNotice> removalNotices;
    std::vector<ObservedVersion> versions;
};

} // namespace marjoramhaven
