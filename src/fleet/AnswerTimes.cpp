#include "marjoramhaven/fleet/AnswerTimes.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

constexpr double WeightOfNewest = 0.25;
constexpr double TimesTheMean = 4;
constexpr Millis ShortestTimeout {700};
constexpr Millis LongestTimeout {1500};

} // namespace

void AnswerTimes::answered(Millis took)
{
    m_failures = 0;
    m_meanMs += WeightOfNewest * (static_cast<double>(took.count()) - m_meanMs);
}

Millis AnswerTimes::timeout() const
{
    const auto usual = std::clamp(Millis(static_cast<std::int64_t>(m_meanMs * TimesTheMean)), ShortestTimeout, LongestTimeout);
    const bool isSecondTry = m_failures % 2 == 1;
    return isSecondTry ? LongestTimeout : usual;
}

} // namespace marjoramhaven
