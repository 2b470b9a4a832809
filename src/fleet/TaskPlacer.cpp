#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

#include "TaskPlacerSteps.h"

namespace marjoramhaven {

namespace {

// A job that is late still has part of its value if it completes within this multiple of the time allowed.
constexpr int LateFactor = 3;
// Limits the work of one call of plan(); further steps may preempt in the next call.
constexpr int MaxPreemptingSteps = 4;

// Returns 0 for jobs that can still be on time, 1 for late jobs that still have part of their value, and 2 for jobs without any value left.
int latenessClass(const FleetJob &job, TimePoint now)
{
    if (now <= job.softDeadline()) {
        return 0;
    }
    const auto allowed = job.softDeadline() - job.acceptedAt();
    return now <= job.acceptedAt() + allowed * LateFactor ? 1 : 2;
}

} // namespace

TaskPlacer::TaskPlacer(FleetState &state, PlacementActions &actions)
    : m_state(state)
    , m_actions(actions)
{
}

// Returns true if the task's only run is on a worker that does not answer or is slow.
bool TaskPlacer::needsSpeculativeRun(const FleetTask &task) const
{
    if (task.isDone || task.activeAttempts.size() != 1) {
        return false;
    }
    const auto run = m_state.runs.find({task.id, task.activeAttempts.front()});
    const auto worker = run == m_state.runs.end() ? m_state.workers.end() : m_state.workers.find(run->second.worker);
    return worker != m_state.workers.end() && run->second.state == RunState::Running && (worker->second.failedPolls > 0 || worker->second.isSlow);
}

TaskPlacer::PendingStepRank TaskPlacer::rankOf(const PendingStep &pending, TimePoint now)
{
    const auto softDeadline = pending.job->softDeadline();
    // Long-running tasks come first: they are few, serve other users all the time and never end by themselves.
    if (pending.spec->isLongRunning) {
        return {false, -1, 0, softDeadline, pending.job};
    }
    const auto late = latenessClass(*pending.job, now);
    return {late == 2, FleetState::queueOf(*pending.job).priority, late, softDeadline, pending.job};
}

std::vector<TaskPlacer::PendingStep> TaskPlacer::pendingSteps(TimePoint now)
{
    std::vector<PendingStep> out;
    for (const auto &id : m_state.activeJobs) {
        auto &job = *m_state.jobs.at(id);
        if (job.isEnded() || job.heldBackUntil) {
            continue;
        }
        for (auto &[number, occurrence] : job.occurrences()) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                auto &step = occurrence.steps[i];
                const auto &spec = job.spec(static_cast<int>(i));
                if (step.isDone() || !occurrence.isReady(spec)) {
                    continue;
                }
                PendingStep pending {&job, &step, &spec, {}, StepFit(m_state, job, number, static_cast<int>(i), step, now), {}};
                for (auto &task : step.tasks) {
                    if ((task.isWaiting(now) && !givenUpStartsOf(task, spec).mustWait(spec.isLongRunning, now))
                        || (spec.allowsSpeculation && needsSpeculativeRun(task))) {
                        pending.waiting.push_back(&task);
                    }
                }
                // A gang starts only when no run of an earlier attempt is left.
                const bool mustWaitForGang = spec.isGang && pending.waiting.size() != step.tasks.size();
                if (pending.waiting.empty()) {
                    step.readySince = {};
                } else if (step.readySince == TimePoint {}) {
                    step.readySince = now;
                }
                if (!pending.waiting.empty() && !mustWaitForGang) {
                    out.push_back(std::move(pending));
                }
            }
        }
    }
    return out;
}

GivenUpStarts TaskPlacer::givenUpStartsOf(const FleetTask &task, const StepSpec &spec) const
{
    const auto it = spec.allowsSpeculation ? m_givenUpStarts.end() : m_givenUpStarts.find(task.id);
    return it == m_givenUpStarts.end() ? GivenUpStarts {} : it->second;
}

FleetWorker *TaskPlacer::workerToGoBackTo(const PendingStep &pending, const FleetTask &task, TimePoint now) const
{
    const auto &spec = *pending.spec;
    const auto starts = givenUpStartsOf(task, spec);
    const auto it = m_state.workers.find(starts.worker);
    if (it == m_state.workers.end() || task.failedOn.contains(it->first) || !starts.mayStartOn(it->first, spec.isLongRunning, now)) {
        return nullptr;
    }
    // That it did not answer the start is no reason to avoid it here, unlike for other tasks.
    auto &worker = it->second;
    const bool mayTakeIt = m_state.acceptsStarts(worker, now) && !worker.isSlow;
    return mayTakeIt && pending.fit.hasRoom(worker) && pending.fit.isAllowed(worker) ? &worker : nullptr;
}

void TaskPlacer::placeTasksThatGoBack(PendingStep &pending, TimePoint now)
{
    if (m_givenUpStarts.empty() || pending.spec->isGang) {
        return;
    }
    std::vector<FleetWorker *> awaited;
    std::erase_if(pending.waiting, [&](FleetTask *task) {
        if (auto *worker = workerToGoBackTo(pending, *task, now)) {
            pending.fit.addRun(*worker);
            m_actions.createRun(*pending.job, *task, *worker, task->lastAttempt + 1, now);
            return true;
        }
        const auto starts = givenUpStartsOf(*task, *pending.spec);
        const bool isBound = starts.isBound(pending.spec->isLongRunning, now);
        const auto it = isBound ? m_state.workers.find(starts.worker) : m_state.workers.end();
        if (it != m_state.workers.end() && m_state.acceptsStarts(it->second, now)) {
            awaited.push_back(&it->second);
        }
        return isBound;
    });
    if (!awaited.empty() && FleetState::queueOf(*pending.job).needsAdvice) {
        requestAdvice(pending, awaited, awaited.size(), now);
    }
}

void TaskPlacer::plan(TimePoint now)
{
    m_givenUpStarts = givenUpStarts(m_state);
    auto pending = pendingSteps(now);
    for (auto &it : pending) {
        it.rank = rankOf(it, now);
    }
    std::sort(pending.begin(), pending.end(), [](const PendingStep &a, const PendingStep &b) {
        return a.rank < b.rank;
    });
    m_preemptionsLeft = MaxPreemptingSteps;
    m_heldWorkerCount = 0;
    m_halfFreeServices.clear();
    std::vector<FleetWorker *> usable;
    for (auto &[id, worker] : m_state.workers) {
        worker.hold.reset();
        worker.isSlow = m_state.speeds.isSlow(id, now);
        if (isUsable(worker, now)) {
            usable.push_back(&worker);
        }
    }
    // Others must not take the room on the only worker on which a task may start.
    for (auto &it : pending) {
        placeTasksThatGoBack(it, now);
    }
    for (auto &it : pending) {
        placeStep(it, usable, now);
    }
    prefetchAdvice(usable, now);
    reportWaitingSteps(pending, now);
}

bool TaskPlacer::isUsable(const FleetWorker &worker, TimePoint now) const
{
    return m_state.acceptsStarts(worker, now) && worker.avoidUntil <= now;
}

std::vector<FleetWorker *> TaskPlacer::workersWithRoom(const PendingStep &pending, const std::vector<FleetWorker *> &workers)
{
    std::vector<FleetWorker *> out;
    std::copy_if(workers.begin(), workers.end(), std::back_inserter(out), [&](const FleetWorker *it) {
        return pending.fit.hasRoom(*it);
    });
    return out;
}

std::vector<FleetWorker *> TaskPlacer::takeReadyWorkers(const PendingStep &pending, std::vector<FleetWorker *> &withRoom)
{
    if (!FleetState::queueOf(*pending.job).needsAdvice) {
        return withRoom;
    }
    std::vector<FleetWorker *> out;
    std::erase_if(withRoom, [&](FleetWorker *it) {
        const auto verdict = pending.fit.verdict(*it);
        if (verdict == AdviceCache::Verdict::Allowed) {
            out.push_back(it);
        }
        return verdict == AdviceCache::Verdict::Forbidden;
    });
    return out;
}

void TaskPlacer::placeStep(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now)
{
    if (pending.waiting.empty()) {
        return;
    }
    auto withRoom = workersWithRoom(pending, workers);
    auto ready = takeReadyWorkers(pending, withRoom);
    if (withRoom.empty() && mayIgnoreHolds(pending, workers, now)) {
        pending.fit.ignoreHolds();
        withRoom = workersWithRoom(pending, workers);
        ready = takeReadyWorkers(pending, withRoom);
    }
    const bool isPreempting = m_preemptionsLeft > 0 && mayPreempt(pending, now);
    if (withRoom.empty() && !isPreempting && !pending.spec->isGang) {
        return;
    }
    if (pending.spec->isRackLocal) {
        ready = restrictToOneRack(pending, ready);
    }
    if (pending.spec->isGang) {
        placeGang(pending, ready, now);
    } else {
        placeTasks(pending, ready, now);
    }
    if (pending.waiting.empty()) {
        return;
    }
    if (pending.spec->isGang) {
        holdWorkersForGang(pending, workers, now);
        return;
    }
    if (isPreempting) {
        --m_preemptionsLeft;
        std::vector<FleetWorker *> usable;
        std::copy_if(workers.begin(), workers.end(), std::back_inserter(usable), [&](const FleetWorker *it) {
            return pending.fit.isSuited(*it);
        });
        preemptFor(pending, usable, now);
        std::erase_if(usable, [&](const FleetWorker *it) {
            return !pending.fit.hasRoom(*it) && !canPreemptFor(*it, pending, nullptr, now);
        });
        withRoom = std::move(usable);
    }
    if (FleetState::queueOf(*pending.job).needsAdvice && !withRoom.empty()) {
        requestAdvice(pending, withRoom, pending.waiting.size(), now);
    }
}

// Returns the candidates in the rack where the step has runs already, or else in the rack that fits all waiting tasks with the fewest free slots. Returns all
// candidates if there is no such rack.
std::vector<FleetWorker *> TaskPlacer::restrictToOneRack(const PendingStep &pending, const std::vector<FleetWorker *> &candidates) const
{
    std::string best;
    for (const auto &[worker, count] : m_state.runsPerWorker(*pending.step)) {
        const auto it = m_state.workers.find(worker);
        best = it == m_state.workers.end() ? best : it->second.report.rack;
    }
    if (best.empty()) {
        std::map<std::string, std::size_t> slots;
        for (const auto *it : candidates) {
            slots[it->report.rack] += pending.fit.slots(*it);
        }
        auto fewest = std::numeric_limits<std::size_t>::max();
        for (const auto &[rack, count] : slots) {
            if (!rack.empty() && count >= pending.waiting.size() && count < fewest) {
                best = rack;
                fewest = count;
            }
        }
    }
    std::vector<FleetWorker *> out;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(out), [&best](const FleetWorker *it) {
        return it->report.rack == best;
    });
    return best.empty() || out.empty() ? candidates : out;
}

std::set<std::string> TaskPlacer::workersWithGivenUpStarts(const FleetStep &step) const
{
    std::set<std::string> out;
    const auto &first = step.tasks.front().id;
    for (const auto &[id, worker] : m_state.workers) {
        for (const auto &it : worker.unansweredStarts) {
            const auto &task = it.key.task;
            const bool isOfStep = task.step == first.step && task.occurrence == first.occurrence && task.job == first.job;
            if (isOfStep && !m_state.runs.contains(it.key)) {
                out.insert(id);
            }
        }
    }
    return out;
}

FleetWorker *TaskPlacer::chooseWorker(const PendingStep &pending,
                                      const FleetTask &task,
                                      const std::vector<FleetWorker *> &candidates,
                                      const std::set<std::string> &doubtful,
                                      TimePoint now) const
{
    const auto &spec = *pending.spec;
    const auto &needs = pending.fit.needs();
    const auto starts = givenUpStartsOf(task, spec);
    FleetWorker *best = nullptr;
    std::tuple<bool, bool, bool, bool, std::int64_t> bestRank;
    for (auto *it : candidates) {
        if (!pending.fit.hasRoomIfSuited(*it) || !starts.mayStartOn(it->report.id, spec.isLongRunning, now)) {
            continue;
        }
        const bool hasFailed = !task.failedOn.empty() && task.failedOn.contains(it->report.id);
        const bool isFar = !spec.preferredRack.empty() && !it->hasLabel(spec.preferredRack);
        const auto left = it->report.capacity.cpuMilli - it->used.cpuMilli - needs.cpuMilli;
        // Best fit keeps large free blocks for large tasks; best-effort tasks go to the worker with the most free CPU.
        const std::tuple rank(hasFailed, doubtful.contains(it->report.id), it->isSlow, isFar, spec.isBestEffort ? -left : left);
        if (best == nullptr || rank < bestRank) {
            best = it;
            bestRank = rank;
        }
    }
    return best;
}

void TaskPlacer::placeTasks(PendingStep &pending, std::vector<FleetWorker *> &candidates, TimePoint now)
{
    if (candidates.empty()) {
        return;
    }
    const auto doubtful = workersWithGivenUpStarts(*pending.step);
    std::vector<FleetTask *> left;
    for (auto *task : pending.waiting) {
        auto *worker = chooseWorker(pending, *task, candidates, doubtful, now);
        if (worker == nullptr) {
            left.push_back(task);
            continue;
        }
        pending.fit.addRun(*worker);
        m_actions.createRun(*pending.job, *task, *worker, task->lastAttempt + 1, now);
    }
    pending.waiting = std::move(left);
}

void TaskPlacer::placeGang(PendingStep &pending, std::vector<FleetWorker *> &candidates, TimePoint now)
{
    const auto doubtful = workersWithGivenUpStarts(*pending.step);
    std::int64_t attempt = 0;
    for (const auto *task : pending.waiting) {
        attempt = std::max(attempt, task->lastAttempt + 1);
    }
    std::vector<std::pair<RunKey, FleetWorker *>> placed;
    for (auto *task : pending.waiting) {
        auto *worker = chooseWorker(pending, *task, candidates, doubtful, now);
        if (worker == nullptr) {
            break;
        }
        placed.emplace_back(RunKey {task->id, attempt}, worker);
        worker->allocate(placed.back().first, FleetState::allocationFor(*pending.job, *pending.spec, now));
        pending.fit.addRun(*worker);
    }
    for (const auto &[key, worker] : placed) {
        worker->release(key);
        pending.fit.removeRun(*worker);
    }
    if (placed.size() != pending.waiting.size()) {
        return;
    }
    for (std::size_t i = 0; i < placed.size(); ++i) {
        auto *worker = placed[i].second;
        m_actions.createRun(*pending.job, *pending.waiting[i], *worker, attempt, now);
    }
    pending.waiting.clear();
}

} // namespace marjoramhaven
