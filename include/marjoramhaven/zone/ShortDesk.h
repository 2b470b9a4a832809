#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "marjoramhaven/ledger/JobLedger.h"
#include "marjoramhaven/zone/ShortDecision.h"
#include "marjoramhaven/zone/TaskLabel.h"
#include "marjoramhaven/zone/ZoneScheduler.h"

namespace marjoramhaven {

/// The short requests of a zone: placed ones, ones held for a moment until there is room, and results kept for resends.
class ShortDesk
{
public:
    /// A placed request that is not known to have ended.
    struct Active {
        std::string worker;
        std::string workerUrl;
        AttemptId attempt;
        std::int64_t session = 0;
        /// Its start is refused by the worker after this instant; then it is looked up there.
        TimePoint lookUpAt {};
        bool repeatable = true;
    };

    /// A request that waits for room.
    struct Held {
        JobSpec spec;
        TimePoint until {};
        ShortDecided decided;
    };

    void add(const std::string &key, Active active);
    void remove(const std::string &key);
    const Active *active(const std::string &key) const;
    const std::unordered_map<std::string, Active> &actives() const { return m_active; }
    /// Sets when a request is looked up at its worker next.
    void lookUpLater(const std::string &key, TimePoint at);

    void hold(Held held) { m_held.push_back(std::move(held)); }
    std::deque<Held> takeHeld() { return std::exchange(m_held, {}); }
    /// Number of held requests in a class.
    int heldInClass(const std::string &urgency) const;
    std::size_t heldCount() const { return m_held.size(); }

    /// Keeps an ended request's result for callers that send it again.
    void keepResult(const std::string &key, const TaskEnd &end, TimePoint now);
    /// A kept result, or null.
    const TaskEnd *result(const std::string &key) const;
    /// Drops results kept long enough.
    void expire(TimePoint now);

private:
    struct Kept {
        std::string key;
        TimePoint until {};
    };

    std::unordered_map<std::string, Active> m_active;
    std::deque<Held> m_held;
    std::unordered_map<std::string, TaskEnd> m_results;
    std::deque<Kept> m_kept;
    std::size_t m_keptBytes = 0;
};

} // namespace marjoramhaven
