#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// Late completion still earns a part of the worth within this multiple of the time allowed.
constexpr int LateFactor = 3;
constexpr Millis UseUnlistedFor {2500};
// Bounds the work of one plan; the next steps follow in the next plan.
constexpr int MostPreemptingSteps = 4;

// Jobs that can still be on time come before those that can only be late, and those before jobs that earn nothing more.
int lateness(const FleetJob &job, TimePoint now)
{
    if (now <= job.onTimeUntil()) {
        return 0;
    }
    const auto allowed = job.onTimeUntil() - job.acceptedAt();
    return now <= job.acceptedAt() + allowed * LateFactor ? 1 : 2;
}

} // namespace

// True when the task's only run stands on a worker that does not answer.
bool FleetPlanner::needsCopy(const FleetTask &task) const
{
    if (task.isDone || task.activeAttempts.size() != 1) {
        return false;
    }
    const auto run = m_runs.find({task.id, task.activeAttempts.front()});
    const auto worker = run == m_runs.end() ? m_workers.end() : m_workers.find(run->second.worker);
    return worker != m_workers.end() && worker->second.failedHolds > 0 && run->second.state == RunState::Running;
}

FleetPlanner::OpenStepRank FleetPlanner::rankOf(const OpenStep &open, TimePoint now)
{
    const auto onTimeUntil = open.job->onTimeUntil();
    // Lasting tasks are few, serve others all the time and never end by themselves.
    if (open.spec->isLasting) {
        return {false, -1, 0, onTimeUntil, open.job};
    }
    const auto late = lateness(*open.job, now);
    return {late == 2, queueOf(*open.job).priority, late, onTimeUntil, open.job};
}

std::vector<FleetPlanner::OpenStep> FleetPlanner::openSteps(TimePoint now)
{
    std::vector<OpenStep> out;
    for (const auto &id : m_activeJobs) {
        auto &job = *m_jobs.at(id);
        if (job.isEnded()) {
            continue;
        }
        for (auto &[number, occurrence] : job.occurrences()) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                auto &step = occurrence.steps[i];
                const auto &spec = job.spec(static_cast<int>(i));
                if (step.isDone() || !occurrence.isReady(spec)) {
                    continue;
                }
                OpenStep open {&job, number, static_cast<int>(i), &step, &spec, {}, {}};
                for (auto &task : step.tasks) {
                    if (task.isWaiting(now) || (spec.allowsCopies && needsCopy(task))) {
                        open.waiting.push_back(&task);
                    }
                }
                // A gang starts only when none of its members is left from before.
                const bool isHeldBack = spec.isGang && open.waiting.size() != step.tasks.size();
                if (open.waiting.empty()) {
                    step.readySince = {};
                } else if (step.readySince == TimePoint {}) {
                    step.readySince = now;
                }
                if (!open.waiting.empty() && !isHeldBack) {
                    out.push_back(std::move(open));
                }
            }
        }
    }
    return out;
}

void FleetPlanner::plan(TimePoint now)
{
    if (!m_isOpen) {
        return;
    }
    releaseEnded();
    auto open = openSteps(now);
    for (auto &it : open) {
        it.rank = rankOf(it, now);
    }
    std::sort(open.begin(), open.end(), [](const OpenStep &a, const OpenStep &b) {
        return a.rank < b.rank;
    });
    m_preemptionsLeft = MostPreemptingSteps;
    std::vector<FleetWorker *> usable;
    for (auto &[id, worker] : m_workers) {
        if (isUsable(worker, now)) {
            usable.push_back(&worker);
        }
    }
    for (auto &it : open) {
        placeStep(it, usable, now);
    }
    seekAdviceAhead(usable, now);
}

bool FleetPlanner::isUsable(const FleetWorker &worker, TimePoint now)
{
    const bool isListed = worker.isListed || (worker.unlistedSince != TimePoint {} && now - worker.unlistedSince < UseUnlistedFor);
    return isListed && worker.isInventoried && worker.failedHolds == 0 && !worker.report.isDraining && worker.avoidUntil <= now
        && worker.bornMs == worker.report.bornMs;
}

bool FleetPlanner::isFitting(const FleetWorker &worker, const OpenStep &open)
{
    const auto &label = open.spec->requiredLabel;
    return worker.report.service == queueOf(*open.job).service && (label.empty() || worker.hasLabel(label));
}

void FleetPlanner::placeStep(OpenStep &open, const std::vector<FleetWorker *> &workers, TimePoint now)
{
    const auto needs = countedNeeds(*open.spec);
    const auto &queue = queueOf(*open.job);
    std::vector<FleetWorker *> withRoom;
    std::copy_if(workers.begin(), workers.end(), std::back_inserter(withRoom), [&](const FleetWorker *it) {
        return it->hasRoomFor(needs) && isFitting(*it, open);
    });
    const bool isPreempting = m_preemptionsLeft > 0 && mayPreempt(open, now);
    if (withRoom.empty() && !isPreempting) {
        return;
    }
    const auto name = open.name();
    const auto isAllowed = [&](const FleetWorker *it) {
        return !queue.needsAdvice || m_advice.verdict(name, it->report.id, it->bornMs, now) == AdviceBook::Verdict::Allowed;
    };
    auto ready = withRoom;
    std::erase_if(ready, [&](const FleetWorker *it) {
        return !isAllowed(it);
    });
    if (open.spec->isRackLocal) {
        ready = inOneRack(open, ready);
    }
    if (open.spec->isGang) {
        placeGang(open, ready, now);
    } else {
        placeTasks(open, ready, now);
    }
    if (open.waiting.empty()) {
        return;
    }
    if (isPreempting) {
        --m_preemptionsLeft;
        std::vector<FleetWorker *> usable;
        std::copy_if(workers.begin(), workers.end(), std::back_inserter(usable), [&](const FleetWorker *it) {
            return isFitting(*it, open);
        });
        makeRoom(open, usable, now);
        std::erase_if(usable, [&](const FleetWorker *it) {
            return !it->hasRoomFor(needs) && !canBeFreed(*it, open, nullptr);
        });
        withRoom = std::move(usable);
    }
    if (queue.needsAdvice && !withRoom.empty()) {
        seekAdvice(open, withRoom, open.waiting.size(), now);
    }
}

// The candidates of the rack in which the step has runs already, else of the one that holds all waiting tasks most tightly; all candidates when no rack does.
std::vector<FleetWorker *> FleetPlanner::inOneRack(const OpenStep &open, const std::vector<FleetWorker *> &candidates) const
{
    std::string best;
    for (const auto &[worker, count] : runsPerWorker(*open.step)) {
        const auto it = m_workers.find(worker);
        best = it == m_workers.end() ? best : it->second.report.rack;
    }
    if (best.empty()) {
        const auto needs = countedNeeds(*open.spec);
        std::map<std::string, std::int64_t> places;
        for (const auto *it : candidates) {
            const auto fitting = it->placesFor(needs);
            places[it->report.rack] += open.spec->maxPerWorker > 0 ? std::min<std::int64_t>(fitting, open.spec->maxPerWorker) : fitting;
        }
        std::int64_t fewest = std::numeric_limits<std::int64_t>::max();
        for (const auto &[rack, count] : places) {
            if (!rack.empty() && count >= static_cast<std::int64_t>(open.waiting.size()) && count < fewest) {
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

std::map<std::string, int> FleetPlanner::runsPerWorker(const FleetStep &step) const
{
    std::map<std::string, int> out;
    for (const auto &task : step.tasks) {
        for (const auto attempt : task.activeAttempts) {
            const auto it = m_runs.find({task.id, attempt});
            if (it != m_runs.end()) {
                ++out[it->second.worker];
            }
        }
    }
    return out;
}

FleetWorker *
FleetPlanner::choose(const OpenStep &open, const FleetTask &task, const std::vector<FleetWorker *> &candidates, std::map<std::string, int> &perWorker)
{
    const auto &spec = *open.spec;
    const auto needs = countedNeeds(spec);
    FleetWorker *best = nullptr;
    std::tuple<bool, bool, std::int64_t> bestRank;
    for (auto *it : candidates) {
        if (!it->hasRoomFor(needs) || (spec.maxPerWorker > 0 && perWorker[it->report.id] >= spec.maxPerWorker)) {
            continue;
        }
        const bool hasFailed = !task.failedOn.empty() && task.failedOn.contains(it->report.id);
        const bool isFar = !spec.preferredRack.empty() && !it->hasLabel(spec.preferredRack);
        const auto left = it->report.capacity.cpuMilli - it->used.cpuMilli - needs.cpuMilli;
        // The tightest fit keeps large gaps for large tasks; fillers go where most is left over.
        const std::tuple rank(hasFailed, isFar, spec.isFiller ? -left : left);
        if (best == nullptr || rank < bestRank) {
            best = it;
            bestRank = rank;
        }
    }
    return best;
}

void FleetPlanner::placeTasks(OpenStep &open, std::vector<FleetWorker *> &candidates, TimePoint now)
{
    if (candidates.empty()) {
        return;
    }
    auto perWorker = runsPerWorker(*open.step);
    std::vector<FleetTask *> left;
    for (auto *task : open.waiting) {
        auto *worker = choose(open, *task, candidates, perWorker);
        if (worker == nullptr) {
            left.push_back(task);
            continue;
        }
        auto &run = createRun(*open.job, *task, *worker, task->lastAttempt + 1, now);
        run.ticket = m_advice.ticket(open.name(), worker->report.id);
        ++perWorker[worker->report.id];
    }
    open.waiting = std::move(left);
}

void FleetPlanner::placeGang(OpenStep &open, std::vector<FleetWorker *> &candidates, TimePoint now)
{
    auto perWorker = runsPerWorker(*open.step);
    std::int64_t attempt = 0;
    for (const auto *task : open.waiting) {
        attempt = std::max(attempt, task->lastAttempt + 1);
    }
    std::vector<std::pair<RunKey, FleetWorker *>> placed;
    for (auto *task : open.waiting) {
        auto *worker = choose(open, *task, candidates, perWorker);
        if (worker == nullptr) {
            break;
        }
        placed.emplace_back(RunKey {task->id, attempt}, worker);
        worker->occupy(placed.back().first, occupantOf(*open.job, *open.spec, now));
        ++perWorker[worker->report.id];
    }
    for (const auto &[key, worker] : placed) {
        worker->vacate(key);
    }
    if (placed.size() != open.waiting.size()) {
        return;
    }
    for (std::size_t i = 0; i < placed.size(); ++i) {
        auto *worker = placed[i].second;
        auto &run = createRun(*open.job, *open.waiting[i], *worker, attempt, now);
        run.ticket = m_advice.ticket(open.name(), worker->report.id);
    }
    open.waiting.clear();
}

} // namespace marjoramhaven
