#pragma once

#include <functional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// What the leader decides about a short request.
enum class ShortVerdict {
    /// The entry process shall start the attempt at the worker.
    Start,
    /// The attempt runs already; the entry process shall wait for its end at the worker.
    Attach,
    /// The request ended before; the result is here.
    Ended,
    /// It does not run. The reason says why.
    Refused,
    /// The process asked is not the leader, or has only just begun to lead.
    NotLeader,
};

template<>
struct EnumTable<ShortVerdict> {
    static constexpr EnumName<ShortVerdict> Rows[] = {
        {ShortVerdict::Start, "start"},
        {ShortVerdict::Attach, "attach"},
        {ShortVerdict::Ended, "ended"},
        {ShortVerdict::Refused, "refused"},
        {ShortVerdict::NotLeader, "not-leader"},
    };
};

/// The decision with what the entry process needs to carry it out.
struct ShortDecision {
    ShortVerdict verdict = ShortVerdict::Refused;
    std::string reason;
    /// Time after which a refused caller may come back.
    Millis retryAfter {0};
    std::string workerUrl;
    StartRequest start;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// An ended attempt is remembered by its worker for this long after its caller's deadline.
inline constexpr Millis EndedAttemptRetention {5000};

/// An entry process takes a worker's word that an attempt never ran only this long after the caller's deadline.
/// Later, as after a pause of the process, the worker may have forgotten the attempt.
inline constexpr Millis TrustClosedAfterDeadline = EndedAttemptRetention / 2;

using ShortDecided = std::function<void(const ShortDecision &)>;

} // namespace marjoramhaven
