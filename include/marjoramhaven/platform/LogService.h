#pragma once

#include <QJsonObject>
#include <functional>
#include <optional>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Records read from the log in one answer.
struct LogBatch {
    /// Offset of the oldest record still kept.
    std::int64_t oldest = 0;
    /// Offset of the first record in this batch.
    std::int64_t first = 0;
    std::vector<QJsonObject> records;
    /// Offset that the next record will get.
    std::int64_t next = 0;
};

/// The platform's append-only log with offsets.
class LogService
{
public:
    virtual ~LogService() = default;

    /// True when the append is known to have taken effect. False says nothing: it may have.
    using AppendDone = std::function<void(bool, TimePoint)>;
    /// A batch, or nothing when the log could not be read.
    using ReadDone = std::function<void(std::optional<LogBatch>, TimePoint)>;

    /// Appends records together, in order.
    virtual void append(const std::vector<QJsonObject> &records, AppendDone done) = 0;
    /// Reads from an offset. Waits up to `wait` for the first record; an empty batch when none came.
    virtual void read(std::int64_t from, Millis wait, ReadDone done) = 0;
};

} // namespace marjoramhaven
