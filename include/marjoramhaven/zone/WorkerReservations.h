#pragma once

#include <map>
#include <string>

#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// What a reservation is for.
struct ReservationOwner {
    std::string team;
    std::string urgency;
    std::string jobId;
};

/// The reservations granted on one worker. Their sum never exceeds its capacity.
class WorkerReservations
{
public:
    struct Entry {
        Resources amount;
        ReservationOwner owner;
    };

    WorkerReservations() = default;
    explicit WorkerReservations(Resources capacity);

    /// Grants a reservation; false when it does not fit or the attempt has one already.
    bool reserve(const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner);
    /// Enters what the worker itself reports as running, even beyond the capacity known here.
    void adopt(const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner);
    /// Gives a reservation back; returns it, or nothing when there was none.
    std::optional<Entry> release(const AttemptId &attempt);
    /// Changes the capacity known here.
    void setCapacity(const Resources &capacity) { m_capacity = capacity; }

    const Resources &capacity() const { return m_capacity; }
    const Resources &reserved() const { return m_reserved; }
    Resources free() const { return m_capacity - m_reserved; }
    const std::map<AttemptId, Entry> &entries() const { return m_entries; }

private:
    Resources m_capacity;
    Resources m_reserved;
    std::map<AttemptId, Entry> m_entries;
};

} // namespace marjoramhaven
