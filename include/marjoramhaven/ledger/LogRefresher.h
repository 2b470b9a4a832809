#pragma once

#include <string>

#include "marjoramhaven/ledger/LogAppender.h"
#include "marjoramhaven/ledger/ReplicatedState.h"

namespace marjoramhaven {

/// Periodically rewrites the live state of a zone to the log, so that the log's retention never removes records that are still needed.
///
/// A process that starts with empty memory rebuilds its state from the records that the log still keeps. The rewritten records equal the original ones, so
/// they change nothing for readers that have applied those.
class LogRefresher
{
public:
    /// Makes the first refresh due one interval from now.
    LogRefresher(Millis interval, TimePoint now);

    /// Returns true when the next refresh is due.
    bool isDue(TimePoint now) const { return now >= m_dueAt; }
    /// Queues the configuration in force and each unfinished job of a zone with its recorded task ends and cancellation, and schedules the next refresh.
    /// Queues nothing before the log has been read to its end.
    void refresh(const ReplicatedState &state, const std::string &zone, LogAppender &appender, TimePoint now);

private:
    Millis m_interval;
    TimePoint m_dueAt;
};

} // namespace marjoramhaven
