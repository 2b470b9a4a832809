#include <algorithm>
#include <cmath>

#include "TaskPlacerSteps.h"

namespace marjoramhaven {

namespace {

constexpr std::size_t MaxAdvisedWorkers = 48;
constexpr std::size_t MaxAdvisedWorkersWhenSlow = 32;
constexpr double SlowAdvicePerWorkerMs = 2;
constexpr double OverrequestFactor = 1.3;
constexpr std::size_t MinExtraWorkers = 4;
// Free resources change until a step begins for which advice was requested ahead of time, so such a request names more workers.
constexpr std::size_t PrefetchFactor = 2;

} // namespace

// Returns true if each step that the given one depends on is done, or is running and short enough that tickets issued now are still valid at its end.
bool TaskPlacer::isStartImminent(const FleetJob &job, const FleetOccurrence &occurrence, const StepSpec &spec)
{
    const auto validityMs = FleetState::queueOf(job).ticketValidityMs;
    return std::all_of(spec.after.begin(), spec.after.end(), [&](int number) {
        const auto &before = occurrence.steps[static_cast<std::size_t>(number)];
        const bool isRunning = std::all_of(before.tasks.begin(), before.tasks.end(), [](const FleetTask &it) {
            return it.isDone || !it.activeAttempts.empty();
        });
        return before.isDone() || (isRunning && job.spec(number).estimateMs < validityMs);
    });
}

// Requests advice for the next steps of jobs of the highest priority. Otherwise these jobs would lose the time of an advisor request between any two steps.
void TaskPlacer::prefetchAdvice(const std::vector<FleetWorker *> &workers, TimePoint now)
{
    for (const auto &id : m_state.activeJobs) {
        auto &job = *m_state.jobs.at(id);
        const auto &queue = FleetState::queueOf(job);
        if (job.isEnded() || !queue.needsAdvice || queue.priority != 0) {
            continue;
        }
        for (auto &[number, occurrence] : job.occurrences()) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                auto &step = occurrence.steps[i];
                const auto &spec = job.spec(static_cast<int>(i));
                if (step.isDone() || occurrence.isReady(spec) || step.isAdvicePrefetched || !isStartImminent(job, occurrence, spec)) {
                    continue;
                }
                PendingStep pending {&job, &step, &spec, {}, StepFit(m_state, job, number, static_cast<int>(i), step, now), {}};
                step.isAdvicePrefetched = requestAdvice(pending, workersWithRoom(pending, workers), step.tasks.size() * PrefetchFactor, now);
            }
        }
    }
}

// Requests advice about candidates without a cached answer or with an expired ticket, sized for `wanted` tasks. Returns false if no request was sent.
bool TaskPlacer::requestAdvice(PendingStep &pending, const std::vector<FleetWorker *> &candidates, std::size_t wanted, TimePoint now)
{
    const auto &name = pending.fit.name();
    const auto &queue = FleetState::queueOf(*pending.job);
    if (!m_state.advice.mayRequest(queue, now) || m_state.advice.isRequestBlocked(name, now)) {
        return false;
    }
    std::vector<FleetWorker *> expired;
    std::vector<FleetWorker *> unknown;
    for (auto *it : candidates) {
        if (pending.fit.isFull(*it)) {
            continue;
        }
        const auto verdict = pending.fit.verdict(*it);
        if (verdict == AdviceCache::Verdict::Expired) {
            expired.push_back(it);
        } else if (verdict == AdviceCache::Verdict::Unknown) {
            unknown.push_back(it);
        }
    }
    const auto hasMoreFreeCpu = [](const FleetWorker *a, const FleetWorker *b) {
        return a->report.capacity.cpuMilli - a->used.cpuMilli > b->report.capacity.cpuMilli - b->used.cpuMilli;
    };
    std::sort(expired.begin(), expired.end(), hasMoreFreeCpu);
    std::sort(unknown.begin(), unknown.end(), hasMoreFreeCpu);
    const auto maxWorkers = queue.advicePerWorkerMs > SlowAdvicePerWorkerMs ? MaxAdvisedWorkersWhenSlow : MaxAdvisedWorkers;
    const auto share = m_state.advice.allowedShare(queue.name);
    const auto need = static_cast<double>(wanted) * OverrequestFactor;
    const auto expiredCount = static_cast<double>(expired.size());
    const auto unknownCount = need > expiredCount ? static_cast<std::size_t>(std::ceil((need - expiredCount) / share)) + MinExtraWorkers : 0;
    std::vector<std::pair<std::string, std::int64_t>> chosen;
    for (std::size_t i = 0; i < expired.size() && chosen.size() < std::min(maxWorkers, static_cast<std::size_t>(std::ceil(need))); ++i) {
        chosen.emplace_back(expired[i]->report.id, expired[i]->startedUnixMs);
    }
    for (std::size_t i = 0; i < unknown.size() && i < unknownCount && chosen.size() < maxWorkers; ++i) {
        chosen.emplace_back(unknown[i]->report.id, unknown[i]->startedUnixMs);
    }
    const auto request = m_state.advice.createRequest(name, queue, chosen, now);
    if (!request) {
        return false;
    }
    m_actions.sendAdviceRequest(*request);
    return true;
}

} // namespace marjoramhaven
