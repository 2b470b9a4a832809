#include "marjoramhaven/ledger/LogAppender.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr std::size_t MaxPending = 20'000;
constexpr std::size_t MaxPerAppend = 500;
constexpr Millis BatchDelay {25};
constexpr Millis FirstRetryDelay {100};
constexpr int MaxRetryDoublings = 4;
} // namespace

LogAppender::LogAppender(LogService &log)
    : m_log(log)
{
}

bool LogAppender::add(const LogRecord &record)
{
    if (pending() >= MaxPending) {
        return false;
    }
    m_queue.push_back(toJson(record));
    return true;
}

void LogAppender::tick(TimePoint now)
{
    if (m_isAppendInFlight || now < m_retryAt || now - m_lastSent < BatchDelay) {
        return;
    }
    if (m_inFlight.empty()) {
        const std::size_t n = std::min(m_queue.size(), MaxPerAppend);
        m_inFlight.assign(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(n));
        m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(n));
    }
    if (m_inFlight.empty()) {
        return;
    }
    m_isAppendInFlight = true;
    m_lastSent = now;
    ++m_appendsSent;
    const std::weak_ptr<bool> alive = m_alive;
    m_log.append(m_inFlight, [this, alive](bool ok, TimePoint at) {
        if (!alive.expired()) {
            onAppendDone(ok, at);
        }
    });
}

void LogAppender::onAppendDone(bool ok, TimePoint now)
{
    m_isAppendInFlight = false;
    if (!ok) {
        m_retryAt = now + FirstRetryDelay * (1 << std::min(m_failures, MaxRetryDoublings));
        ++m_failures;
        return;
    }
    m_failures = 0;
    m_recordsConfirmed += static_cast<std::int64_t>(m_inFlight.size());
    m_inFlight.clear();
}

} // namespace marjoramhaven
