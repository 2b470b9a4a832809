#include "marjoramhaven/fleetnode/UnresolvedRecords.h"

namespace marjoramhaven {

namespace {

// Callers have given up a request, with all its retries, well within this time.
constexpr Millis Retention {120'000};
constexpr std::size_t MaxRemembered = 20'000;

} // namespace

void UnresolvedRecords::begin(const std::string &key)
{
    ++m_attemptsUnderWay[key];
}

SubmitOutcome UnresolvedRecords::end(const std::string &key, SubmitOutcome outcome, TimePoint now)
{
    const auto it = m_attemptsUnderWay.find(key);
    if (it != m_attemptsUnderWay.end() && --it->second == 0) {
        m_attemptsUnderWay.erase(it);
    }
    if (outcome == SubmitOutcome::Unknown) {
        remember(key, now);
    }
    return outcome == SubmitOutcome::Refused && mayBeStored(key, now) ? SubmitOutcome::Unknown : outcome;
}

bool UnresolvedRecords::mayBeStored(const std::string &key, TimePoint now) const
{
    const auto it = m_unknownUntil.find(key);
    return now < m_anyUnknownUntil || m_attemptsUnderWay.contains(key) || (it != m_unknownUntil.end() && now < it->second);
}

void UnresolvedRecords::remember(const std::string &key, TimePoint now)
{
    while (!m_byTime.empty() && m_byTime.front().first <= now) {
        forgetOldest();
    }
    if (m_byTime.size() >= MaxRemembered) {
        m_anyUnknownUntil = m_byTime.front().first;
        forgetOldest();
    }
    m_unknownUntil[key] = now + Retention;
    m_byTime.emplace_back(now + Retention, key);
}

void UnresolvedRecords::forgetOldest()
{
    const auto &[until, key] = m_byTime.front();
    const auto it = m_unknownUntil.find(key);
    if (it != m_unknownUntil.end() && it->second == until) {
        m_unknownUntil.erase(it);
    }
    m_byTime.pop_front();
}

} // namespace marjoramhaven
