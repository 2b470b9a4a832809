#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetClients.h"

namespace marjoramhaven {

/// A request to the advisor, which the process `proxy` sends on the planner's behalf.
struct AdviceRequest {
    std::string proxy;
    std::string step;
    std::vector<std::string> workers;
    Millis timeout {0};
};

/// Caches the advisor's answers on which workers may run a step, and chooses the process that sends the next request.
///
/// The advisor handles one request at a time for each calling machine, so requests are distributed over the processes of the system, called advisor proxies
/// here. Long requests leave some proxies free for short ones, so that urgent steps never wait behind them. Short requests go through the proxies with the
/// lowest network latency to the advisor, and long ones, for which that latency matters little, through the others. Queues that compete for the proxies of long
/// requests get equal shares of them, so that a flood of one queue leaves the others theirs.
class AdviceCache
{
public:
    /// The cached answer for one worker and one step.
    enum class Verdict {
        Unknown,
        Allowed,
        /// The worker was allowed, but its ticket has expired.
        Expired,
        Forbidden,
    };

    /// Adds a process that can send requests to the advisor; does nothing if it is known already.
    void addProxy(const std::string &name);
    /// Removes an advisor proxy. A request that it has in flight counts as unanswered.
    void removeProxy(const std::string &name);
    std::size_t proxyCount() const { return m_proxies.size(); }

    /// Returns the cached answer for a worker; `Unknown` also when the answer was for another incarnation of the worker.
    Verdict verdict(const std::string &step, const std::string &worker, std::int64_t workerStartedUnixMs, TimePoint now) const;
    /// Returns the ticket of an allowed worker, or an empty string if there is none.
    std::string ticket(const std::string &step, const std::string &worker) const;
    /// Returns true while a request for the step is in flight or during the pause after a failed one.
    bool isRequestBlocked(const std::string &step, TimePoint now) const;
    /// Returns the estimated share (0 to 1) of workers that the advisor allows for steps of a queue, from its answers so far.
    double allowedShare(const std::string &queue) const;

    /// Returns false if no request of the queue can be sent now, whatever workers it names. Cheap, unlike choosing the workers.
    bool mayRequest(const QueuePolicy &queue, TimePoint now);
    /// Creates a request about these workers, each with the start time of its incarnation, and reserves a proxy for it. Returns `std::nullopt` if there are no
    /// workers, a request for the step is blocked, or no proxy is free for a request of this length.
    std::optional<AdviceRequest>
    createRequest(const std::string &step, const QueuePolicy &queue, const std::vector<std::pair<std::string, std::int64_t>> &workersWithStart, TimePoint now);
    /// Stores the answer to a request and frees its proxy.
    void handleResponse(const std::string &proxy, const std::string &step, const AdviceResponse &response, TimePoint now);
    /// Discards the cached answer for a worker that refused its ticket.
    void discardTicket(const std::string &step, const std::string &worker);
    /// Removes the answers for a step that needs no further advice, unless a request for it is in flight.
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

    struct Proxy {
        bool hasRequestInFlight = false;
        bool isLongRequest = false;
        std::string step;
        std::string queue;
        TimePoint busyUntil {};
        TimePoint requestedAt {};
        /// Expected processing time of the request in flight inside the advisor, in milliseconds.
        double expectedMs = 0;
        /// Smoothed time that requests take beyond the expected processing time, in milliseconds; 0 before the first answer.
        double extraLatencyMs = 0;
    };

    struct AllowanceStats {
        double asked = 0;
        double allowed = 0;
    };

    Proxy *chooseProxy(bool isLong, TimePoint now, std::string &name);
    // Returns true if a request of this length may use one more proxy. A long one that may not is remembered as waiting.
    bool isWithinLimits(bool isLong, const std::string &queue, TimePoint now);
    // Returns true if the queue uses its share of the proxies for long requests and another one waits for its own.
    bool hasUsedItsShare(const std::string &queue, TimePoint now) const;
    bool isWaiting(const std::string &queue, TimePoint now) const;
    void releaseProxy(Proxy &proxy);

    std::map<std::string, StepAdvice> m_steps;
    std::map<std::string, Proxy> m_proxies;
    std::map<std::string, AllowanceStats> m_allowanceStats;
    /// Numbers of long requests under way, by queue, and of all requests by length.
    std::map<std::string, std::size_t> m_longInFlightOf;
    std::size_t m_longInFlight = 0;
    std::size_t m_shortInFlight = 0;
    /// When a long request of a queue last found no proxy, and when any did.
    std::map<std::string, TimePoint> m_refusedAt;
    std::optional<TimePoint> m_lastRefusedAt;
};

} // namespace marjoramhaven
