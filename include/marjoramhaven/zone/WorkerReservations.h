#pragma once

#include <map>
#include <string>

#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// The job that a reservation is made for, with its team and urgency class.
struct ReservationOwner {
    std::string team;
    std::string urgency;
    std::string jobId;
};

/// The reservations on one worker. Reservations granted here never exceed its capacity in sum; adopted ones may.
class WorkerReservations
{
public:
    struct Entry {
        Resources amount;
        ReservationOwner owner;
    };

    WorkerReservations() = default;
    explicit WorkerReservations(Resources capacity);

    /// Grants a reservation. Returns false when it does not fit or the attempt has one already.
    bool reserve(const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner);
    /// Adds the reservation of an attempt that the worker reports as running, even when it exceeds the known capacity.
    void adopt(const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner);
    /// Removes and returns a reservation; std::nullopt when the attempt has none.
    std::optional<Entry> release(const AttemptId &attempt);
    /// Sets the capacity of the worker. Existing reservations stay.
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
