#pragma once

#include <optional>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Circuit breaker for appends to one topic of the log.
///
/// It opens when appends get no answers, or when the log answers no calls of this process at all. While it is open nothing new is sent, since the outcome would
/// most likely be unknown. Parts of the log may fail by themselves, so answers about other topics don't close it: a read of the same topic has to be answered.
/// After that the first append without an answer opens it again.
class LogBreaker
{
public:
    /// Reports whether the log answers the other calls of this process.
    void setReachable(bool isReachable, TimePoint now);
    /// Reports that another process got no answers to appends to the topic. Opens the breaker unless this process has had an answer shortly before.
    void suspect(TimePoint now);
    void appendAnswered(TimePoint now);
    void appendUnanswered(TimePoint sentAt);
    /// Reports that a read of the topic was answered.
    void probeAnswered();

    bool isOpen() const { return m_unreachableSince || m_unansweredSince; }
    /// Returns true while only a read of the topic can show that appends are answered again.
    bool needsProbe() const { return m_unansweredSince.has_value(); }
    /// Returns for how long the breaker has been open; 0 if it is closed.
    Millis openFor(TimePoint now) const;

private:
    std::optional<TimePoint> m_unreachableSince;
    std::optional<TimePoint> m_unansweredSince;
    std::optional<TimePoint> m_lastAnswerAt;
    int m_unansweredAppends = 0;
};

} // namespace marjoramhaven
