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
    TopicFollower(StateLog &log, StateTopic topic, Millis wait, Millis gap, QObject *parent = nullptr);

    /// Called for records in order; a record without a value drops its key. Also called without records when a read was answered.
    std::function<void(const std::vector<KeyedRecord> &)> onRecords;
    /// Called once for each change between answered and unanswered.
    std::function<void(bool isReachable, const std::string &reason)> onReachable;

    void start();
    void stop();
    /// Reads once more and calls back when everything up to this moment was handed on; false when the log did not answer.
    void refresh(std::function<void(bool)> done);
    /// True when everything that stood in the stream at the start was handed on.
    bool isLoaded() const { return m_isLoaded; }
    /// Where the next record will stand.
    std::int64_t next() const { return m_next; }
    /// How long the last load's first page took.
    Millis lastDelay() const { return m_lastDelay; }
    TimePoint lastAnswerAt() const { return m_lastAnswerAt; }

private:
    void loadPage(const std::string &afterKey);
    void finishLoad();
    void poll();
    void pollAfter(Millis pause);
    void probeBeside(std::uint64_t read);
    void readAnswered(const ReadResult &result);
    void takeRead(const ReadResult &result);
    void retryLater(const std::string &reason);
    void noteReachable(bool isReachable, const std::string &reason);
    std::vector<KeyedRecord> newerOf(const std::vector<KeyedRecord> &records);

    StateLog &m_log;
    const StateTopic m_topic;
    const Millis m_wait;
    const Millis m_gap;
    AnswerTimes m_times;
    std::map<std::string, std::int64_t> m_offsets;
    std::vector<KeyedRecord> m_page;
    std::int64_t m_next = 0;
    std::int64_t m_pageEnd = 0;
    bool m_isLoaded = false;
    bool m_isStopped = false;
    bool m_isReachable = true;
    int m_failures = 0;
    /// Number of the newest read, and of the newest one that needs no answer any more.
    std::uint64_t m_reads = 0;
    std::uint64_t m_settledReads = 0;
    Millis m_lastDelay {0};
    TimePoint m_lastAnswerAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
