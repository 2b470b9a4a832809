#pragma once

#include <QObject>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven::test {

/// An in-memory state log without a network, with a configurable delay for each kind of call.
class MemoryLog : public StateLog
{
public:
    void append(AppendRequest request, std::function<void(const AppendResult &)> done) override;
    void read(StateTopic topic, std::int64_t from, Millis wait, Millis timeout, std::function<void(const ReadResult &)> done) override;
    void newest(StateTopic topic, const std::string &afterKey, Millis timeout, std::function<void(const NewestResult &)> done) override;

    /// Appends a record to a topic, as another process would.
    std::int64_t put(StateTopic topic, const std::string &key, const std::string &value);
    /// Returns the offset of the next record of a topic.
    std::int64_t end(StateTopic topic) { return static_cast<std::int64_t>(m_topics[topic].size()); }

    Millis appendDelay {2};
    /// While true, appends store nothing, and appends and reads that are sent get no answer before their timeout. Loads count as reads.
    bool isUnresponsive = false;
    /// Topics that behave as all do while `isUnresponsive` is true.
    std::set<StateTopic> unresponsiveTopics;
    /// Appends with more bytes of keys and values than this get no answer and store nothing, as over a link that does not carry them within the timeout.
    std::size_t maxAnsweredAppendBytes = SIZE_MAX;
    /// Appends with a larger record than this are refused as invalid.
    std::size_t maxRecordBytes = SIZE_MAX;
    /// Appends with a record of this key are refused as invalid.
    std::string invalidKey;
    /// While true, appends can't be sent, as to an address that refuses connections.
    bool isUnreachable = false;
    /// While true, appends are refused after the usual delay.
    bool isRefusing = false;
    /// Delay of reads by topic; 2 ms for topics that are not listed.
    std::map<StateTopic, Millis> readDelays;
    /// Highest number of reads whose answers were on their way at the same time. Loads don't count.
    int mostReadsInFlight = 0;

private:
    void answerRead(StateTopic topic, std::int64_t from, TimePoint until, std::function<void(const ReadResult &)> done);
    bool isLost(StateTopic topic) const { return isUnresponsive || unresponsiveTopics.contains(topic); }
    Millis readDelay(StateTopic topic) const;

    QObject m_context;
    int m_readsInFlight = 0;
    std::map<StateTopic, std::vector<KeyedRecord>> m_topics;
};

} // namespace marjoramhaven::test
