#include "marjoramhaven/fleet/GivenUpStarts.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

// A long-running task must be at work again soon, so it waits for less time than a start request may be under way.
constexpr Millis LongestWaitOfLongRunningTask {4500};

} // namespace

bool mayCarryOutEarlierStarts(const FleetWorker &worker)
{
    return !worker.isReplaced && (!worker.isInventoried || worker.failedPolls > 0);
}

void GivenUpStarts::add(const FleetState &state, const FleetWorker &on, const UnansweredStart &start)
{
    if (state.runs.contains(start.key) || on.isReplaced) {
        return;
    }
    workers.insert(on.report.id);
    isAnyOpen = isAnyOpen || mayCarryOutEarlierStarts(on);
    oldest = oldest == TimePoint {} ? start.firstSince : std::min(oldest, start.firstSince);
    const bool mayTakeItBack = on.isListed && !on.report.isDraining;
    if (mayTakeItBack && (worker.empty() || start.since > newest)) {
        newest = start.since;
        worker = on.report.id;
    }
}

bool GivenUpStarts::mustWait(bool isLongRunning, TimePoint now) const
{
    return isAnyOpen && isBound(isLongRunning, now);
}

bool GivenUpStarts::isBound(bool isLongRunning, TimePoint now) const
{
    return !workers.empty() && (!isLongRunning || now - oldest < LongestWaitOfLongRunningTask);
}

bool GivenUpStarts::mayStartOn(const std::string &id, bool isLongRunning, TimePoint now) const
{
    return !isBound(isLongRunning, now) || (!isAnyOpen && workers.size() == 1 && workers.contains(id));
}

std::map<FleetTaskId, GivenUpStarts> givenUpStarts(const FleetState &state)
{
    std::map<FleetTaskId, GivenUpStarts> out;
    for (const auto &[id, worker] : state.workers) {
        for (const auto &it : worker.unansweredStarts) {
            out[it.key.task].add(state, worker, it);
        }
    }
    return out;
}

GivenUpStarts givenUpStartsOf(const FleetState &state, const FleetTaskId &task)
{
    GivenUpStarts out;
    for (const auto &[id, worker] : state.workers) {
        for (const auto &it : worker.unansweredStarts) {
            if (it.key.task == task) {
                out.add(state, worker, it);
            }
        }
    }
    return out;
}

} // namespace marjoramhaven
