#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/history/History.h"

namespace marjoramhaven {

/// The guarantees (invariants) that a history is checked against.
enum class Promise {
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
struct EnumTable<Promise> {
    static constexpr EnumName<Promise> Rows[] = {
        {Promise::NoOvercommitment, "no-overcommitment"},
        {Promise::OnePlaceAtOnce, "one-place-at-once"},
        {Promise::WholeOwnAnswer, "whole-own-answer"},
        {Promise::NotRunIsTrue, "not-run-is-true"},
        {Promise::AtMostOnce, "at-most-once"},
        {Promise::NoWorkForLeaving, "no-work-for-leaving"},
        {Promise::VersionsOnlyRise, "versions-only-rise"},
        {Promise::VersionsAgree, "versions-agree"},
    };
};

/// A violation of a guarantee.
struct Breach {
    Promise promise = Promise::NoOvercommitment;
    std::string detail;
};

/// Limits from the users' requirements.
struct CheckerBounds {
    /// Time after the announcement of a worker's removal during which the worker may still get tasks, in milliseconds.
    std::int64_t placementGraceMs = 3000;
};

/// Returns the violations found in a history. The checker relies only on the history and not on any state of the system.
std::vector<Breach> checkHistory(const History &history, const CheckerBounds &bounds);

} // namespace marjoramhaven
