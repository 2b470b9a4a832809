#include "marjoramhaven/fleet/FleetState.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

constexpr Millis UnlistedGracePeriod {2500};

} // namespace

FleetJob *FleetState::findJob(const std::string &job)
{
    const auto it = jobs.find(job);
    return it == jobs.end() ? nullptr : it->second.get();
}

FleetRun *FleetState::findRun(const RunKey &key)
{
    const auto it = runs.find(key);
    return it == runs.end() ? nullptr : &it->second;
}

FleetWorker &FleetState::findOrCreateWorker(const std::string &id)
{
    auto &out = workers[id];
    if (out.report.id.empty()) {
        out.report.id = id;
    }
    return out;
}

const QueuePolicy &FleetState::queueOf(const FleetJob &job)
{
    return job.currentQueue == nullptr ? job.request().queue : *job.currentQueue;
}

bool FleetState::acceptsStarts(const FleetWorker &worker, TimePoint now) const
{
    return isOpenForStarts(worker, now) && worker.failedPolls == 0;
}

bool FleetState::isOpenForStarts(const FleetWorker &worker, TimePoint now) const
{
    const bool isListed = worker.isListed || (worker.unlistedSince != TimePoint {} && now - worker.unlistedSince < UnlistedGracePeriod);
    return isListed && !worker.isEntryUnreadable && worker.isInventoried && !worker.isEarlierPollInFlight && !worker.report.isDraining
        && worker.startedUnixMs == worker.report.startedUnixMs && !owesStops(worker);
}

bool FleetState::owesStops(const FleetWorker &worker) const
{
    return std::any_of(worker.unansweredStarts.begin(), worker.unansweredStarts.end(), [this](const UnansweredStart &it) {
        return it.mustStop && !runs.contains(it.key);
    });
}

bool FleetState::isEligible(const FleetWorker &worker, const FleetJob &job, const StepSpec &spec)
{
    const auto &label = spec.requiredLabel;
    return worker.report.service == queueOf(job).service && (label.empty() || worker.hasLabel(label));
}

std::map<std::string, int> FleetState::runsPerWorker(const FleetStep &step) const
{
    std::map<std::string, int> out;
    for (const auto &task : step.tasks) {
        for (const auto attempt : task.activeAttempts) {
            const auto it = runs.find({task.id, attempt});
            if (it != runs.end()) {
                ++out[it->second.worker];
            }
        }
    }
    return out;
}

FleetResources FleetState::reservedResources(const StepSpec &spec)
{
    auto out = spec.needs;
    if (spec.isBestEffort) {
        out.cpuMilli = 0;
    }
    return out;
}

RunAllocation FleetState::allocationFor(const FleetJob &job, const StepSpec &spec, TimePoint now)
{
    RunAllocation out;
    out.needs = reservedResources(spec);
    out.priority = queueOf(job).priority;
    out.isPreemptible = spec.checkpoints && !spec.isGang && !spec.isLongRunning;
    out.isLasting = spec.isLongRunning;
    out.placedAt = now;
    out.expectedEnd = now + Millis(spec.estimateMs);
    return out;
}

} // namespace marjoramhaven
