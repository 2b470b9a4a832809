#include "marjoramhaven/fleet/WorkerCallHistory.h"

#include <algorithm>

namespace marjoramhaven {

void WorkerCallHistory::pollSent(std::int64_t acknowledged, bool grantsLease, TimePoint now)
{
    m_unanswered = m_open ? m_open : m_unanswered;
    m_open = acknowledged > 0 ? std::optional(Acknowledgement {acknowledged, now}) : std::nullopt;
    m_acknowledged = std::max(m_acknowledged, acknowledged);
    m_openLeaseAt = grantsLease ? std::optional(now) : std::nullopt;
    m_leaseAt = grantsLease ? now : m_leaseAt;
}

void WorkerCallHistory::pollAnswered()
{
    m_open.reset();
    m_answeredLeaseAt = m_openLeaseAt ? m_openLeaseAt : m_answeredLeaseAt;
    m_openLeaseAt.reset();
}

void WorkerCallHistory::restarted()
{
    WorkerCallHistory next;
    next.m_earlier = m_open ? m_open : m_unanswered ? m_unanswered : m_earlier;
    *this = next;
}

} // namespace marjoramhaven
