#include "marjoramhaven/fleet/StepFit.h"

#include <algorithm>
#include <cmath>

namespace marjoramhaven {

namespace {

// Tasks may take longer than their estimate by this factor.
constexpr double EstimateMargin = 1.5;

} // namespace

StepFit::StepFit(const FleetState &state, const FleetJob &job, int occurrence, int number, const FleetStep &step, TimePoint now)
    : m_state(&state)
    , m_job(&job)
    , m_occurrence(occurrence)
    , m_number(number)
    , m_step(&step)
    , m_spec(&job.spec(number))
    , m_now(now)
    , m_needs(FleetState::reservedResources(*m_spec))
{
}

const std::string &StepFit::name() const
{
    if (m_name.empty()) {
        m_name = m_job->id() + "." + std::to_string(m_occurrence) + "." + std::to_string(m_number);
    }
    return m_name;
}

const std::map<std::string, int> &StepFit::runsPerWorker() const
{
    if (!m_runsPerWorker) {
        m_runsPerWorker = m_state->runsPerWorker(*m_step);
    }
    return *m_runsPerWorker;
}

FleetResources StepFit::freeOn(const FleetWorker &worker) const
{
    const auto free = worker.report.capacity - worker.used;
    const bool mayUseHeld = !worker.hold || m_ignoresHolds || endsBefore(worker.hold->until);
    return mayUseHeld ? free : free - worker.hold->resources;
}

bool StepFit::endsBefore(TimePoint time) const
{
    const auto longest = Millis(std::llround(static_cast<double>(m_spec->estimateMs) * EstimateMargin));
    return !m_spec->isLongRunning && m_spec->estimateMs > 0 && m_now + longest <= time;
}

std::size_t StepFit::slots(const FleetWorker &worker) const
{
    if (!hasRoom(worker)) {
        return 0;
    }
    const auto fitting = m_needs.timesIn(freeOn(worker));
    return m_spec->maxPerWorker <= 0 ? fitting : std::min(fitting, static_cast<std::size_t>(m_spec->maxPerWorker - runsOn(worker)));
}

bool StepFit::mayHaveRoom(const FleetWorker &worker) const
{
    return worker.mayHaveRoomFor(m_needs) && isSuited(worker);
}

int StepFit::runsOn(const FleetWorker &worker) const
{
    const auto own = runsPerWorker().find(worker.report.id);
    return own == runsPerWorker().end() ? 0 : own->second;
}

AdviceCache::Verdict StepFit::verdict(const FleetWorker &worker) const
{
    return FleetState::queueOf(*m_job).needsAdvice ? m_state->advice.verdict(name(), worker.report.id, worker.startedUnixMs, m_now)
                                                   : AdviceCache::Verdict::Allowed;
}

FitObstacle StepFit::obstacle(const FleetWorker &worker) const
{
    if (!isSuited(worker)) {
        return FitObstacle::Unsuited;
    }
    if (!worker.mayHaveRoomFor(m_needs)) {
        return FitObstacle::NeverRoom;
    }
    const auto advised = verdict(worker);
    if (advised == AdviceCache::Verdict::Forbidden) {
        return FitObstacle::Forbidden;
    }
    if (isFull(worker)) {
        return FitObstacle::Spread;
    }
    if (!worker.hasRoomFor(m_needs)) {
        return FitObstacle::Room;
    }
    if (!hasRoom(worker)) {
        return FitObstacle::Held;
    }
    return advised == AdviceCache::Verdict::Allowed ? FitObstacle::None : FitObstacle::Ticket;
}

void StepFit::changeRuns(const FleetWorker &worker, int by)
{
    if (m_spec->maxPerWorker > 0) {
        runsPerWorker();
        (*m_runsPerWorker)[worker.report.id] += by;
    }
}

} // namespace marjoramhaven
