#include "marjoramhaven/base/Time.h"

#include <ctime>

namespace marjoramhaven {

TimePoint monotonicNow()
{
    // std::chrono::steady_clock does not count the time during which the machine was suspended.
    constexpr std::int64_t MillisPerSecond = 1000;
    constexpr std::int64_t NanosPerMilli = 1'000'000;
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return TimePoint(Millis(reading.tv_sec * MillisPerSecond + reading.tv_nsec / NanosPerMilli));
}

} // namespace marjoramhaven
