#include "marjoramhaven/fleet/AdaptiveTimeout.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

constexpr double WeightOfNewest = 0.25;
constexpr double MeanMultiple = 4;
// Long enough that a service that suddenly became slow is not taken for one that does not answer.
constexpr Millis MinTimeout {1200};
constexpr Millis RetryTimeout {700};
constexpr Millis MaxTimeout {1500};

} // namespace

void AdaptiveTimeout::recordResponse(Millis took)
{
    m_failures = 0;
    m_meanMs += WeightOfNewest * (static_cast<double>(took.count()) - m_meanMs);
}

Millis AdaptiveTimeout::timeout() const
{
    if (m_failures == 0) {
        return std::clamp(Millis(static_cast<std::int64_t>(m_meanMs * MeanMultiple)), MinTimeout, MaxTimeout);
    }
    return m_failures % 2 == 1 ? RetryTimeout : MaxTimeout;
}

} // namespace marjoramhaven
