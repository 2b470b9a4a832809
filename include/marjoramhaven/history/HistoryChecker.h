#pragma once

#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/history/History.h"

namespace marjoramhaven {

/// The promises that a history can break.
enum class Promise {
    NoOvercommitment,
    OnePlaceAtOnce,
    WholeOwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    NoWorkForLeaving,
    VersionsOnlyRise,
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

/// One breach of a promise.
struct Breach {
    Promise promise = Promise::NoOvercommitment;
    std::string detail;
};

/// Bounds that the users stated.
struct CheckerBounds {
    /// A leaving worker may still get work this long after the notice, in milliseconds.
    std::int64_t leavingWithin = 3000;
};

/// Finds every breach in a history. Knows nothing of the system's own state.
std::vector<Breach> checkHistory(const History &history, const CheckerBounds &bounds);

} // namespace marjoramhaven
