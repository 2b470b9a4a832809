#pragma once

#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetClients.h"

namespace marjoramhaven {

/// Sends the planner's requests. Each answer is later passed to the matching function of the planner, for example sendStart() to handleStartResponse().
///
/// What a request permits was checked at `decidedAt`, so it must not be sent later than `timeout` after that.
class PlannerTransport
{
public:
    virtual ~PlannerTransport() = default;

    virtual void sendStart(const StartRunRequest &request, TimePoint decidedAt, Millis timeout) = 0;
    virtual void sendStop(const StopRunRequest &request, TimePoint decidedAt, Millis timeout) = 0;
    virtual void sendThrottle(const ThrottleRunRequest &request, TimePoint decidedAt, Millis timeout) = 0;
    virtual void sendPoll(const PollWorkerRequest &request, TimePoint decidedAt, Millis timeout) = 0;
    virtual void sendAdviceRequest(const AdviceRequest &request) = 0;
    /// Called when a worker refuses a request because it has seen a higher fencing token.
    virtual void fencedByWorker(const std::string &worker) = 0;
};

} // namespace marjoramhaven
