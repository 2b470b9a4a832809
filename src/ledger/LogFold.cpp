#include "marjoramhaven/ledger/LogFold.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;
} // namespace

void LogFold::apply(const LogBatch &batch)
{
    if (batch.first > m_nextOffset) {
        m_lostRecords += batch.first - m_nextOffset;
        m_nextOffset = batch.first;
    }
    m_hasRead = true;
    const auto skip = std::min<std::int64_t>(m_nextOffset - batch.first, static_cast<std::int64_t>(batch.records.size()));
    for (auto i = static_cast<std::size_t>(skip); i < batch.records.size(); ++i) {
        const auto offset = m_nextOffset++;
        if (const auto record = logRecordFromJson(batch.records[i])) {
            applyRecord(*record, offset);
        }
    }
}

void LogFold::applyRecord(const LogRecord &record, std::int64_t offset)
{
    std::visit(Overloaded {
                   [&](const ConfigurationPatch &it) {
                       m_configuration.applyFromLog(it, offset);
                   },
                   [&](const JobAccepted &it) {
                       m_jobs.apply(it, offset);
                   },
                   [&](const JobCancelled &it) {
                       m_jobs.apply(it);
                   },
                   [&](const TaskEnded &it) {
                       m_jobs.apply(it);
                   },
                   [&](const auto &it) {
                       m_claims.apply(it);
                   },
               },
               record);
    if (m_listener) {
        m_listener(record);
    }
}

} // namespace marjoramhaven
