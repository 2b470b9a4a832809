#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// Records that are to be stored in order, by several appends when they are too large for one.
class RecordBatch
{
public:
    RecordBatch() = default;
    explicit RecordBatch(std::vector<KeyedRecord> records);

    /// Removes and returns the next records, at most `maxBytes` of keys and values together. A single larger record is returned by itself.
    std::vector<KeyedRecord> takeNext(std::size_t maxBytes);
    /// Returns the records of the last takeNext() to the front.
    void putBack(std::vector<KeyedRecord> records);
    /// Removes the records whose keys fulfil a condition.
    void removeIf(const std::function<bool(const std::string &key)> &condition);
    bool isEmpty() const { return m_next == m_records.size(); }

private:
    std::vector<KeyedRecord> m_records;
    std::size_t m_next = 0;
};

} // namespace marjoramhaven
