#pragma once

#include <QObject>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/AnswerTimes.h"
#include "marjoramhaven/fleet/FleetDesk.h"
#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// Stores records of jobs for callers who wait: those that come together go in one append, and each is tried again until its time is over.
class RecordWriter : public QObject
{
    Q_OBJECT

public:
    using Done = std::function<void(const SubmitAnswer &)>;

    RecordWriter(StateLog &log, StateTopic topic, QObject *parent = nullptr);

    /// Stores a record. Calls back by the deadline.
    void store(KeyedRecord record, TimePoint deadline, Done done);
    /// Records that wait for their answer.
    std::size_t waiting() const { return m_waiting; }

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
    void finish(const std::vector<EntryPtr> &entries, const AppendResult &result);
    void answer(const EntryPtr &entry, SubmitVerdict verdict, const std::string &reason);

    StateLog &m_log;
    const StateTopic m_topic;
    std::vector<EntryPtr> m_queue;
    AnswerTimes m_times;
    std::size_t m_waiting = 0;
    int m_inFlight = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
