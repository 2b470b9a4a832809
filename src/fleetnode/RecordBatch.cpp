#include "marjoramhaven/fleetnode/RecordBatch.h"

#include <utility>

namespace marjoramhaven {

RecordBatch::RecordBatch(std::vector<KeyedRecord> records)
    : m_records(std::move(records))
{
}

std::vector<KeyedRecord> RecordBatch::takeNext(std::size_t maxBytes)
{
    std::vector<KeyedRecord> out;
    std::size_t bytes = 0;
    while (!isEmpty()) {
        auto &record = m_records[m_next];
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        if (!out.empty() && bytes > maxBytes) {
            break;
        }
        out.push_back(std::move(record));
        ++m_next;
    }
    return out;
}

} // namespace marjoramhaven
