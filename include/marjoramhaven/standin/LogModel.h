#pragma once

#include <QJsonObject>
#include <vector>

#include "marjoramhaven/platform/LogService.h"

namespace marjoramhaven {

/// In-memory model of the platform's append-only log.
class LogModel
{
public:
    /// Appends records in order and returns the offset of the first.
    std::int64_t append(const std::vector<QJsonObject> &records);
    /// Reads at most `limit` records from an offset on, or from the oldest retained record when the offset is older.
    LogBatch read(std::int64_t from, std::size_t limit) const;
    /// Drops all records but the newest `keep`.
    void truncate(std::size_t keep);
    /// Returns the offset that the next record gets.
    std::int64_t next() const { return m_oldest + static_cast<std::int64_t>(m_records.size()); }
    /// Returns the offset of the oldest retained record.
    std::int64_t oldest() const { return m_oldest; }

private:
    std::int64_t m_oldest = 0;
    std::vector<QJsonObject> m_records;
};

} // namespace marjoramhaven
