#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/ledger/ClaimTable.h"
#include "marjoramhaven/ledger/JobLedger.h"
#include "marjoramhaven/platform/LogService.h"

namespace marjoramhaven {

/// Everything that a process knows from the log: configuration, jobs and claims.
///
/// One thread folds; others read the ledgers.
class LogFold
{
public:
    /// Called after a record was folded.
    using Listener = std::function<void(const LogRecord &)>;

    /// Sets who hears of folded records.
    void setListener(Listener listener) { m_listener = std::move(listener); }
    /// Folds a batch in order. Records before the next offset are skipped, so a batch read twice changes nothing.
    void apply(const LogBatch &batch);

    /// The offset to read next.
    std::int64_t nextOffset() const { return m_nextOffset; }
    /// True once the log was read to its end. Before that, the state may lack records that follow.
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// Number of records that this reader lost because the log's retention passed it.
    std::int64_t lostRecords() const { return m_lostRecords; }

    ConfigurationHistory &configuration() { return m_configuration; }
    const ConfigurationHistory &configuration() const { return m_configuration; }
    JobLedger &jobs() { return m_jobs; }
    const JobLedger &jobs() const { return m_jobs; }
    ClaimTable &claims() { return m_claims; }
    const ClaimTable &claims() const { return m_claims; }

private:
    void applyPatch(const ConfigurationPatch &patch, std::int64_t offset);
    void applySnapshot(const ConfigurationSnapshot &snapshot);
    void applyRecord(const LogRecord &record, std::int64_t offset);

    ConfigurationHistory m_configuration;
    JobLedger m_jobs;
    ClaimTable m_claims;
    Listener m_listener;
    std::int64_t m_nextOffset = 0;
    std::int64_t m_oldest = 0;
    std::int64_t m_lostRecords = 0;
    bool m_isCaughtUp = false;
    /// Set while the patches that led to the version in force may be lost: the first offset read after the gap.
    std::optional<std::int64_t> m_gapEnd;
    /// Patches read since the gap. They are judged once a snapshot tells what they were written against.
    std::vector<std::pair<ConfigurationPatch, std::int64_t>> m_deferredPatches;
};

} // namespace marjoramhaven
