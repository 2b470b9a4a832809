#pragma once

#include <QObject>
#include <map>
#include <memory>
#include <vector>

#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven::test {

/// The platform's log in memory, with a delay for each kind of call and none of the wire.
class MemoryLog : public StateLog
{
public:
    void append(AppendRequest request, std::function<void(const AppendResult &)> done) override;
    void read(StateTopic topic, std::int64_t from, Millis wait, Millis timeout, std::function<void(const ReadResult &)> done) override;
    void newest(StateTopic topic, const std::string &afterKey, Millis timeout, std::function<void(const NewestResult &)> done) override;

    /// Puts a record at the end of a stream, as another process would.
    std::int64_t put(StateTopic topic, const std::string &key, const std::string &value);
    /// Where the next record of a stream will stand.
    std::int64_t end(StateTopic topic) { return static_cast<std::int64_t>(m_topics[topic].size()); }

    Millis appendDelay {2};
    /// Appends do nothing, and calls sent meanwhile get no answer.
    bool isUnresponsive = false;
    /// Appends are refused at once.
    bool isRefusing = false;
    /// Of reads, by stream; 2 ms where nothing is said.
    std::map<StateTopic, Millis> readDelays;

private:
    void answerRead(StateTopic topic, std::int64_t from, TimePoint until, std::function<void(const ReadResult &)> done);
    Millis readDelay(StateTopic topic) const;

    QObject m_context;
    std::map<StateTopic, std::vector<KeyedRecord>> m_topics;
};

} // namespace marjoramhaven::test
