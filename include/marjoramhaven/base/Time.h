#pragma once

#include <chrono>
#include <cstdint>

namespace marjoramhaven {

/// A span of time in milliseconds.
using Millis = std::chrono::milliseconds;

/// An instant on the monotonic clock, in milliseconds. It is never compared between machines.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Reads the monotonic clock. Only drivers call this; functions that decide take the instant as an argument.
TimePoint monotonicNow();

/// Builds an instant from milliseconds since the clock's epoch. Used by tests and by counters on the wire.
constexpr TimePoint atMillis(std::int64_t ms)
{
    return TimePoint(Millis(ms));
}

/// Milliseconds since the clock's epoch.
constexpr std::int64_t millisOf(TimePoint at)
{
    return at.time_since_epoch().count();
}

} // namespace marjoramhaven
