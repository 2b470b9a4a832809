#pragma once

#include <list>
#include <memory>

#include "marjoramhaven/fleetnode/RecordWriter.h"

namespace marjoramhaven {

/// Stores job records in the jobs topic, or in the alternate jobs topic while appends to the first get no answers. Parts of the log may fail by themselves, and
/// planners read both topics, in which a record with the same key means the same.
class JobRecordStore
{
public:
    using NotStored = std::function<void(const std::vector<std::string> &keys, const AppendResult &result)>;

    explicit JobRecordStore(StateLog &log);

    /// Sets a function that is called with the keys of the records of each append that the log did not confirm, and its result.
    void setNotStoredHandler(const NotStored &handler);

    /// Stores a record. Calls back exactly once, by the deadline, unless this object is destroyed before.
    void store(KeyedRecord record, TimePoint deadline, RecordWriter::Done done);
    /// Reports whether the log answers the other calls of this process.
    void setLogReachable(bool isReachable, TimePoint now);
    /// Reports that another process could not store a record.
    void suspectLog(TimePoint now) { m_main.suspectLog(now); }
    /// Returns the number of records whose result is still open.
    std::size_t pendingCount() const { return m_calls.size(); }

private:
    // A record that is to be stored in one of the topics.
    struct Call {
        KeyedRecord record;
        TimePoint deadline;
        RecordWriter::Done done;
        // Topics whose answers are outstanding.
        int pending = 0;
        bool isAlternateTried = false;
        bool mayBeStored = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    void storeIn(RecordWriter &writer, const CallPtr &call);
    // Stores the record in the alternate topic too, if that may help. Returns false if not.
    bool tryAlternate(const CallPtr &call, TimePoint now);
    void handleAnswer(const CallPtr &call, const SubmitResult &answer);
    void finish(const CallPtr &call, const SubmitResult &answer);

    std::list<CallPtr> m_calls;
    RecordWriter m_main;
    RecordWriter m_alternate;
};

} // namespace marjoramhaven
