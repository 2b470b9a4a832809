#include "marjoramhaven/zone/WorkerReservations.h"

namespace marjoramhaven {

WorkerReservations::WorkerReservations(Resources capacity)
    : m_capacity(capacity)
{
}

bool WorkerReservations::reserve(const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner)
{
    if (m_entries.contains(attempt) || !amount.fitsIn(free())) {
        return false;
    }
    adopt(attempt, amount, owner);
    Q_ASSERT(m_reserved.fitsIn(m_capacity));
    return true;
}

void WorkerReservations::adopt(const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner)
{
    if (m_entries.try_emplace(attempt, Entry {amount, owner}).second) {
        m_reserved += amount;
    }
}

std::optional<WorkerReservations::Entry> WorkerReservations::release(const AttemptId &attempt)
{
    const auto it = m_entries.find(attempt);
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    Entry out = it->second;
    m_reserved -= out.amount;
    m_entries.erase(it);
    return out;
}

} // namespace marjoramhaven
