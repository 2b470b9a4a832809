#include "marjoramhaven/fleet/FleetPlanner.h"

#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

FleetPlanner::FleetPlanner(PlannerTransport &port, EventLog &events, PlannerLimits limits, std::int64_t fencingToken, TimePoint now)
    : m_port(port)
    , m_events(events)
    , m_limits(limits)
    , m_fencingToken(fencingToken)
    , m_newestToken(fencingToken)
    , m_openedAt(now)
    , m_leadership(limits.leadershipBound)
    , m_placer(m_state, *this)
{
}

FleetPlanner::~FleetPlanner() = default;

void FleetPlanner::confirmLeadership(TimePoint asOf, TimePoint now)
{
    m_leadership.confirm(asOf);
    checkLeadership(now);
}

void FleetPlanner::raiseFencingToken(std::int64_t token)
{
    m_newestToken = std::max(m_newestToken, token);
}

void FleetPlanner::addAdvisorProxy(const std::string &proxy)
{
    m_state.advice.addProxy(proxy);
}

void FleetPlanner::removeAdvisorProxy(const std::string &proxy)
{
    m_state.advice.removeProxy(proxy);
}

void FleetPlanner::plan(TimePoint now)
{
    if (m_isOpen) {
        releaseEndedJobs();
        m_possibleStarts = possibleStarts();
        m_placer.plan(now);
    }
}

void FleetPlanner::reportWaiting(const WaitingStepReport &report)
{
    m_events.write("step_waits",
                   {{"step", report.step},
                    {"waiting", static_cast<std::int64_t>(report.waitingTasks)},
                    {"waited_ms", report.waited.count()},
                    {"workers", report.workers}});
}

void FleetPlanner::handleAdviceResponse(const AdviceRequest &request, const AdviceResponse &response, TimePoint now)
{
    m_events.write("advice",
                   {{"step", request.step},
                    {"helper", request.proxy},
                    {"asked", static_cast<std::int64_t>(request.workers.size())},
                    {"allowed", static_cast<std::int64_t>(response.allowed.size())},
                    {"answered", static_cast<std::int64_t>(response.isAnswered)},
                    {"reason", response.reason}});
    m_state.advice.handleResponse(request.proxy, request.step, response, now);
}

} // namespace marjoramhaven
