#pragma once

#include <QJsonObject>
#include <vector>

#include "marjoramhaven/platform/LogService.h"

namespace marjoramhaven {

/// The platform's append-only log, held in memory.
class LogModel
{
public:
    /// Appends records in order; returns the offset of the first.
    std::int64_t append(const std::vector<QJsonObject> &records);
    /// Reads from an offset, at most `limit` records; begins at the oldest record kept when the offset is older.
    LogBatch read(std::int64_t from, std::size_t limit) const;
    /// Drops all but the newest `keep` records.
    void truncate(std::size_t keep);
    /// Offset that the next record gets.
    std::int64_t next() const { return m_oldest + static_cast<std::int64_t>(m_records.size()); }
    std::int64_t oldest() const { return m_oldest; }

private:
    std::int64_t m_oldest = 0;
    std::vector<QJsonObject> m_records;
};

} // namespace marjoramhaven
