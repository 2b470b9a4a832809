#include "marjoramhaven/fleetnode/LogBreaker.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

// Number of consecutive appends without an answer that open the breaker.
constexpr int UnansweredAppendLimit = 2;
constexpr Millis RecentAnswer {500};

} // namespace

void LogBreaker::setReachable(bool isReachable, TimePoint now)
{
    if (isReachable) {
        m_unreachableSince.reset();
    } else if (!m_unreachableSince) {
        m_unreachableSince = now;
    }
}

void LogBreaker::suspect(TimePoint now)
{
    if (!m_unansweredSince && (!m_lastAnswerAt || now - *m_lastAnswerAt > RecentAnswer)) {
        m_unansweredSince = now;
    }
}

void LogBreaker::appendAnswered(TimePoint now)
{
    m_lastAnswerAt = now;
    m_unansweredAppends = 0;
    m_unreachableSince.reset();
    m_unansweredSince.reset();
}

void LogBreaker::appendUnanswered(TimePoint sentAt)
{
    ++m_unansweredAppends;
    if (m_unansweredAppends >= UnansweredAppendLimit && !m_unansweredSince) {
        m_unansweredSince = sentAt;
    }
}

void LogBreaker::probeAnswered()
{
    m_unansweredSince.reset();
    m_unansweredAppends = UnansweredAppendLimit - 1;
}

Millis LogBreaker::openFor(TimePoint now) const
{
    const auto since = std::min(m_unreachableSince.value_or(now), m_unansweredSince.value_or(now));
    return now - since;
}

} // namespace marjoramhaven
