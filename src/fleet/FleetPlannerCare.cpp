#include <algorithm>

#include "FleetPlannerBatch.h"

namespace marjoramhaven {

namespace {

// Entries that lapsed while the store was away come back within this time of its return.
constexpr Millis ForgetUnlistedAfter {8000};
// A task whose progress stands still for this long is stopped; longer for tasks that take long.
constexpr Millis StuckAfter {2500};
constexpr double StuckShareOfEstimate = 0.35;
constexpr Millis PercentSteps {100};
constexpr Millis FailureMemory {10000};
// A worker that leaves keeps this much time to report the ends of what is stopped.
constexpr Millis LeaveMargin {800};
constexpr Millis PaceTimeout {600};
// Orders without an answer are carried out within this time, or never.
constexpr Millis LatestOrder {13000};
constexpr Millis PaceInterval {700};
constexpr double PaceDownAt = 0.9;
constexpr double PaceUpBelow = 0.6;
constexpr int PaceStep = 25;
constexpr int FullPace = 100;

} // namespace

void FleetPlanner::tick(std::int64_t nowUnixMs, TimePoint now)
{
    for (const auto &id : m_activeJobs) {
        auto &job = *m_jobs.at(id);
        if (!job.isEnded() && job.request().repeatCount > 0) {
            openOccurrences(job, nowUnixMs + m_limits.early.count() / 2);
        }
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        auto &worker = it->second;
        ++it;
        checkWorker(worker, now);
    }
    // Neither call removes a run that was sent, and only those are looked at.
    for (auto &[key, run] : m_runs) {
        if (run.stopReason != StopReason::None) {
            trySendStop(run, now);
        } else if (run.state == RunState::Running) {
            checkStuck(run, now);
        }
    }
}

void FleetPlanner::checkWorker(FleetWorker &worker, TimePoint now)
{
    const auto id = worker.report.id;
    std::erase_if(worker.recentFailures, [now](const auto &it) {
        return now - it.first > FailureMemory;
    });
    std::erase_if(worker.unansweredStarts, [now](const auto &it) {
        return now - it.first > LatestOrder;
    });
    sendHoldIfDue(worker, now);
    const bool isSilent = worker.failedHolds > 0 || worker.report.host.empty();
    if (isSilent && !worker.occupied.empty() && worker.lease.hasSurelyLapsed(now)) {
        loseRunsOf(worker, "its lease has lapsed", {}, now);
    }
    if (worker.report.isDraining) {
        evacuate(worker, now);
    }
    if (!worker.isListed && worker.occupied.empty() && now - worker.unlistedSince > ForgetUnlistedAfter && !worker.isHoldInFlight) {
        m_workers.erase(id);
    }
}

void FleetPlanner::checkStuck(FleetRun &run, TimePoint now)
{
    auto *job = findJob(run.key.task.job);
    if (job == nullptr || run.state != RunState::Running || run.pacedTo != FullPace) {
        return;
    }
    const auto &worker = workerNamed(run.worker);
    const auto &spec = job->spec(run.key.task.step);
    if (spec.isFiller || spec.isGang || worker.failedHolds > 0 || (spec.isLasting && run.percent >= FullPace)) {
        return;
    }
    const auto patience = std::max(StuckAfter, Millis(static_cast<std::int64_t>(static_cast<double>(spec.estimateMs) * StuckShareOfEstimate)));
    if (now - run.percentChangedAt > patience + PercentSteps) {
        auto &failing = workerNamed(run.worker);
        failing.recentFailures.emplace_back(now, job->id());
        failing.avoidUntil = std::max(failing.avoidUntil, now + StuckAfter);
        requestStop(run, StopReason::Stuck, now);
    }
}

int FleetPlanner::awayCount(const FleetStep &step) const
{
    int out = 0;
    for (const auto &task : step.tasks) {
        const bool isAtWork = std::any_of(task.activeAttempts.begin(), task.activeAttempts.end(), [&](std::int64_t attempt) {
            const auto it = m_runs.find({task.id, attempt});
            return it != m_runs.end() && it->second.state == RunState::Running && it->second.percent >= FullPace && it->second.stopReason == StopReason::None;
        });
        out += isAtWork ? 0 : 1;
    }
    return out;
}

void FleetPlanner::evacuate(FleetWorker &worker, TimePoint now)
{
    const auto left = Millis(worker.report.remainingMs) - (now - worker.drainingSince);
    std::vector<RunKey> keys;
    for (const auto &[key, needs] : worker.occupied) {
        keys.push_back(key);
    }
    for (const auto &key : keys) {
        auto *run = findRun(key);
        auto *job = findJob(key.task.job);
        if (run == nullptr || job == nullptr || run->state != RunState::Running || run->stopReason != StopReason::None) {
            continue;
        }
        const auto &spec = job->spec(key.task.step);
        if (spec.isLasting) {
            auto *step = job->findStep(key.task.occurrence, key.task.step);
            const bool mayMove = spec.maxUnavailable == 0 || step == nullptr || awayCount(*step) < spec.maxUnavailable || run->percent < FullPace;
            if (mayMove) {
                requestStop(*run, StopReason::Leaving, now);
            }
            continue;
        }
        if (spec.isGang) {
            continue;
        }
        const auto restMs = static_cast<double>(spec.estimateMs) * (FullPace - run->percent) / FullPace;
        const bool willEnd = Millis(static_cast<std::int64_t>(restMs)) + LeaveMargin < left;
        const bool isTime = spec.checkpoints ? left < m_limits.stopTime + LeaveMargin : !willEnd;
        if (!willEnd && isTime) {
            requestStop(*run, StopReason::Leaving, now);
        }
    }
}

void FleetPlanner::paceFillers(FleetWorker &worker, TimePoint now)
{
    double worst = 0;
    std::vector<FleetRun *> fillers;
    for (const auto &[key, needs] : worker.occupied) {
        auto *run = findRun(key);
        const auto *job = findJob(key.task.job);
        if (run == nullptr || job == nullptr || run->state != RunState::Running) {
            continue;
        }
        const auto &spec = job->spec(key.task.step);
        if (spec.isFiller && run->stopReason == StopReason::None) {
            fillers.push_back(run);
        } else if (spec.isLasting && spec.targetMs > 0) {
            worst = std::max(worst, run->usage / static_cast<double>(spec.targetMs));
        }
    }
    for (auto *run : fillers) {
        if (worst > PaceDownAt) {
            orderPace(*run, 0, now);
        } else if (worst < PaceUpBelow && now - run->pacedAt > PaceInterval) {
            orderPace(*run, std::min(FullPace, run->pacedTo + PaceStep), now);
        }
    }
}

void FleetPlanner::orderPace(FleetRun &run, int percent, TimePoint now)
{
    if (run.pacedTo == percent || run.isPaceInFlight) {
        return;
    }
    m_events.write("run_paced",
                   {{"task", run.key.task.toString()},
                    {"worker", run.worker},
                    {"from", static_cast<std::int64_t>(run.pacedTo)},
                    {"to", static_cast<std::int64_t>(percent)}});
    run.isPaceInFlight = true;
    run.pacedAt = now;
    m_port.sendPace({workerNamed(run.worker).target(), run.key.task, run.key.attempt, percent, m_fence}, PaceTimeout);
}

void FleetPlanner::paceAnswered(const PaceOrder &order, const OrderAnswer &answer, TimePoint now)
{
    auto *run = findRun({order.task, order.attempt});
    if (run == nullptr) {
        return;
    }
    run->isPaceInFlight = false;
    if (answer.outcome == OrderOutcome::Done) {
        run->pacedTo = order.percent;
        run->percentChangedAt = now;
    }
}

} // namespace marjoramhaven
