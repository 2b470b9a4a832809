#pragma once

#include <functional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// What the zone's leader decided about a short request.
enum class ShortRequestVerdict {
    /// The entry process is to start the attempt at the worker.
    Start,
    /// The attempt runs already; the entry process is to wait for its end at the worker.
    Attach,
    /// The request has ended already; the decision holds its result.
    Ended,
    /// The request is not run; the decision holds the reason.
    Refused,
    /// The process that was asked does not lead the zone, has only just begun to, or can't interpret the request.
    NotLeader,
};

template<>
struct EnumTable<ShortRequestVerdict> {
    static constexpr EnumName<ShortRequestVerdict> Rows[] = {
        {ShortRequestVerdict::Start, "start"},
        {ShortRequestVerdict::Attach, "attach"},
        {ShortRequestVerdict::Ended, "ended"},
        {ShortRequestVerdict::Refused, "refused"},
        {ShortRequestVerdict::NotLeader, "not-leader"},
    };
};

/// A decision together with the data that the entry process needs to act on it.
struct ShortRequestDecision {
    ShortRequestVerdict verdict = ShortRequestVerdict::Refused;
    std::string reason;
    /// Time after which the caller of a refused request may retry.
    Millis retryAfter {0};
    std::string workerUrl;
    StartRequest start;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// A worker remembers an ended attempt for this long after its caller's deadline.
inline constexpr Millis EndedAttemptRetention {5000};

/// An entry process accepts a worker's report that an attempt never ran only until this long after the caller's
/// deadline. Later, for example when the entry process was paused meanwhile, the worker may have forgotten an attempt
/// that did run.
inline constexpr Millis ClosedReportValidity = EndedAttemptRetention / 2;

using ShortRequestCallback = std::function<void(const ShortRequestDecision &)>;

} // namespace marjoramhaven
