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

/// What a follower does when several records have been appended since it read last.
enum class CatchUp {
    /// Reads all of them in order.
    ReadAll,
    /// Loads the newest record of each key and skips the others. For topics with large records of which only the newest matters.
    SkipToNewest,
};

/// Follows one topic of the log: loads the newest record of each key, then reads new records until it is stopped.
///
/// When the platform has deleted the records that would come next, the follower loads the topic again and reports keys that are gone as dropped. At most one
/// call that carries records is in flight, and one more for refresh(), so that the follower never competes with itself for a slow link. While the log does not
/// answer, the follower sends probes without records in parallel, so that it notices that the log is back before an old call times out. Belongs to the thread
/// that created it.
class TopicFollower : public QObject
{
    Q_OBJECT

public:
    /// Each read waits up to `longPollWait` for a record. After a read that returned records, the next one is sent after `pauseAfterRecords`.
    TopicFollower(StateLog &log,
                  StateTopic topic,
                  Millis longPollWait,
                  Millis pauseAfterRecords,
                  CatchUp catchUp = CatchUp::ReadAll,
                  QObject *parent = nullptr);

    /// How long a load waits for each answer. The log answers behind the appends that wait at the topic.
    Millis loadTimeout {2000};
    /// Called with new records in the order of their offsets. A record without a value drops its key. The list is empty when a read returned nothing new.
    std::function<void(const std::vector<KeyedRecord> &)> onRecords;
    /// Called when the log stops or starts to answer; the reason is empty when it starts.
    std::function<void(bool isReachable, const std::string &reason)> onReachabilityChanged;

    /// Loads the newest record of each key, and then follows the topic.
    void start();
    /// Stops following. Answers to calls in flight are ignored.
    void stop();
    /// Reads once more, and calls back with true when all records up to this moment were passed to onRecords. Calls back with false when the topic is not
    /// loaded yet, the log did not answer, there were more records than one read returns, or the topic must be loaded again. Callers that ask while such a
    /// read is in flight share the next one.
    void refresh(std::function<void(bool)> done);
    /// Returns true when all records that were in the topic at the start have been passed to onRecords.
    bool isLoaded() const { return m_isLoaded; }
    /// Returns the offset of the next record.
    std::int64_t nextOffset() const { return m_next; }
    /// Returns how long the log took for the newest call whose own wait for a record is known: the first page of a load, or a read that found no record.
    Millis latency() const { return m_latency; }
    /// Returns when the log last answered a read of this follower.
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }
    /// Returns the latest time at which the log is known to have had no record that was not passed to onRecords; std::nullopt if it is known for no time.
    std::optional<TimePoint> currentAsOf() const { return m_currentAsOf; }
    /// Returns when the newest read was sent that returned all records up to the end of the topic; std::nullopt if there was none.
    std::optional<TimePoint> completeReadSentAt() const { return m_completeReadSentAt; }

private:
    void loadPage();
    void finishLoad();
    void poll();
    void schedulePoll(Millis pause);
    // `sentAt` and `waited` are when the read was sent, and for how long it asked the log to wait for a record.
    void handleReadAnswer(const ReadResult &result, TimePoint sentAt, Millis waited);
    void applyRead(const ReadResult &result, TimePoint sentAt, Millis waited);
    // Ends the current call as failed. Probes the log after a pause that grows with each failure in a row.
    void handleFailure(const std::string &reason);
    // Asks the log for its state without records, and again after a while as long as no probe is answered.
    void probe();
    // Goes on where the call that failed left off. `end` is the end of the topic.
    void resume(std::int64_t end);
    bool shouldSkip(std::int64_t end) const;
    void sendRefresh();
    void setReachable(bool isReachable, const std::string &reason);
    std::vector<KeyedRecord> filterNewer(const std::vector<KeyedRecord> &records);

    StateLog &m_log;
    const StateTopic m_topic;
    const Millis m_longPollWait;
    const Millis m_pauseAfterRecords;
    const CatchUp m_catchUp;
    AdaptiveTimeout m_readTimes;
    std::map<std::string, std::int64_t> m_newestOffsets;
    std::vector<KeyedRecord> m_loadedRecords;
    /// The last key of the load in progress that has been read; empty at its start.
    std::string m_loadedUpToKey;
    std::int64_t m_next = 0;
    std::int64_t m_loadEnd = 0;
    TimePoint m_loadSentAt {};
    bool m_isLoaded = false;
    bool m_isLoading = false;
    bool m_isStopped = false;
    bool m_isReachable = true;
    bool m_isProbing = false;
    /// Callers of refresh() that wait for the read in flight to end, since it may have been answered before they asked.
    std::vector<std::function<void(bool)>> m_waitingRefreshes;
    bool m_isRefreshing = false;
    int m_consecutiveFailures = 0;
    Millis m_latency {0};
    TimePoint m_lastAnswerAt {};
    std::optional<TimePoint> m_currentAsOf;
    std::optional<TimePoint> m_completeReadSentAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
