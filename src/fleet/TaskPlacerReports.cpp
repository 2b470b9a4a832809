#include <map>
#include <vector>

#include "TaskPlacerSteps.h"

namespace marjoramhaven {

namespace {

// A step that waits for less is no concern of an operator.
constexpr Millis ReportDelay {3000};
constexpr Millis ReportIntervalOfStep {10'000};
// Bounds the volume while thousands of steps wait.
constexpr Millis ReportInterval {1000};
constexpr int MaxReports = 4;
constexpr std::size_t MaxNamedWorkers = 3;

} // namespace

void TaskPlacer::reportWaitingSteps(const std::vector<PendingStep> &pending, TimePoint now)
{
    if (now < m_nextReportAt) {
        return;
    }
    m_nextReportAt = now + ReportInterval;
    int reports = 0;
    for (const auto &it : pending) {
        const auto waited = now - it.step->readySince;
        if (it.waiting.empty() || waited < ReportDelay || now < it.step->nextReportAt) {
            continue;
        }
        it.step->nextReportAt = now + ReportIntervalOfStep;
        m_actions.reportWaiting({it.fit.name(), it.waiting.size(), waited, obstaclesOf(it, now)});
        if (++reports == MaxReports) {
            return;
        }
    }
}

std::string TaskPlacer::obstaclesOf(const PendingStep &pending, TimePoint now) const
{
    std::map<std::string, std::vector<std::string>> workers;
    for (const auto &[id, worker] : m_state.workers) {
        const auto obstacle = pending.fit.obstacle(worker);
        if (obstacle != FitObstacle::Unsuited) {
            workers[isUsable(worker, now) ? std::string(nameOf(obstacle)) : "closed"].push_back(id);
        }
    }
    std::string out;
    for (const auto &[obstacle, ids] : workers) {
        out += (out.empty() ? "" : ", ") + obstacle + " " + std::to_string(ids.size()) + ":";
        for (std::size_t i = 0; i < ids.size() && i < MaxNamedWorkers; ++i) {
            out += " " + ids[i];
        }
    }
    return out.empty() ? "no worker suits it" : out;
}

} // namespace marjoramhaven
