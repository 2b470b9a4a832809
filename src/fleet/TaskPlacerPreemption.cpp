#include <algorithm>

#include "TaskPlacerSteps.h"

namespace marjoramhaven {

namespace {

// Resources become free all the time without preemption, so only steps that wait longer than this preempt other runs.
constexpr Millis PreemptionDelay {80};
constexpr Millis PreemptionInterval {60};
// A run whose worker has not stopped it within this time may stay; others are preempted then.
constexpr Millis LongestStop {2000};
// Maximum number of runs stopped for one step at a time.
constexpr std::size_t MaxVictims = 12;

} // namespace

bool TaskPlacer::mayPreempt(const PendingStep &pending, TimePoint now)
{
    const bool isUrgent = pending.spec->isLongRunning || FleetState::queueOf(*pending.job).priority == 0;
    return isUrgent && !pending.spec->isGang && now - pending.step->readySince >= PreemptionDelay && now >= pending.step->nextPreemptAt;
}

// Returns true if the worker has room for a task of the step after preempting runs of lower priority that resume from a checkpoint. Runs whose stop was
// requested a short time ago count as gone. Appends the runs to preempt to `victims` unless that is nullptr.
bool TaskPlacer::canPreemptFor(const FleetWorker &worker, const PendingStep &pending, std::vector<RunKey> *victims, TimePoint now)
{
    const auto &needs = pending.fit.needs();
    auto room = pending.fit.freeOn(worker);
    std::vector<std::pair<const RunKey *, const RunAllocation *>> candidates;
    const int priority = pending.spec->isLongRunning ? 0 : FleetState::queueOf(*pending.job).priority;
    for (const auto &[key, it] : worker.allocations) {
        if (it.isStopping && now - it.stoppingSince < LongestStop) {
            room += it.needs;
        } else if (!it.isStopping && it.isPreemptible && it.priority > priority) {
            candidates.emplace_back(&key, &it);
        }
    }
    // The runs that were placed last are preempted first.
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.second->placedAt > b.second->placedAt;
    });
    for (const auto &[key, allocation] : candidates) {
        if (needs.fitIn(room)) {
            break;
        }
        room += allocation->needs;
        if (victims != nullptr) {
            victims->push_back(*key);
        }
    }
    return needs.fitIn(room);
}

void TaskPlacer::preemptFor(PendingStep &pending, const std::vector<FleetWorker *> &candidates, TimePoint now)
{
    pending.step->nextPreemptAt = now + PreemptionInterval;
    std::vector<std::vector<RunKey>> victimSets;
    std::size_t freedSlots = 0;
    for (auto *it : candidates) {
        std::vector<RunKey> victims;
        if (!pending.fit.isAllowed(*it) || pending.fit.isFull(*it) || !canPreemptFor(*it, pending, &victims, now)) {
            continue;
        }
        if (victims.empty()) {
            ++freedSlots;
        } else {
            victimSets.push_back(std::move(victims));
        }
    }
    std::sort(victimSets.begin(), victimSets.end(), [](const auto &a, const auto &b) {
        return a.size() < b.size();
    });
    std::size_t stopped = 0;
    for (const auto &victims : victimSets) {
        if (freedSlots >= pending.waiting.size() || stopped + victims.size() > MaxVictims) {
            return;
        }
        for (const auto &key : victims) {
            auto *run = m_state.findRun(key);
            if (run != nullptr && run->state == RunState::Running) {
                m_actions.requestStop(*run, StopReason::Preempted, now);
            }
        }
        stopped += victims.size();
        ++freedSlots;
    }
}

} // namespace marjoramhaven
