#pragma once

#include <optional>
#include <string>

#include "marjoramhaven/ledger/JobSpec.h"
#include "marjoramhaven/zone/WorkerReservations.h"

namespace marjoramhaven {

/// What a start's label tells a later leader about the task.
struct TaskLabel {
    std::string jobId;
    int index = 0;
    JobKind kind = JobKind::Batch;
    ReservationOwner owner;
    bool repeatable = true;
    /// Time that the caller of a short request waits for its answer.
    Millis deadline {0};

    /// The label as text for the worker to keep.
    std::string toText() const;
    /// Reads a label; nothing when the text is not one.
    static std::optional<TaskLabel> fromText(const std::string &text);
};

} // namespace marjoramhaven
