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
class ShortRequestTable
{
public:
    /// A placed request that is not known to have ended.
    struct ActiveRequest {
        std::string worker;
        std::string workerUrl;
        AttemptId attempt;
        std::int64_t session = 0;
        /// Its start is refused by the worker after this instant; then it is looked up there.
        TimePoint checkAt {};
        bool repeatable = true;
    };

    /// A request that waits for room.
    struct HeldRequest {
        JobSpec spec;
        TimePoint until {};
        ShortDecided decided;
    };

    void add(const std::string &key, ActiveRequest active);
    void remove(const std::string &key);
    const ActiveRequest *active(const std::string &key) const;
    const std::unordered_map<std::string, ActiveRequest> &activeRequests() const { return m_active; }
    /// Sets when a request is looked up at its worker next.
    void setCheckAt(const std::string &key, TimePoint at);

    void hold(HeldRequest held) { m_held.push_back(std::move(held)); }
    std::deque<HeldRequest> takeHeld() { return std::exchange(m_held, {}); }
    /// Number of held requests in a class.
    int heldInClass(const std::string &urgency) const;
    std::size_t heldCount() const { return m_held.size(); }

    /// Keeps an ended request's result for callers that send it again.
    void retainResult(const std::string &key, const TaskEnd &end, TimePoint now);
    /// A kept result, or null.
    const TaskEnd *result(const std::string &key) const;
    /// Drops results kept long enough.
    void expire(TimePoint now);

private:
    struct RetainedResult {
        std::string key;
        TimePoint until {};
    };

    std::unordered_map<std::string, ActiveRequest> m_active;
    std::deque<HeldRequest> m_held;
    std::unordered_map<std::string, TaskEnd> m_results;
    std::deque<RetainedResult> m_retained;
    std::size_t m_retainedBytes = 0;
};

} // namespace marjoramhaven
