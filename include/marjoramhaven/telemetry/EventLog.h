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

/// A named value of an event.
struct EventField {
    std::string_view name;
    std::variant<std::int64_t, double, std::string> value;
};

/// Limits on the lines that an event log writes and queues. Lines beyond them are dropped and counted.
struct EventLimits {
    /// Maximum number of lines of one event kind in one second. The first line of the kind in a later second
    /// reports how many were dropped.
    int maxLinesPerKindPerSecond = 250;
    /// Maximum number of lines that wait for a slow reader of standard output.
    std::size_t maxQueuedLines = 4000;
};

/// Writes each event, such as a scheduling decision, as one JSON object on a line of its own. Writing happens on a separate thread and never blocks
/// the callers: when the reader of the output stalls, lines are dropped.
class EventLog
{
public:
    /// Creates a log that writes to a file descriptor: 1 is standard output, and with a negative one all events are discarded and not counted.
    /// `node` is the process name that each line carries.
    EventLog(std::string node, int descriptor, EventLimits limits = {});
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Queues one event of a kind. Thread-safe.
    void write(std::string_view kind, std::initializer_list<EventField> fields);
    /// Returns the number of events of each kind since the start, including those that were dropped.
    std::map<std::string, std::int64_t> counts() const;
    /// Returns the number of lines dropped since the start.
    std::int64_t dropped() const;

private:
    // The rate limiter and counters of one event kind.
    struct KindCount {
        // The second since the Unix epoch to which `lines` belongs.
        std::int64_t second = 0;
        // Lines written in that second.
        int lines = 0;
        // Lines dropped since the last report of dropped lines.
        std::int64_t dropped = 0;
        // Events since the start.
        std::int64_t total = 0;
    };

    // Counts an event and returns whether its line may be written. When a new second begins, sets `droppedBefore` to the number of lines
    // of the kind that were dropped before.
    bool admit(std::string_view kind, std::int64_t second, std::int64_t &droppedBefore);
    void run();
    void writeOut(const std::string &lines) const;

    const std::string m_node;
    const int m_descriptor;
    const EventLimits m_limits;
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    std::deque<std::string> m_queue;
    std::map<std::string, KindCount, std::less<>> m_kinds;
    std::int64_t m_dropped = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace marjoramhaven
