#include <algorithm>
#include <iterator>

#include "TaskPlacerSteps.h"

namespace marjoramhaven {

namespace {

// Gangs that wait for room hold at most one in this many of the workers that they may use; the others stay free for steps that fit. A single gang may hold
// more, so that one in a small fleet can hold any.
constexpr std::size_t HeldWorkersDivisor = 8;
constexpr std::size_t FirstGangDivisor = 4;
// A gang asks about further workers until it knows of this many allowed ones for each of its tasks, so that some of them become free soon.
constexpr std::size_t AllowedWorkersPerTask = 2;
// Held workers are partly idle, so a gang holds some only if it has found no room by itself within this time.
constexpr Millis HoldDelay {1500};
// A step waits this long for room that is held for gangs; callers expect a start within 3 s where there is room.
constexpr Millis HoldPatience {2000};
// Interval at which a waiting gang asks for advice and chooses the workers to hold; both look at all workers.
constexpr Millis HoldInterval {100};

// Returns the largest part of a resource of the worker that runs would have to free before a task with these needs fits; 0 if it fits now.
double missingShare(const FleetWorker &worker, const FleetResources &needs)
{
    const auto share = [](std::int64_t need, std::int64_t used, std::int64_t capacity) {
        return capacity <= 0 ? 0.0 : static_cast<double>(std::max<std::int64_t>(0, used + need - capacity)) / static_cast<double>(capacity);
    };
    const auto &capacity = worker.report.capacity;
    return std::max({share(needs.cpuMilli, worker.used.cpuMilli, capacity.cpuMilli),
                     share(needs.memoryMb, worker.used.memoryMb, capacity.memoryMb),
                     share(needs.gpus, worker.used.gpus, capacity.gpus)});
}

} // namespace

std::vector<FleetWorker *> TaskPlacer::workersForGang(const PendingStep &pending, const std::vector<FleetWorker *> &workers)
{
    std::vector<FleetWorker *> out;
    std::copy_if(workers.begin(), workers.end(), std::back_inserter(out), [&](const FleetWorker *it) {
        return !it->hold && pending.fit.mayHaveRoom(*it);
    });
    return out;
}

// Small tasks fill each gap before a gang finds all its gaps at the same time. So room for it is kept from steps that rank behind it, on the workers that need
// to free the least, until it starts. What these workers have beyond that room, and until the gang probably starts, is free for others.
void TaskPlacer::holdWorkersForGang(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now)
{
    const bool isWorthless = std::get<0>(pending.rank);
    auto &step = *pending.step;
    if (now >= step.nextHoldAt) {
        step.nextHoldAt = now + HoldInterval;
        if (FleetState::queueOf(*pending.job).needsAdvice) {
            requestGangAdvice(pending, workers, now);
        }
        step.holds.clear();
        if (!isWorthless && now - step.readySince >= HoldDelay) {
            step.holds = chooseWorkersForGang(pending, workers);
            step.expectedStart = expectedStart(pending, now);
        }
    }
    for (const auto &it : step.holds) {
        const auto worker = m_state.workers.find(it.worker);
        if (worker != m_state.workers.end() && !worker->second.hold) {
            worker->second.hold = WorkerHold {pending.fit.needs() * it.tasks, step.expectedStart};
            ++m_heldWorkerCount;
        }
    }
}

TimePoint TaskPlacer::expectedStart(const PendingStep &pending, TimePoint now) const
{
    auto out = now;
    for (const auto &it : pending.step->holds) {
        out = std::max(out, m_state.workers.at(it.worker).roomExpectedAt(pending.fit.needs() * it.tasks, now));
    }
    return out;
}

// Returns the workers to hold, or none if there are not enough for the whole gang.
std::vector<GangHold> TaskPlacer::chooseWorkersForGang(const PendingStep &pending, const std::vector<FleetWorker *> &workers) const
{
    auto candidates = workersForGang(pending, workers);
    const auto limit = candidates.size() / (m_heldWorkerCount == 0 ? FirstGangDivisor : HeldWorkersDivisor);
    if (m_heldWorkerCount >= limit) {
        return {};
    }
    std::erase_if(candidates, [&](const FleetWorker *it) {
        const auto verdict = pending.fit.verdict(*it);
        return verdict != AdviceCache::Verdict::Allowed && verdict != AdviceCache::Verdict::Expired;
    });
    std::vector<std::pair<double, FleetWorker *>> byMissing;
    for (auto *it : candidates) {
        byMissing.emplace_back(missingShare(*it, pending.fit.needs()), it);
    }
    // Workers stay in the order of their ids where they are equal, so that the choice does not change without need.
    std::stable_sort(byMissing.begin(), byMissing.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    std::vector<GangHold> out;
    auto tasksLeft = pending.waiting.size();
    for (const auto &[missing, worker] : byMissing) {
        if (tasksLeft == 0) {
            break;
        }
        const auto tasks = std::min(tasksLeft, std::max<std::size_t>(1, pending.fit.slots(*worker)));
        tasksLeft -= tasks;
        out.push_back({worker->report.id, static_cast<std::int64_t>(tasks)});
    }
    return tasksLeft == 0 && m_heldWorkerCount + out.size() <= limit ? out : std::vector<GangHold> {};
}

bool TaskPlacer::mayIgnoreHolds(const PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now)
{
    if (m_heldWorkerCount == 0 || now - pending.step->readySince < HoldPatience) {
        return false;
    }
    const bool mayRunElsewhere = std::any_of(workers.begin(), workers.end(), [&pending](const FleetWorker *it) {
        return !it->hold && pending.fit.mayHaveRoom(*it) && !pending.fit.isFull(*it) && pending.fit.verdict(*it) != AdviceCache::Verdict::Forbidden;
    });
    return !mayRunElsewhere || isHalfFree(FleetState::queueOf(*pending.job).service, workers);
}

bool TaskPlacer::isHalfFree(const std::string &service, const std::vector<FleetWorker *> &workers)
{
    const auto known = m_halfFreeServices.find(service);
    if (known != m_halfFreeServices.end()) {
        return known->second;
    }
    FleetResources capacity;
    FleetResources used;
    for (const auto *it : workers) {
        if (it->report.service == service) {
            capacity += it->report.capacity;
            used += it->used;
        }
    }
    return m_halfFreeServices[service] = (used * 2).fitIn(capacity);
}

// The advisor's verdict on a worker does not change, only its ticket expires. So a gang asks about each worker once: first until it knows enough of them,
// whether these have room or not, and later about others with room if that completes the gang. It asks for new tickets once all its tasks have room. Asking
// again and again without room would keep the advisor from steps that could start.
void TaskPlacer::requestGangAdvice(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now)
{
    const auto size = pending.waiting.size();
    std::vector<FleetWorker *> withRoom;
    std::vector<FleetWorker *> unknown;
    std::vector<FleetWorker *> unknownWithRoom;
    std::size_t allowed = 0;
    std::size_t slots = 0;
    std::size_t unknownSlots = 0;
    for (auto *it : workersForGang(pending, workers)) {
        const auto verdict = pending.fit.verdict(*it);
        const auto free = pending.fit.slots(*it);
        if (verdict == AdviceCache::Verdict::Unknown) {
            unknown.push_back(it);
            unknownSlots += free;
            if (free > 0) {
                unknownWithRoom.push_back(it);
            }
        } else if (verdict != AdviceCache::Verdict::Forbidden) {
            ++allowed;
            slots += free;
            if (free > 0) {
                withRoom.push_back(it);
            }
        }
    }
    if (slots >= size) {
        requestAdvice(pending, withRoom, size, now);
    } else if (allowed < size * AllowedWorkersPerTask) {
        requestAdvice(pending, unknown, size * AllowedWorkersPerTask - allowed, now);
    } else if (slots + unknownSlots >= size) {
        requestAdvice(pending, unknownWithRoom, size - slots, now);
    }
}

} // namespace marjoramhaven
