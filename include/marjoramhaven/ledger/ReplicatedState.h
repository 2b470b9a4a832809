#pragma once

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/ledger/ClaimTable.h"
#include "marjoramhaven/ledger/JobTable.h"
#include "marjoramhaven/platform/LogService.h"

namespace marjoramhaven {

/// The state that a process derives from the log by applying its records in order: configuration, jobs and claims.
///
/// Every process that has read the log up to the same offset holds the same state. Only one thread may call apply(); the three parts are safe to read
/// from any thread.
class ReplicatedState
{
public:
    /// Called after a record was applied.
    using Listener = std::function<void(const LogRecord &)>;

    /// Sets the function that is called after each applied record.
    void setListener(Listener listener) { m_listener = std::move(listener); }
    /// Applies a batch in order. Records before the next offset are skipped, so a batch that is read twice changes nothing.
    void apply(const LogBatch &batch);

    /// Returns the log offset to read next.
    std::int64_t nextOffset() const { return m_nextOffset; }
    /// Returns true once the log has been read to its end. Before that, the state may lack records that are already in the log.
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// Returns the number of records that this process never read because the log's retention had already removed them.
    std::int64_t lostRecords() const { return m_lostRecords; }

    ConfigurationHistory &configuration() { return m_configuration; }
    const ConfigurationHistory &configuration() const { return m_configuration; }
    JobTable &jobs() { return m_jobs; }
    const JobTable &jobs() const { return m_jobs; }
    ClaimTable &claims() { return m_claims; }
    const ClaimTable &claims() const { return m_claims; }

private:
    void applyPatch(const ConfigurationPatch &patch, std::int64_t offset);
    void applySnapshot(const ConfigurationSnapshot &snapshot);
    void applyRecord(const LogRecord &record, std::int64_t offset);

    ConfigurationHistory m_configuration;
    JobTable m_jobs;
    ClaimTable m_claims;
    Listener m_listener;
    std::int64_t m_nextOffset = 0;
    std::int64_t m_oldest = 0;
    std::int64_t m_lostRecords = 0;
    bool m_isCaughtUp = false;
    /// First offset read after a gap in the log; set while patches that led to the version in force may be missing.
    std::optional<std::int64_t> m_gapEnd;
    /// Patches read since the gap, with their offsets. They are applied once a snapshot has restored the version that precedes them.
    std::vector<std::pair<ConfigurationPatch, std::int64_t>> m_deferredPatches;
};

} // namespace marjoramhaven
