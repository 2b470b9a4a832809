#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Topics of the platform's log. Each is an ordered sequence of records and keeps the newest record of every key.
enum class StateTopic {
    /// Leader election: claims of leadership and the leader's heartbeats.
    Leadership,
    /// Accepted jobs and cancellations, written by the processes that serve API callers.
    Jobs,
    /// The same records, written here while the part of the log that holds the jobs topic does not answer.
    JobsAlternate,
    /// Progress of jobs, written only by the leader.
    Progress,
    /// Configuration and commands of the operators; read only.
    Operator,
    /// Self-descriptions of workers; read only.
    Workers,
    /// Status reports for operators.
    Status,
};

/// Sorts after every key, so that the log answers a load from here with its end offset and no records.
inline constexpr char KeyAfterAll[] = "\x7f";

/// One record of a topic.
struct KeyedRecord {
    std::string key;
    /// Empty if the key was deleted.
    std::optional<std::string> value;
    std::int64_t offset = 0;
};

/// Returns the size of a record in the log, in bytes: the length of its key, the key and the value.
inline std::size_t sizeInLog(const KeyedRecord &record)
{
    return 1 + record.key.size() + (record.value ? record.value->size() : 0);
}

/// Outcome of an append.
enum class AppendOutcome {
    Stored,
    /// Not stored, and certainly never will be.
    Refused,
    /// Not stored, because the topic does not end at the expected offset.
    EndMismatch,
    /// Not stored, because a writer with a later epoch has taken over.
    Fenced,
    /// No conclusive answer: the records may be stored, may be stored later, or may be lost.
    Unknown,
};

template<>
struct EnumTable<AppendOutcome> {
    static constexpr EnumName<AppendOutcome> Rows[] = {
        {AppendOutcome::Stored, "stored"},
        {AppendOutcome::Refused, "refused"},
        {AppendOutcome::EndMismatch, "moved"},
        {AppendOutcome::Fenced, "fenced"},
        {AppendOutcome::Unknown, "unknown"},
    };
};

/// Fences a writer: the log refuses appends of an older epoch, and stores an append with a repeated sequence number once.
struct WriterEpoch {
    std::string writer;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// An append of one or more records, which is atomic.
struct AppendRequest {
    StateTopic topic = StateTopic::Jobs;
    std::vector<KeyedRecord> records;
    /// If set, the append takes effect only if the topic ends at this offset.
    std::optional<std::int64_t> expectedEnd;
    std::optional<WriterEpoch> writer;
    Millis timeout {1000};
};

/// Answer to an append.
struct AppendResult {
    AppendOutcome outcome = AppendOutcome::Unknown;
    /// True if the log itself has answered. An append can also be refused because it could not be sent.
    bool isAnswered = false;
    /// True if the log refused the records themselves, for example because one is too large, so that it will refuse them again.
    bool isInvalid = false;
    /// Offset of the first record, if the append was stored.
    std::int64_t offset = 0;
    /// End of the topic, if the log's answer contains it.
    std::int64_t end = 0;
    std::string reason;
    /// How often the request was sent; 0 if it was not, or if the log is not reached over a network.
    int sendings = 0;
};

/// Answer to a read of the records from an offset on.
struct ReadResult {
    bool isAnswered = false;
    /// True if requested records were deleted, so that the newest record of each key must be loaded again.
    bool isTruncated = false;
    std::vector<KeyedRecord> records;
    /// Offset from which to read on.
    std::int64_t next = 0;
    /// End of the topic when the log answered. Records are left to read if it is greater than `next`.
    std::int64_t end = 0;
    std::string reason;
};

/// Answer to a read of the newest record of each key: one page, in the order of keys.
struct NewestResult {
    bool isAnswered = false;
    std::vector<KeyedRecord> records;
    bool hasMore = false;
    /// End of the topic.
    std::int64_t end = 0;
    std::string reason;
};

/// Client for the platform's log. Each call invokes its callback exactly once, on the caller's thread.
class StateLog
{
public:
    virtual ~StateLog() = default;

    /// Appends the records of a request to its topic.
    virtual void append(AppendRequest request, std::function<void(const AppendResult &)> done) = 0;
    /// Reads records from an offset on: at least one, if there is one. If there is none, the log waits for one for up to `wait` before it answers. The answer
    /// must begin within `timeout`; how long it may take after that does not depend on `timeout`, since the records may be large and the link slow.
    virtual void read(StateTopic topic, std::int64_t from, Millis wait, Millis timeout, std::function<void(const ReadResult &)> done) = 0;
    /// Reads a page of the newest records of the keys that sort after the given one. The answer must begin within `timeout`.
    virtual void newest(StateTopic topic, const std::string &afterKey, Millis timeout, std::function<void(const NewestResult &)> done) = 0;
};

} // namespace marjoramhaven
