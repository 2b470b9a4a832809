#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// One named value of an event.
struct EventField {
    std::string_view name;
    std::variant<std::int64_t, double, std::string> value;
};

/// Bounds on what an event log writes and holds.
struct EventLimits {
    /// Lines of one kind in one second; further ones are counted and told, not written.
    int linesPerKindPerSecond = 250;
    /// Lines that wait for a slow reader of standard output; further ones are counted and told.
    std::size_t waitingLines = 4000;
};

/// Writes one JSON object a line to standard output for each decision. Never blocks its callers: a reader that stands still costs lines, not time.
class EventLog
{
public:
    /// Writes to the file descriptor; 1 is standard output, a negative one discards every line.
    EventLog(std::string node, int descriptor, EventLimits limits = {});
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Queues one line. Safe from several threads.
    void write(std::string_view kind, std::initializer_list<EventField> fields);
    /// Events of each kind since the start, written or not.
    std::map<std::string, std::int64_t> counts() const;
    /// Lines that were not written, since the start.
    std::int64_t dropped() const;

private:
    // Counts the lines of one kind in the current second.
    struct KindCount {
        std::int64_t second = 0;
        int lines = 0;
        std::int64_t dropped = 0;
        std::int64_t total = 0;
    };

    bool admit(std::string_view kind, std::int64_t second, std::int64_t &droppedBefore);
    void run();
    void writeOut(const std::string &lines) const;

    const std::string m_node;
    const int m_descriptor;
    const EventLimits m_limits;
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    std::deque<std::string> m_waiting;
    std::map<std::string, KindCount, std::less<>> m_kinds;
    std::int64_t m_dropped = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace marjoramhaven
