#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// The streams of the platform's log. Each keeps the newest record of every key.
enum class StateTopic {
    /// Who plans: claims and heartbeats of the planner.
    Leadership,
    /// Accepted jobs and cancellations, written by the processes that answer callers.
    Jobs,
    /// Progress of jobs, written by the planner alone.
    Progress,
    /// Configuration and orders of the operators; read only.
    Operator,
    /// What workers say of themselves; read only.
    Workers,
    /// What operators are told.
    Status,
};

/// One record of a stream.
struct KeyedRecord {
    std::string key;
    /// Nothing when the key was dropped.
    std::optional<std::string> value;
    std::int64_t offset = 0;
};

/// How an append ended.
enum class AppendOutcome {
    Stored,
    /// Surely not stored, and never will be.
    Refused,
    /// Not stored, since the stream does not end at the expected offset.
    Moved,
    /// Not stored, since a later writer has taken over.
    Fenced,
    /// No answer: stored, not stored, or stored later.
    Unknown,
};

template<>
struct EnumTable<AppendOutcome> {
    static constexpr EnumName<AppendOutcome> Rows[] = {
        {AppendOutcome::Stored, "stored"},
        {AppendOutcome::Refused, "refused"},
        {AppendOutcome::Moved, "moved"},
        {AppendOutcome::Fenced, "fenced"},
        {AppendOutcome::Unknown, "unknown"},
    };
};

/// Fences a writer: appends of an older epoch are refused, and a repeated sequence number is stored once.
struct WriterEpoch {
    std::string writer;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// One append, stored whole or not at all.
struct AppendRequest {
    StateTopic topic = StateTopic::Jobs;
    std::vector<KeyedRecord> records;
    /// The append takes effect only when the stream ends here.
    std::optional<std::int64_t> expectedEnd;
    std::optional<WriterEpoch> writer;
    Millis timeout {1000};
};

struct AppendResult {
    AppendOutcome outcome = AppendOutcome::Unknown;
    /// Offset of the first record, when stored.
    std::int64_t offset = 0;
    /// The stream's end, when told.
    std::int64_t end = 0;
    std::string reason;
};

/// Records after an offset.
struct ReadResult {
    bool isAnswered = false;
    /// True when the records asked for were deleted: load the newest records of each key again.
    bool isTruncated = false;
    std::vector<KeyedRecord> records;
    /// Where to read on.
    std::int64_t next = 0;
    std::string reason;
};

/// A page of the newest record of each key, in the order of keys.
struct NewestResult {
    bool isAnswered = false;
    std::vector<KeyedRecord> records;
    bool hasMore = false;
    std::int64_t end = 0;
    std::string reason;
};

/// The platform's log as the product uses it. Calls back on the thread of the caller, exactly once for each call.
class StateLog
{
public:
    virtual ~StateLog() = default;

    virtual void append(AppendRequest request, std::function<void(const AppendResult &)> done) = 0;
    /// Reads from an offset; the answer waits up to the given time for a record.
    virtual void read(StateTopic topic, std::int64_t from, Millis wait, Millis timeout, std::function<void(const ReadResult &)> done) = 0;
    /// Reads a page of newest records with keys after the given one.
    virtual void newest(StateTopic topic, const std::string &afterKey, Millis timeout, std::function<void(const NewestResult &)> done) = 0;
};

} // namespace marjoramhaven
