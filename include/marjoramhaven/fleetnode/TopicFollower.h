#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/AdaptiveTimeout.h"
#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// Follows one topic of the log: loads the newest record of each key, then reads new records until it is stopped.
///
/// When the platform has deleted the records that would come next, the follower loads the topic again and reports keys that are gone as dropped. While reads
/// stay unanswered it sends further reads in parallel, so that it notices that the log is back before an old read times out. Belongs to the thread that created
/// it.
class TopicFollower : public QObject
{
    Q_OBJECT

public:
    /// Each read waits up to `longPollWait` for a record. After a read that returned records, the next one is sent after `pauseAfterRecords`.
    TopicFollower(StateLog &log, StateTopic topic, Millis longPollWait, Millis pauseAfterRecords, QObject *parent = nullptr);

    /// Called with new records in the order of their offsets. A record without a value drops its key. The list is empty when a read returned nothing new.
    std::function<void(const std::vector<KeyedRecord> &)> onRecords;
    /// Called when the log stops or starts to answer reads; the reason is empty when it starts.
    std::function<void(bool isReachable, const std::string &reason)> onReachabilityChanged;

    /// Loads the newest record of each key, and then follows the topic.
    void start();
    /// Stops following. Answers to reads in flight are ignored.
    void stop();
    /// Reads once more, and calls back with true when all records up to this moment were passed to onRecords. Calls back with false when the topic is not
    /// loaded yet, the log did not answer, or the topic must be loaded again.
    void refresh(std::function<void(bool)> done);
    /// Returns true when all records that were in the topic at the start have been passed to onRecords.
    bool isLoaded() const { return m_isLoaded; }
    /// Returns the offset of the next record.
    std::int64_t nextOffset() const { return m_next; }
    /// Returns how long the first page of the last load took.
    Millis loadLatency() const { return m_loadLatency; }
    /// Returns when the log last answered a read of this follower.
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }
    /// Returns the latest time at which the log is known to have had no record that was not passed to onRecords; std::nullopt if it is known for no time.
    std::optional<TimePoint> currentAsOf() const { return m_currentAsOf; }

private:
    void loadPage(const std::string &afterKey);
    void finishLoad();
    void poll();
    void schedulePoll(Millis pause);
    void scheduleParallelRead(std::uint64_t readNumber);
    void handleReadAnswer(const ReadResult &result, TimePoint sentAt, Millis waited);
    // `sentAt` and `waited` are when the read was sent, and for how long it asked the log to wait for a record.
    void applyRead(const ReadResult &result, TimePoint sentAt, Millis waited);
    void scheduleRetry(const std::string &reason);
    void setReachable(bool isReachable, const std::string &reason);
    std::vector<KeyedRecord> filterNewer(const std::vector<KeyedRecord> &records);

    StateLog &m_log;
    const StateTopic m_topic;
    const Millis m_longPollWait;
    const Millis m_pauseAfterRecords;
    AdaptiveTimeout m_readTimes;
    std::map<std::string, std::int64_t> m_newestOffsets;
    std::vector<KeyedRecord> m_loadedRecords;
    std::int64_t m_next = 0;
    std::int64_t m_loadEnd = 0;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    bool m_isReachable = true;
    int m_consecutiveFailures = 0;
    /// Number of the newest read, and of the newest read whose answer is no longer needed.
    std::uint64_t m_lastReadNumber = 0;
    std::uint64_t m_lastSettledRead = 0;
    Millis m_loadLatency {0};
    TimePoint m_lastAnswerAt {};
    std::optional<TimePoint> m_currentAsOf;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
