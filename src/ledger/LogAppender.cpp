#include "marjoramhaven/ledger/LogAppender.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr std::size_t MaxQueued = 20'000;
constexpr std::size_t MaxPerAppend = 500;
constexpr Millis GroupFor {25};
constexpr Millis RetryFirst {100};
constexpr int MaxRetryDoublings = 4;
} // namespace

LogAppender::LogAppender(LogService &log)
    : m_log(log)
{
}

bool LogAppender::add(const LogRecord &record)
{
    if (pending() >= MaxQueued) {
        return false;
    }
    m_queue.push_back(toJson(record));
    return true;
}

void LogAppender::tick(TimePoint now)
{
    if (m_waiting || now < m_retryAt || now - m_lastSent < GroupFor) {
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
    m_waiting = true;
    m_lastSent = now;
    ++m_appendsSent;
    const std::weak_ptr<bool> alive = m_alive;
    m_log.append(m_inFlight, [this, alive](bool ok, TimePoint at) {
        if (!alive.expired()) {
            onAnswer(ok, at);
        }
    });
}

void LogAppender::onAnswer(bool ok, TimePoint now)
{
    m_waiting = false;
    if (!ok) {
        m_retryAt = now + RetryFirst * (1 << std::min(m_failures, MaxRetryDoublings));
        ++m_failures;
        return;
    }
    m_failures = 0;
    m_recordsConfirmed += static_cast<std::int64_t>(m_inFlight.size());
    m_inFlight.clear();
}

} // namespace marjoramhaven
