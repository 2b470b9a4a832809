#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/AnswerTimes.h"
#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// Follows one stream: loads the newest record of each key, then reads on for as long as it lives.
///
/// When the platform has dropped what would come next, it loads again and reports keys that are gone as dropped. While reads stay unanswered it sends further
/// ones beside them, so that it notices the log's return before an old read times out. Belongs to the thread that made it.
class TopicFollower : public QObject
{
    Q_OBJECT

public:
    /// One read waits this long for a record; after a read with records the next one is sent no sooner than the gap.
    TopicFollower(StateLog &log, StateTopic topic, Millis longPollWait, Millis pauseAfterRecords, QObject *parent = nullptr);

    /// Called for records in order; a record without a value drops its key. Also called without records when a read was answered.
    std::function<void(const std::vector<KeyedRecord> &)> onRecords;
    /// Called once for each change between answered and unanswered.
    std::function<void(bool isReachable, const std::string &reason)> onReachabilityChanged;

    void start();
    void stop();
    /// Reads once more and calls back when everything up to this moment was handed on; false when the log did not answer.
    void refresh(std::function<void(bool)> done);
    /// True when everything that stood in the stream at the start was handed on.
    bool isLoaded() const { return m_isLoaded; }
    /// Where the next record will stand.
    std::int64_t nextOffset() const { return m_next; }
    /// How long the last load's first page took.
    Millis loadLatency() const { return m_loadLatency; }
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }

private:
    void loadPage(const std::string &afterKey);
    void finishLoad();
    void poll();
    void schedulePoll(Millis pause);
    void scheduleParallelRead(std::uint64_t readNumber);
    void handleReadAnswer(const ReadResult &result);
    void applyRead(const ReadResult &result);
    void scheduleRetry(const std::string &reason);
    void setReachable(bool isReachable, const std::string &reason);
    std::vector<KeyedRecord> filterNewer(const std::vector<KeyedRecord> &records);

    StateLog &m_log;
    const StateTopic m_topic;
    const Millis m_longPollWait;
    const Millis m_pauseAfterRecords;
    AnswerTimes m_readTimes;
    std::map<std::string, std::int64_t> m_newestOffsets;
    std::vector<KeyedRecord> m_loadedRecords;
    std::int64_t m_next = 0;
    std::int64_t m_loadEnd = 0;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    bool m_isReachable = true;
    int m_consecutiveFailures = 0;
    /// Number of the newest read, and of the newest one that needs no answer any more.
    std::uint64_t m_lastReadNumber = 0;
    std::uint64_t m_lastSettledRead = 0;
    Millis m_loadLatency {0};
    TimePoint m_lastAnswerAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
