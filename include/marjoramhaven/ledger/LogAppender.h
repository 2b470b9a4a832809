#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/ledger/LogRecord.h"
#include "marjoramhaven/platform/LogService.h"

namespace marjoramhaven {

/// Groups records into few appends and repeats an append whose answer was lost.
///
/// Every record of ours folds to the same state when it stands in the log twice, so a repeat is harmless.
class LogAppender
{
public:
    explicit LogAppender(LogService &log);

    /// Queues a record. False when the queue is full: the caller must then refuse its own caller.
    bool add(const LogRecord &record);
    /// Sends queued records when none are in flight and the group's wait is over.
    void tick(TimePoint now);
    /// True while the last append failed.
    bool isFailing() const { return m_failures > 0; }
    /// Records waiting or in flight.
    std::size_t pending() const { return m_queue.size() + m_inFlight.size(); }
    /// Appends sent since the start.
    std::int64_t appendsSent() const { return m_appendsSent; }
    /// Records whose append was confirmed since the start.
    std::int64_t recordsConfirmed() const { return m_recordsConfirmed; }

private:
    void onAppendDone(bool ok, TimePoint now);

    LogService &m_log;
    std::deque<QJsonObject> m_queue;
    std::vector<QJsonObject> m_inFlight;
    bool m_isAppendInFlight = false;
    int m_failures = 0;
    TimePoint m_lastSent {};
    TimePoint m_retryAt {};
    std::int64_t m_appendsSent = 0;
    std::int64_t m_recordsConfirmed = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
