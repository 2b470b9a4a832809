#pragma once

#include <optional>
#include <string>

#include "marjoramhaven/ledger/JobSpec.h"
#include "marjoramhaven/zone/WorkerReservations.h"

namespace marjoramhaven {

/// Metadata of a task. The worker stores it with the attempt, so that a later leader can read what the attempt belongs to.
struct TaskLabel {
    std::string jobId;
    int index = 0;
    JobKind kind = JobKind::Batch;
    ReservationOwner owner;
    bool repeatable = true;
    /// How long the caller of a short request waits for the answer.
    Millis deadline {0};

    /// Returns the label as the text that the worker stores.
    std::string toText() const;
    /// Parses a label; returns std::nullopt when the text is not one.
    static std::optional<TaskLabel> fromText(const std::string &text);
};

} // namespace marjoramhaven
