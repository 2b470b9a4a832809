#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Minimum rate of one machine's clock relative to another's: of a worker's to a planner's, and of a leader's to its successor's.
inline constexpr double MinClockRate = 0.98;

/// Tracks when a leader last knew that no other process had claimed leadership. The leader may grant leases for a limited time after that.
class LeadershipConfirmation
{
public:
    /// Leases may be granted until `bound` after the newest confirmation.
    explicit LeadershipConfirmation(Millis bound)
        : m_bound(bound)
    {
    }

    /// Records that this process was the leader at this time, which is when the confirming call was sent.
    void confirm(TimePoint asOf) { m_asOf = std::max(m_asOf.value_or(asOf), asOf); }
    /// Returns true while leases may be granted.
    bool isValid(TimePoint now) const { return remaining(now) > Millis(0); }
    /// Returns for how long leases may still be granted without another confirmation.
    Millis remaining(TimePoint now) const { return m_asOf ? std::max(Millis(0), *m_asOf + m_bound - now) : Millis(0); }
    /// Returns the time since the newest confirmation, or `std::nullopt` if there was none.
    std::optional<Millis> age(TimePoint now) const { return m_asOf ? std::optional(now - *m_asOf) : std::nullopt; }

    /// Returns how long after the last confirmation of a leader each lease that it granted has certainly expired, on the clock of its successor. The bound is
    /// measured on the leader's clock and the lease on the worker's, and either may be slow.
    static Millis longestLease(Millis bound, Millis lease)
    {
        // Both clocks are read in whole milliseconds.
        constexpr Millis Rounding {2};
        return Millis(static_cast<std::int64_t>(std::ceil(static_cast<double>((bound + lease).count()) / MinClockRate))) + Rounding;
    }

private:
    const Millis m_bound;
    std::optional<TimePoint> m_asOf;
};

} // namespace marjoramhaven
