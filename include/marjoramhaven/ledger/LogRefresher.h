#pragma once

#include <string>

#include "marjoramhaven/ledger/LogAppender.h"
#include "marjoramhaven/ledger/LogFold.h"

namespace marjoramhaven {

/// Writes live state to the log again, so that the log's retention never drops what is still needed.
///
/// A process that starts with an empty memory folds it from what the log still keeps. Records are written as they
/// stood; readers that know them already change nothing.
class LogRefresher
{
public:
    LogRefresher(Millis interval, TimePoint now);

    bool isDue(TimePoint now) const { return now >= m_dueAt; }
    /// Queues the configuration in force and every open job of a zone with its recorded ends.
    void refresh(const LogFold &state, const std::string &zone, LogAppender &appender, TimePoint now);

private:
    Millis m_interval;
    TimePoint m_dueAt;
};

} // namespace marjoramhaven
