#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetClients.h"
#include "marjoramhaven/fleet/FleetState.h"
#include "marjoramhaven/fleet/GivenUpStarts.h"

namespace marjoramhaven {

/// A step whose tasks have waited for long, and what keeps each worker from running them.
struct WaitingStepReport {
    /// The step as the advisor knows it.
    std::string step;
    std::size_t waitingTasks = 0;
    Millis waited {0};
    /// For each obstacle the number of workers and the first of them.
    std::string workers;
};

/// Carries out what a TaskPlacer decides.
class PlacementActions
{
public:
    virtual ~PlacementActions() = default;

    /// Adds a run of a task on a worker, to be started once that is stored.
    virtual FleetRun &createRun(FleetJob &job, FleetTask &task, FleetWorker &worker, std::int64_t attempt, TimePoint now) = 0;
    virtual void requestStop(FleetRun &run, StopReason reason, TimePoint now) = 0;
    virtual void sendAdviceRequest(const AdviceRequest &request) = 0;
    /// Records why a step waits.
    virtual void reportWaiting(const WaitingStepReport &report) = 0;
};

/// Decides which waiting tasks start on which workers, which runs are preempted for them, and about which workers the advisor is asked.
class TaskPlacer
{
public:
    TaskPlacer(FleetState &state, PlacementActions &actions);

    /// Places the tasks that wait now.
    void plan(TimePoint now);

private:
    // Sort key of pending steps: jobs that are too late to have any value last; then by priority; then jobs that are on time first; then by deadline.
    using PendingStepRank = std::tuple<bool, int, int, TimePoint, const FleetJob *>;
    struct PendingStep;

    // TaskPlacer.cpp
    std::vector<PendingStep> pendingSteps(TimePoint now);
    bool needsSpeculativeRun(const FleetTask &task) const;
    // Returns the starts of a task that were given up when plan() began; none of a step that allows speculative runs.
    GivenUpStarts givenUpStartsOf(const FleetTask &task, const StepSpec &spec) const;
    // Returns the worker on which a start of the task was given up, if it takes the task now. If it restarts then and carries that start out, the task's new
    // run is gone with the earlier incarnation.
    FleetWorker *workerToGoBackTo(const PendingStep &pending, const FleetTask &task, TimePoint now) const;
    // Places the tasks that may start only where a start of theirs was given up, and leaves those that can't to wait.
    void placeTasksThatGoBack(PendingStep &pending, TimePoint now);
    static PendingStepRank rankOf(const PendingStep &pending, TimePoint now);
    bool isUsable(const FleetWorker &worker, TimePoint now) const;
    static std::vector<FleetWorker *> workersWithRoom(const PendingStep &pending, const std::vector<FleetWorker *> &workers);
    // Returns those of the workers with room that need no ticket or have a valid one, and removes those that the advisor has forbidden.
    static std::vector<FleetWorker *> takeReadyWorkers(const PendingStep &pending, std::vector<FleetWorker *> &withRoom);
    void placeStep(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now);
    void placeTasks(PendingStep &pending, std::vector<FleetWorker *> &candidates, TimePoint now);
    void placeGang(PendingStep &pending, std::vector<FleetWorker *> &candidates, TimePoint now);
    // Returns the best worker for a task; those in `doubtful` come last.
    FleetWorker *chooseWorker(const PendingStep &pending,
                              const FleetTask &task,
                              const std::vector<FleetWorker *> &candidates,
                              const std::set<std::string> &doubtful,
                              TimePoint now) const;
    std::vector<FleetWorker *> restrictToOneRack(const PendingStep &pending, const std::vector<FleetWorker *> &candidates) const;
    // Returns the workers that may still carry out a start request of the step that was given up, which only their next incarnation would.
    std::set<std::string> workersWithGivenUpStarts(const FleetStep &step) const;
    // TaskPlacerGangs.cpp: workers and advice for gangs that don't fit yet
    void holdWorkersForGang(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now);
    std::vector<GangHold> chooseWorkersForGang(const PendingStep &pending, const std::vector<FleetWorker *> &workers) const;
    // Returns when a gang probably has room on all workers that are held for it.
    TimePoint expectedStart(const PendingStep &pending, TimePoint now) const;
    // Returns true if a step that found no room has waited long enough to use room that is held for gangs: it may run nowhere else, or under half of its
    // service is in use.
    bool mayIgnoreHolds(const PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now);
    bool isHalfFree(const std::string &service, const std::vector<FleetWorker *> &workers);
    void requestGangAdvice(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now);
    // Returns the workers that may run the gang and that have room for one of its tasks now or once the runs on them that end by themselves have ended.
    static std::vector<FleetWorker *> workersForGang(const PendingStep &pending, const std::vector<FleetWorker *> &workers);
    // TaskPlacerReports.cpp: why steps wait
    void reportWaitingSteps(const std::vector<PendingStep> &pending, TimePoint now);
    std::string obstaclesOf(const PendingStep &pending, TimePoint now) const;
    // TaskPlacerPreemption.cpp: preemption for tasks of higher priority
    static bool mayPreempt(const PendingStep &pending, TimePoint now);
    static bool canPreemptFor(const FleetWorker &worker, const PendingStep &pending, std::vector<RunKey> *victims, TimePoint now);
    void preemptFor(PendingStep &pending, const std::vector<FleetWorker *> &candidates, TimePoint now);
    // TaskPlacerAdvice.cpp: requests to the advisor for steps that are ready or will be soon
    bool requestAdvice(PendingStep &pending, const std::vector<FleetWorker *> &candidates, std::size_t wanted, TimePoint now);
    void prefetchAdvice(const std::vector<FleetWorker *> &workers, TimePoint now);
    static bool isStartImminent(const FleetJob &job, const FleetOccurrence &occurrence, const StepSpec &spec);

    FleetState &m_state;
    PlacementActions &m_actions;
    /// Starts that were given up when plan() began.
    std::map<FleetTaskId, GivenUpStarts> m_givenUpStarts;
    /// Number of workers that this call of plan() holds for gangs.
    std::size_t m_heldWorkerCount = 0;
    /// Whether under half of a service's capacity is in use, for the services that this call of plan() has looked at.
    std::map<std::string, bool> m_halfFreeServices;
    /// Number of steps for which this call of plan() may still preempt runs.
    int m_preemptionsLeft = 0;
    TimePoint m_nextReportAt {};
};

} // namespace marjoramhaven
