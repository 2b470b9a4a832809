#pragma once

#include <QJsonObject>
#include <functional>
#include <optional>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// The result of reading from the log.
struct LogBatch {
    /// Offset of the oldest record that the log still retains.
    std::int64_t oldest = 0;
    /// Offset of the first record in this batch.
    std::int64_t first = 0;
    std::vector<QJsonObject> records;
    /// Offset of the next record to be appended.
    std::int64_t next = 0;
};

/// The platform's append-only log, in which each record has an offset.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Receives true when the append is known to have succeeded. False means that the outcome is unknown: the records may have been appended.
    using AppendDone = std::function<void(bool, TimePoint)>;
    /// Receives a batch, or std::nullopt when the log could not be read.
    using ReadDone = std::function<void(std::optional<LogBatch>, TimePoint)>;

    /// Appends records in order, in one request.
    virtual void append(const std::vector<QJsonObject> &records, AppendDone done) = 0;
    /// Reads records from an offset on. When there are none yet, the log waits up to `wait` for one, and the batch is empty if none was appended.
    virtual void read(std::int64_t from, Millis wait, ReadDone done) = 0;
};

} // namespace marjoramhaven
