#pragma once

#include <chrono>
#include <cstdint>

namespace marjoramhaven {

/// A duration in milliseconds.
using Millis = std::chrono::milliseconds;

/// A point in time on the monotonic clock, in milliseconds. The clock's epoch differs between machines, so instants of different machines are
/// never compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Reads the monotonic clock, which also counts the time during which the machine is suspended. Only code that does I/O calls it; scheduling and leadership
/// logic takes the current time as an argument, so that tests control the clock.
TimePoint monotonicNow();

/// Converts milliseconds since the clock's epoch to a time point. Used by tests and for timestamps in messages between processes.
constexpr TimePoint atMillis(std::int64_t ms)
{
    return TimePoint(Millis(ms));
}

/// Returns the milliseconds since the clock's epoch.
constexpr std::int64_t millisOf(TimePoint at)
{
    return at.time_since_epoch().count();
}

} // namespace marjoramhaven
