#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// An operator's order that each of some machines has its upkeep.
struct UpkeepWave {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    /// Within this time of the order.
    Millis within {0};
    /// Most machines that may be away for upkeep at once.
    int mostAtOnce = 1;
};

} // namespace marjoramhaven
