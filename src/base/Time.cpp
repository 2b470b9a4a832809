#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

} // namespace marjoramhaven
