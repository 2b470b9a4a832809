#pragma once

#include <QObject>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/AdaptiveTimeout.h"
#include "marjoramhaven/fleet/JobService.h"
#include "marjoramhaven/fleet/StateLog.h"
#include "marjoramhaven/fleetnode/LogBreaker.h"

namespace marjoramhaven {

/// Stores job records for clients that wait for the result. Records that arrive together share one append, and each record is retried until its deadline.
///
/// While the log is unresponsive, records that were never sent are refused after a short wait, so that their clients know that the request had no effect, and
/// when to retry. Only records that may already be stored are retried further.
class RecordWriter : public QObject
{
    Q_OBJECT

public:
    using Done = std::function<void(const SubmitResult &)>;

    RecordWriter(StateLog &log, StateTopic topic, QObject *parent = nullptr);

    /// Stores a record. Calls back exactly once, by the deadline.
    void store(KeyedRecord record, TimePoint deadline, Done done);
    /// Reports whether the log answers the other calls of this process.
    void setLogReachable(bool isReachable, TimePoint now);
    /// Reports that another process got no answers to appends to the topic. New records wait until a read of the topic shows that this process gets answers.
    void suspectLog(TimePoint now);
    /// Returns true when an append would most likely get no answer.
    bool isLogUnresponsive() const { return m_breaker.isOpen(); }
    /// Called when appends begin to get no answers, while records may wait.
    std::function<void()> onUnresponsive;
    /// Called with the keys of the records of an append that the log did not confirm, and its result.
    std::function<void(const std::vector<std::string> &keys, const AppendResult &result)> onNotStored;
    /// Returns the number of records whose result is still open.
    std::size_t pendingCount() const { return m_pendingCount; }

private:
    struct Entry {
        KeyedRecord record;
        TimePoint deadline;
        Done done;
        /// True once an append of the record had no answer. From then on the record may be stored, or become stored at any time.
        bool mayBeStored = false;
        /// True once the log has refused an append with this and other records for what they are.
        bool isSentAlone = false;
        /// Why the last append of the record was not confirmed.
        std::string reason;
    };
    using EntryPtr = std::shared_ptr<Entry>;

    void flush();
    void scheduleFlush(Millis pause);
    // Reads the topic until it is answered, while the breaker needs that.
    void probe();
    void trackAppendOutcome(bool isAnswered, TimePoint sentAt, TimePoint now);
    /// Removes and returns the records that have too little time left for an append.
    std::vector<EntryPtr> takeExpired(TimePoint now);
    void refuseUnsent(TimePoint now);
    void handleAppendResult(const std::vector<EntryPtr> &entries, const AppendResult &result);
    void answer(const EntryPtr &entry, SubmitOutcome outcome, const std::string &reason, Millis retryAfter);

    StateLog &m_log;
    const StateTopic m_topic;
    LogBreaker m_breaker;
    bool m_isProbing = false;
    bool m_isFlushScheduled = false;
    std::vector<EntryPtr> m_queue;
    AdaptiveTimeout m_appendTimes;
    std::size_t m_pendingCount = 0;
    int m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
