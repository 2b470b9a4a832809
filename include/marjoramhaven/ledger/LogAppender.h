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

/// Batches records into few append calls, with one call in flight at a time, and retries an append that failed or was not answered.
///
/// Applying a record twice gives the same state as applying it once, so a retry that duplicates records is harmless.
class LogAppender
{
public:
    explicit LogAppender(LogService &log);

    /// Queues a record. Returns false when the queue is full; the caller must then reject the work that the record belongs to.
    bool add(const LogRecord &record);
    /// Sends queued records when no append is in flight and both the batching delay and the retry back-off have passed.
    void tick(TimePoint now);
    /// Returns true when the last answered append failed.
    bool isFailing() const { return m_failures > 0; }
    /// Returns the number of records that are queued or in flight.
    std::size_t pending() const { return m_queue.size() + m_inFlight.size(); }
    /// Returns the number of append calls sent since the start, retries included.
    std::int64_t appendsSent() const { return m_appendsSent; }
    /// Returns the number of records whose append was confirmed since the start.
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
