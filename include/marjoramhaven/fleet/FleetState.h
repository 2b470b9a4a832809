#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/AdviceCache.h"
#include "marjoramhaven/fleet/FleetJobState.h"
#include "marjoramhaven/fleet/FleetRun.h"
#include "marjoramhaven/fleet/FleetWorker.h"
#include "marjoramhaven/fleet/WorkerSpeeds.h"

namespace marjoramhaven {

/// Jobs, runs and workers as the planner knows them, and what follows from these alone. The parts of the planner share one.
struct FleetState {
    FleetConfiguration configuration;
    std::map<std::string, std::unique_ptr<FleetJob>> jobs;
    /// Ids of the jobs whose tasks have not been released.
    std::set<std::string> activeJobs;
    std::map<RunKey, FleetRun> runs;
    std::map<std::string, FleetWorker> workers;
    AdviceCache advice;
    WorkerSpeeds speeds;

    /// Returns a job, or nullptr if there is no such job.
    FleetJob *findJob(const std::string &job);
    /// Returns a run, or nullptr if there is no such run.
    FleetRun *findRun(const RunKey &key);
    FleetWorker &findOrCreateWorker(const std::string &id);
    /// Returns the number of runs of a step on each worker that has any.
    std::map<std::string, int> runsPerWorker(const FleetStep &step) const;

    /// Returns true if a worker may get start requests now, unless it is avoided for a while.
    bool acceptsStarts(const FleetWorker &worker, TimePoint now) const;
    /// Returns true if it is known what runs on a worker, and the worker is to get more.
    bool isOpenForStarts(const FleetWorker &worker, TimePoint now) const;
    /// Returns true while a start request to an earlier incarnation may still be carried out by this one, which has not confirmed that it is stopped.
    bool owesStops(const FleetWorker &worker) const;
    /// Returns true if the service and the labels of a worker suit a step.
    static bool isEligible(const FleetWorker &worker, const FleetJob &job, const StepSpec &spec);

    /// Returns the policy in force for a job: that of its queue now, or that of its submission if the queue is gone.
    static const QueuePolicy &queueOf(const FleetJob &job);
    /// Returns the resources that one task of a step takes up on its worker.
    static FleetResources reservedResources(const StepSpec &spec);
    static RunAllocation allocationFor(const FleetJob &job, const StepSpec &spec, TimePoint now);
};

} // namespace marjoramhaven
