#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "marjoramhaven/ledger/JobTable.h"
#include "marjoramhaven/zone/ShortRequestDecision.h"
#include "marjoramhaven/zone/TaskLabel.h"
#include "marjoramhaven/zone/ZoneScheduler.h"

namespace marjoramhaven {

/// The short requests of a zone: those placed on a worker, those held back until there is capacity, and the results
/// retained for callers that send a request again.
class ShortRequestTable
{
public:
    /// A request that was placed on a worker and is not known to have ended.
    struct ActiveRequest {
        std::string worker;
        std::string workerUrl;
        AttemptId attempt;
        std::int64_t session = 0;
        /// When to ask the worker whether the attempt runs. At first this lies after the instant from which the worker refuses its start.
        TimePoint checkAt {};
        bool repeatable = true;
    };

    /// A request that waits for free capacity, or for the end of the leader's recovery.
    struct HeldRequest {
        JobSpec spec;
        TimePoint until {};
        ShortRequestCallback callback;
    };

    void add(const std::string &key, ActiveRequest active);
    void remove(const std::string &key);
    const ActiveRequest *active(const std::string &key) const;
    const std::unordered_map<std::string, ActiveRequest> &activeRequests() const { return m_active; }
    /// Sets when to ask the worker of an active request next whether it runs.
    void setCheckAt(const std::string &key, TimePoint at);

    void hold(HeldRequest held) { m_held.push_back(std::move(held)); }
    std::deque<HeldRequest> takeHeld() { return std::exchange(m_held, {}); }
    /// Returns the number of held requests of an urgency class.
    int heldInClass(const std::string &urgency) const;
    std::size_t heldCount() const { return m_held.size(); }

    /// Retains the result of an ended request for callers that send it again. Does nothing when the request has a result already.
    void retainResult(const std::string &key, const TaskEnd &end, TimePoint now);
    /// Returns a retained result, or nullptr.
    const TaskEnd *result(const std::string &key) const;
    /// Drops results older than the retention time, and the oldest ones above the memory limit.
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
