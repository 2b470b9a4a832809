#include "marjoramhaven/standin/LogModel.h"

#include <algorithm>

namespace marjoramhaven {

std::int64_t LogModel::append(const std::vector<QJsonObject> &records)
{
    const auto first = next();
    m_records.insert(m_records.end(), records.begin(), records.end());
    return first;
}

LogBatch LogModel::read(std::int64_t from, std::size_t limit) const
{
    LogBatch out;
    out.oldest = m_oldest;
    out.first = std::clamp(from, m_oldest, next());
    const auto begin = static_cast<std::size_t>(out.first - m_oldest);
    const auto end = std::min(m_records.size(), begin + limit);
    out.next = next();
    out.records.assign(m_records.begin() + static_cast<std::ptrdiff_t>(begin), m_records.begin() + static_cast<std::ptrdiff_t>(end));
    return out;
}

void LogModel::truncate(std::size_t keep)
{
    if (m_records.size() > keep) {
        const auto drop = m_records.size() - keep;
        m_records.erase(m_records.begin(), m_records.begin() + static_cast<std::ptrdiff_t>(drop));
        m_oldest += static_cast<std::int64_t>(drop);
    }
}

} // namespace marjoramhaven
