#include "marjoramhaven/telemetry/EventLog.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace marjoramhaven {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;
// Interval at which the writing thread checks for a stop request while the reader of the output stalls.
constexpr int StopCheckIntervalMs = 100;

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

EventLog::EventLog(std::string node, int descriptor, EventLimits limits)
    : m_node(std::move(node))
    , m_descriptor(descriptor)
    , m_limits(limits)
    , m_thread([this]() {
        run();
    })
{
}

EventLog::~EventLog()
{
    {
        const std::lock_guard<std::mutex> lock(m_lock);
        m_isStopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

bool EventLog::admit(std::string_view kind, std::int64_t second, std::int64_t &droppedBefore)
{
    auto it = m_kinds.find(kind);
    if (it == m_kinds.end()) {
        it = m_kinds.emplace(std::string(kind), KindCount {}).first;
    }
    auto &count = it->second;
    ++count.total;
    if (count.second != second) {
        count.second = second;
        count.lines = 0;
        droppedBefore = count.dropped;
        count.dropped = 0;
    }
    if (count.lines >= m_limits.maxLinesPerKindPerSecond || m_queue.size() >= m_limits.maxQueuedLines) {
        ++count.dropped;
        ++m_dropped;
        return false;
    }
    ++count.lines;
    return true;
}

void EventLog::write(std::string_view kind, std::initializer_list<EventField> fields)
{
    if (m_descriptor < 0) {
        return;
    }
    const auto nowMs = unixMillis();
    std::int64_t droppedBefore = 0;
    {
        const std::lock_guard<std::mutex> lock(m_lock);
        if (!admit(kind, nowMs / MillisPerSecond, droppedBefore)) {
            return;
        }
    }
    nlohmann::ordered_json line {{"at", nowMs}, {"up", millisOf(monotonicNow())}, {"node", m_node}, {"event", kind}};
    for (const auto &it : fields) {
        std::visit(
            [&](const auto &value) {
                line[std::string(it.name)] = value;
            },
            it.value);
    }
    if (droppedBefore > 0) {
        line["dropped_before"] = droppedBefore;
    }
    auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    {
        const std::lock_guard<std::mutex> lock(m_lock);
        m_queue.push_back(std::move(text));
        if (m_queue.size() > 1) {
            return;
        }
    }
    m_wake.notify_one();
}

std::map<std::string, std::int64_t> EventLog::counts() const
{
    const std::lock_guard<std::mutex> lock(m_lock);
    std::map<std::string, std::int64_t> out;
    for (const auto &[kind, count] : m_kinds) {
        out.emplace(kind, count.total);
    }
    return out;
}

std::int64_t EventLog::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_lock);
    return m_dropped;
}

void EventLog::writeOut(const std::string &lines) const
{
    std::size_t at = 0;
    while (at < lines.size()) {
        pollfd ready {m_descriptor, POLLOUT, 0};
        const int readyCount = poll(&ready, 1, StopCheckIntervalMs);
        if (readyCount == 0 && m_isStopping) {
            return;
        }
        if (readyCount <= 0) {
            continue;
        }
        // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
        const auto n = std::min<std::size_t>(lines.size() - at, PIPE_BUF);
        const auto written = ::write(m_descriptor, lines.data() + at, n);
        if (written < 0 && errno != EINTR && errno != EAGAIN) {
            return;
        }
        at += written > 0 ? static_cast<std::size_t>(written) : 0;
    }
}

void EventLog::run()
{
    std::unique_lock<std::mutex> lock(m_lock);
    while (true) {
        m_wake.wait(lock, [this]() {
            return m_isStopping || !m_queue.empty();
        });
        if (m_queue.empty()) {
            return;
        }
        std::string block;
        for (const auto &it : m_queue) {
            block += it;
        }
        m_queue.clear();
        lock.unlock();
        writeOut(block);
        lock.lock();
    }
}

} // namespace marjoramhaven
