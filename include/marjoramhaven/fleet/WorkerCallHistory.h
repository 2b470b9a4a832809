#pragma once

#include <cstdint>
#include <optional>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// What the planner's polls asked of one worker and which of them had an answer, for the event log. Decides nothing.
class WorkerCallHistory
{
public:
    /// Value of an age or a number of which there is none.
    static constexpr std::int64_t None = -1;

    /// Records a poll that acknowledges the ended runs up to a number, or none if that is 0.
    void pollSent(std::int64_t acknowledged, bool grantsLease, TimePoint now);
    /// Records an answer of the present incarnation to the newest poll.
    void pollAnswered();
    /// Records a start request.
    void startSent(bool grantsLease, TimePoint now) { m_leaseAt = grantsLease ? now : m_leaseAt; }
    /// Begins the record of another incarnation. A poll that acknowledged ended runs of the one before and had no answer from it may still reach this one.
    void restarted();

    /// Returns the highest number of an ended run that polls to this incarnation acknowledged; 0 if there is none.
    std::int64_t acknowledged() const { return m_acknowledged; }
    /// Returns the number that the newest poll acknowledged of those that earlier incarnations did not answer, or None.
    std::int64_t earlierAcknowledged() const { return m_earlier ? m_earlier->number : None; }
    /// Returns the age of that poll in milliseconds, or None.
    std::int64_t earlierAcknowledgedAgeMs(TimePoint now) const { return m_earlier ? (now - m_earlier->at).count() : None; }
    /// Returns the age in milliseconds of the newest request that granted this incarnation a lease, whether it had an answer or not, or None.
    std::int64_t leaseAgeMs(TimePoint now) const { return m_leaseAt ? (now - *m_leaseAt).count() : None; }
    /// Returns the age in milliseconds of the newest poll with an answer that granted this incarnation a lease, or None.
    std::int64_t answeredLeaseAgeMs(TimePoint now) const { return m_answeredLeaseAt ? (now - *m_answeredLeaseAt).count() : None; }

private:
    struct Acknowledgement {
        std::int64_t number = 0;
        TimePoint at {};
    };

    std::int64_t m_acknowledged = 0;
    /// The newest poll, if it acknowledged ended runs and has no answer yet.
    std::optional<Acknowledgement> m_open;
    /// The newest other one without an answer from this incarnation.
    std::optional<Acknowledgement> m_unanswered;
    /// The newest one that was sent to an earlier incarnation and had no answer from it.
    std::optional<Acknowledgement> m_earlier;
    std::optional<TimePoint> m_leaseAt;
    /// The newest poll, if it granted a lease and has no answer yet.
    std::optional<TimePoint> m_openLeaseAt;
    std::optional<TimePoint> m_answeredLeaseAt;
};

} // namespace marjoramhaven
