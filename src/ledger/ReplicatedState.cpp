#include "marjoramhaven/ledger/ReplicatedState.h"

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

void ReplicatedState::apply(const LogBatch &batch)
{
    if (batch.first > m_nextOffset) {
        m_lostRecords += batch.first - m_nextOffset;
        m_nextOffset = batch.first;
        m_gapEnd = batch.first;
        m_deferredPatches.clear();
    }
    const auto skip = std::min<std::int64_t>(m_nextOffset - batch.first, static_cast<std::int64_t>(batch.records.size()));
    for (auto i = static_cast<std::size_t>(skip); i < batch.records.size(); ++i) {
        const auto offset = m_nextOffset++;
        if (const auto record = logRecordFromJson(batch.records[i])) {
            applyRecord(*record, offset);
        }
    }
    m_isCaughtUp = m_isCaughtUp || m_nextOffset >= batch.next;
    if (batch.oldest > m_oldest) {
        m_oldest = batch.oldest;
        m_jobs.removeFinishedBefore(m_oldest);
    }
}

void ReplicatedState::applyPatch(const ConfigurationPatch &patch, std::int64_t offset)
{
    if (m_gapEnd) {
        m_deferredPatches.emplace_back(patch, offset);
    } else {
        m_configuration.applyFromLog(patch, offset);
    }
}

void ReplicatedState::applySnapshot(const ConfigurationSnapshot &snapshot)
{
    m_configuration.restore(snapshot.version);
    // The snapshot lacks patches from appliedUpTo onwards. If appliedUpTo lies before the end of the gap, some of them may be lost with the gap.
    if (!m_gapEnd || snapshot.appliedUpTo < *m_gapEnd) {
        return;
    }
    m_gapEnd.reset();
    for (const auto &[patch, offset] : std::exchange(m_deferredPatches, {})) {
        if (offset >= snapshot.appliedUpTo) {
            m_configuration.applyFromLog(patch, offset);
        }
    }
}

void ReplicatedState::applyRecord(const LogRecord &record, std::int64_t offset)
{
    std::visit(Overloaded {
                   [&](const ConfigurationPatch &it) {
                       applyPatch(it, offset);
                   },
                   [&](const ConfigurationSnapshot &it) {
                       applySnapshot(it);
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
