#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetCalls.h"

namespace marjoramhaven {

/// A call for advice to send: by which process, for which step, about which workers.
struct AdviceOrder {
    std::string helper;
    std::string step;
    std::vector<std::string> workers;
    Millis timeout {0};
};

/// What is known of the workers that may run each step, and which process asks next.
///
/// The advisor handles one call at a time for each calling machine, so that calls are spread over the processes of the system. Long calls leave some
/// processes to the short ones, so that urgent steps never wait behind them. Short calls go through the processes nearest to the advisor, long ones, for
/// which the way counts little, through the others.
class AdviceCache
{
public:
    /// What is known of one worker for one step.
    enum class Verdict {
        Unknown,
        Allowed,
        /// Allowed, but its ticket has expired.
        Expired,
        Forbidden,
    };

    /// Names a process that can ask.
    void addHelper(const std::string &name);
    /// Forgets a process; its call counts as unanswered.
    void removeHelper(const std::string &name);
    std::size_t helperCount() const { return m_helpers.size(); }

    Verdict verdict(const std::string &step, const std::string &worker, std::int64_t workerStartedUnixMs, TimePoint now) const;
    /// The ticket of an allowed worker; empty when there is none.
    std::string ticket(const std::string &step, const std::string &worker) const;
    /// True while a call for the step is on its way, or its pause after a failure runs.
    bool isRequestBlocked(const std::string &step, TimePoint now) const;
    /// The share of asked workers that were allowed for steps of a queue, from what was stats so far.
    double allowedShare(const std::string &queue) const;

    /// Chooses a process for a call; nothing when all that may take it are busy.
    std::optional<AdviceOrder>
    createRequest(const std::string &step, const QueuePolicy &queue, const std::vector<std::pair<std::string, std::int64_t>> &workersWithStart, TimePoint now);
    /// Takes the answer to an order.
    void handleResponse(const std::string &helper, const std::string &step, const AdviceAnswer &answer, TimePoint now);
    /// A worker refused the ticket.
    void discardTicket(const std::string &step, const std::string &worker);
    /// Forgets a step that needs no further advice.
    void forget(const std::string &step);

private:
    struct Allowance {
        bool isAllowed = false;
        std::string ticket;
        TimePoint expiresAt {};
        std::int64_t workerStartedUnixMs = 0;
    };

    struct StepAdvice {
        std::map<std::string, Allowance> workers;
        std::map<std::string, std::int64_t> asked;
        std::string queue;
        Millis validity {0};
        bool isRequestInFlight = false;
        TimePoint requestedAt {};
        TimePoint notBefore {};
    };

    struct Helper {
        bool hasRequestInFlight = false;
        std::string step;
        TimePoint busyUntil {};
        TimePoint requestedAt {};
        /// What the advisor itself takes for the call that is on its way, in milliseconds.
        double expectedMs = 0;
        /// How much longer its calls take than that, smoothed; 0 before its first answer.
        double extraLatencyMs = 0;
    };

    struct AllowanceStats {
        double asked = 0;
        double allowed = 0;
    };

    Helper *chooseHelper(bool isLong, TimePoint now, std::string &name);

    std::map<std::string, StepAdvice> m_steps;
    std::map<std::string, Helper> m_helpers;
    std::map<std::string, AllowanceStats> m_allowanceStats;
};

} // namespace marjoramhaven
