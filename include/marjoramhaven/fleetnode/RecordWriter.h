#pragma once

#include <QObject>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/AnswerTimes.h"
#include "marjoramhaven/fleet/FleetDesk.h"
#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// Stores records of jobs for callers who wait: those that come together go in one append, and each is tried again until its time is over.
///
/// While the log does not answer, records that were never sent wait a moment and are then refused, so that their callers know that they did not run and when
/// to come back. Only records that may be stored already are tried on.
class RecordWriter : public QObject
{
    Q_OBJECT

public:
    using Done = std::function<void(const SubmitAnswer &)>;

    RecordWriter(StateLog &log, StateTopic topic, QObject *parent = nullptr);

    /// Stores a record. Calls back by the deadline.
    void store(KeyedRecord record, TimePoint deadline, Done done);
    /// Somebody else's calls to the log are answered, or not.
    void setLogReachable(bool isReachable, TimePoint now);
    /// Records that wait for their answer.
    std::size_t pendingCount() const { return m_pendingCount; }

private:
    struct Entry {
        KeyedRecord record;
        TimePoint deadline;
        Done done;
        /// True once an append of it had no answer: it may be stored at any time from then on.
        bool mayBeStored = false;
        std::string reason;
    };
    using EntryPtr = std::shared_ptr<Entry>;

    void flush();
    void scheduleFlush(Millis pause);
    /// True when an append would most likely get no answer.
    bool isLogUnresponsive() const { return m_unresponsiveSince.has_value(); }
    void trackAppendOutcome(bool isAnswered, TimePoint sentAt, TimePoint now);
    std::vector<EntryPtr> takeExpired(TimePoint now);
    void refuseUnsent(TimePoint now);
    void handleAppendResult(const std::vector<EntryPtr> &entries, const AppendResult &result);
    void answer(const EntryPtr &entry, SubmitVerdict verdict, const std::string &reason, Millis retryAfter);

    StateLog &m_log;
    const StateTopic m_topic;
    std::optional<TimePoint> m_unresponsiveSince;
    int m_unansweredAppends = 0;
    bool m_isFlushScheduled = false;
    std::vector<EntryPtr> m_queue;
    AnswerTimes m_appendTimes;
    std::size_t m_pendingCount = 0;
    int m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
