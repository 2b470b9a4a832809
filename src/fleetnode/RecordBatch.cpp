#include "marjoramhaven/fleetnode/RecordBatch.h"

#include <algorithm>
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

void RecordBatch::putBack(std::vector<KeyedRecord> records)
{
    m_next -= records.size();
    std::move(records.begin(), records.end(), m_records.begin() + static_cast<std::ptrdiff_t>(m_next));
}

void RecordBatch::removeIf(const std::function<bool(const std::string &key)> &condition)
{
    const auto first = m_records.begin() + static_cast<std::ptrdiff_t>(m_next);
    const auto last = std::remove_if(first, m_records.end(), [&condition](const KeyedRecord &it) {
        return condition(it.key);
    });
    m_records.erase(last, m_records.end());
}

} // namespace marjoramhaven
