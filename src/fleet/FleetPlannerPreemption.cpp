#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// Room comes free by itself all the time; only what waits longer than this makes others give way.
constexpr Millis WaitBeforePreempting {80};
constexpr Millis PreemptEvery {60};
// Most runs stopped for one step at a time.
constexpr std::size_t MostVictims = 12;

bool fits(const TaskNeeds &needs, const TaskNeeds &room)
{
    return needs.cpuMilli <= room.cpuMilli && needs.memoryMb <= room.memoryMb && needs.gpus <= room.gpus;
}

void add(TaskNeeds &to, const TaskNeeds &from)
{
    to.cpuMilli += from.cpuMilli;
    to.memoryMb += from.memoryMb;
    to.gpus += from.gpus;
}

} // namespace

TaskNeeds FleetPlanner::countedNeeds(const StepSpec &spec)
{
    auto out = spec.needs;
    if (spec.isFiller) {
        out.cpuMilli = 0;
    }
    return out;
}

Occupant FleetPlanner::occupantOf(const FleetJob &job, const StepSpec &spec, TimePoint now)
{
    return {countedNeeds(spec), queueOf(job).priority, spec.checkpoints && !spec.isGang && !spec.isLasting, false, now};
}

bool FleetPlanner::mayPreempt(const OpenStep &open, TimePoint now)
{
    const bool isUrgent = open.spec->isLasting || queueOf(*open.job).priority == 0;
    return isUrgent && !open.spec->isGang && now - open.step->readySince >= WaitBeforePreempting && now >= open.step->nextPreemptAt;
}

// True when the worker has room for a task of the step once runs of less urgent queues, which resume from where they were stopped, have given way.
// Runs that are being stopped already count as gone.
bool FleetPlanner::canBeFreed(const FleetWorker &worker, const OpenStep &open, std::vector<RunKey> *victims)
{
    const auto needs = countedNeeds(*open.spec);
    const auto &capacity = worker.report.capacity;
    TaskNeeds room {capacity.cpuMilli - worker.used.cpuMilli, capacity.memoryMb - worker.used.memoryMb, capacity.gpus - worker.used.gpus};
    std::vector<std::pair<const RunKey *, const Occupant *>> candidates;
    const int priority = open.spec->isLasting ? 0 : queueOf(*open.job).priority;
    for (const auto &[key, it] : worker.occupied) {
        if (it.isStopping) {
            add(room, it.needs);
        } else if (it.mayGiveWay && it.priority > priority) {
            candidates.emplace_back(&key, &it);
        }
    }
    // What was placed last gives way first.
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.second->since > b.second->since;
    });
    for (const auto &[key, occupant] : candidates) {
        if (fits(needs, room)) {
            break;
        }
        add(room, occupant->needs);
        if (victims != nullptr) {
            victims->push_back(*key);
        }
    }
    return fits(needs, room);
}

void FleetPlanner::makeRoom(OpenStep &open, const std::vector<FleetWorker *> &candidates, TimePoint now)
{
    open.step->nextPreemptAt = now + PreemptEvery;
    const auto &queue = queueOf(*open.job);
    const auto name = open.name();
    auto perWorker = runsPerWorker(*open.step);
    std::vector<std::vector<RunKey>> choices;
    std::size_t served = 0;
    for (auto *it : candidates) {
        const bool isAllowed = !queue.needsAdvice || m_advice.verdict(name, it->report.id, it->bornMs, now) == AdviceBook::Verdict::Allowed;
        const bool isFull = open.spec->maxPerWorker > 0 && perWorker[it->report.id] >= open.spec->maxPerWorker;
        std::vector<RunKey> victims;
        if (!isAllowed || isFull || !canBeFreed(*it, open, &victims)) {
            continue;
        }
        if (victims.empty()) {
            ++served;
        } else {
            choices.push_back(std::move(victims));
        }
    }
    std::sort(choices.begin(), choices.end(), [](const auto &a, const auto &b) {
        return a.size() < b.size();
    });
    std::size_t stopped = 0;
    for (const auto &victims : choices) {
        if (served >= open.waiting.size() || stopped + victims.size() > MostVictims) {
            return;
        }
        for (const auto &key : victims) {
            auto *run = findRun(key);
            if (run != nullptr && run->state == RunState::Running) {
                requestStop(*run, StopReason::Preempted, now);
            }
        }
        stopped += victims.size();
        ++served;
    }
}

} // namespace marjoramhaven
