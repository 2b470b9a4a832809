#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/history/History.h"

namespace marjoramhaven {

/// The guarantees (invariants) that a history is checked against.
enum class Invariant {
    /// The reservations of the tasks on a worker never exceed its capacity.
    NoOvercommitment,
    /// A task never runs on two workers, or twice on one, at the same time.
    OnePlaceAtOnce,
    /// A client gets the complete answer to its own request.
    WholeOwnAnswer,
    /// A task that a client was told has not run did not run.
    NotRunIsTrue,
    /// A task that is not repeatable runs at most once.
    AtMostOnce,
    /// A worker whose removal was announced gets no new task, after a short grace period.
    NoWorkForLeaving,
    /// The configuration version at a process never decreases.
    VersionsOnlyRise,
    /// A configuration version has the same hash at every process.
    VersionsAgree,
};

template<>
struct EnumTable<Invariant> {
    static constexpr EnumName<Invariant> Rows[] = {
        {Invariant::NoOvercommitment, "no-overcommitment"},
        {Invariant::OnePlaceAtOnce, "one-place-at-once"},
        {Invariant::WholeOwnAnswer, "whole-own-answer"},
        {Invariant::NotRunIsTrue, "not-run-is-true"},
        {Invariant::AtMostOnce, "at-most-once"},
        {Invariant::NoWorkForLeaving, "no-work-for-leaving"},
        {Invariant::VersionsOnlyRise, "versions-only-rise"},
        {Invariant::VersionsAgree, "versions-agree"},
    };
};

/// A violation of a guarantee.
struct Violation {
    Invariant invariant = Invariant::NoOvercommitment;
    std::string detail;
};

/// Limits from the users' requirements.
struct CheckerBounds {
    /// Time after the announcement of a worker's removal during which the worker may still get tasks, in milliseconds.
    std::int64_t placementGraceMs = 3000;
};

/// Returns the violations found in a history. The checker relies only on the history and not on any state of the system.
std::vector<Violation> checkHistory(const History &history, const CheckerBounds &bounds);

} // namespace marjoramhaven
