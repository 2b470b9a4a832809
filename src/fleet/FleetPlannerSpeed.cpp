#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// Fewer finished runs of a step say too little about how long its tasks take.
constexpr std::size_t MinFinishedRuns = 2;
constexpr Millis ProgressObservationInterval {1000};
// A run that has taken this many times as long as the median run of its step is evidence before it ends.
constexpr double OverdueRatio = 2.5;
// Moves cost work, and in a slowdown of the whole fleet they would help nobody.
constexpr int MaxMovesPerSecond = 8;
constexpr double FullPercent = 100;

std::optional<double> median(std::vector<double> values)
{
    if (values.size() < MinFinishedRuns) {
        return std::nullopt;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// Returns the time that a run has taken on its worker's clock, or std::nullopt if parts of its task ran elsewhere or at a limited speed.
std::optional<double> ownDurationMs(const FleetRun &run, const FleetWorker &worker)
{
    constexpr int FullSpeed = 100;
    if (run.startedClockMs == 0 || !run.startedFromCheckpoint.empty() || run.speedPercent != FullSpeed || worker.lastListClockMs <= run.startedClockMs) {
        return std::nullopt;
    }
    return static_cast<double>(worker.lastListClockMs - run.startedClockMs);
}

} // namespace

void FleetPlanner::observeFinishedRun(const FleetRun &run, FleetStep &step, TimePoint now)
{
    const auto took = ownDurationMs(run, m_state.findOrCreateWorker(run.worker));
    if (!took) {
        return;
    }
    if (const auto usual = median(step.durationsMs); usual && *usual > 0) {
        m_state.speeds.observe(run.worker, *took / *usual, now);
    }
    step.durationsMs.push_back(*took);
}

void FleetPlanner::observeRunningRun(FleetRun &run, const FleetWorker &worker, const FleetStep &step, const StepSpec &spec, TimePoint now)
{
    if (spec.isGang || spec.isLongRunning || spec.isBestEffort || now < run.nextSpeedCheckAt) {
        return;
    }
    const auto took = ownDurationMs(run, worker);
    const auto usual = median(step.durationsMs);
    if (!took || !usual || *usual <= 0 || *took < *usual * OverdueRatio) {
        return;
    }
    run.nextSpeedCheckAt = now + ProgressObservationInterval;
    m_state.speeds.observe(run.worker, *took / *usual, now);
    moveFromSlowWorker(run, spec, *took, *usual, now);
}

// Stops a run whose rest takes longer here than on another worker. Its task starts elsewhere only once the stop is confirmed.
void FleetPlanner::moveFromSlowWorker(FleetRun &run, const StepSpec &spec, double tookMs, double usualMs, TimePoint now)
{
    const bool isMovable = spec.checkpoints && run.state == RunState::Running && run.stopReason == StopReason::None;
    if (!isMovable || run.percent <= 0 || !m_state.speeds.isSlow(run.worker, now)) {
        return;
    }
    const auto done = run.percent / FullPercent;
    const auto restHereMs = tookMs / done * (1 - done);
    const auto restElsewhereMs = usualMs * (1 - done) + static_cast<double>(m_limits.stopTime.count());
    if (restHereMs < restElsewhereMs * 2) {
        return;
    }
    if (now - m_movesCountedSince >= Millis(1000)) {
        m_movesCountedSince = now;
        m_recentMoves = 0;
    }
    if (m_recentMoves >= MaxMovesPerSecond) {
        return;
    }
    ++m_recentMoves;
    m_events.write("run_moved",
                   {{"task", run.key.task.toString()},
                    {"worker", run.worker},
                    {"slowness", m_state.speeds.slowness(run.worker, now)},
                    {"took_ms", tookMs},
                    {"usual_ms", usualMs},
                    {"rest_here_ms", restHereMs},
                    {"rest_elsewhere_ms", restElsewhereMs}});
    requestStop(run, StopReason::SlowWorker, now);
}

} // namespace marjoramhaven
