#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/AdviceCache.h"
#include "marjoramhaven/fleet/FleetCalls.h"
#include "marjoramhaven/fleet/FleetJobState.h"
#include "marjoramhaven/fleet/FleetWorker.h"
#include "marjoramhaven/telemetry/EventLog.h"

namespace marjoramhaven {

/// Why a run is stopped.
enum class StopReason {
    None,
    Cancelled,
    /// Another run of the task has done its work, or the job has ended.
    NotNeeded,
    /// Its worker is leaving.
    WorkerDraining,
    /// Another member of its gang ended.
    GangBroken,
    /// Its start was never answered; the stop makes sure that it can't begin later.
    Unanswered,
    /// It made no progress.
    Stuck,
    /// More urgent work needs its place.
    Preempted,
    /// The planner does not know it.
    Orphaned,
};

template<>
struct EnumTable<StopReason> {
    static constexpr EnumName<StopReason> Rows[] = {
        {StopReason::None, "none"},
        {StopReason::Cancelled, "cancelled"},
        {StopReason::NotNeeded, "not-needed"},
        {StopReason::WorkerDraining, "leaving"},
        {StopReason::GangBroken, "gang-broken"},
        {StopReason::Unanswered, "unanswered"},
        {StopReason::Stuck, "stuck"},
        {StopReason::Preempted, "preempted"},
        {StopReason::Orphaned, "foreign"},
    };
};

/// Where a run stands between the decision to start it and its end.
enum class RunState {
    /// Decided; the decision is not stored yet and nothing was sent.
    Planned,
    /// The start is on its way.
    Starting,
    /// The start was not answered: it may run, or begin later.
    Unconfirmed,
    /// The worker has confirmed it.
    Running,
    /// Taken over from another planner, and not yet found on its worker.
    Inherited,
};

/// One run of a task on a worker.
struct FleetRun {
    RunKey key;
    std::string worker;
    std::int64_t workerStartedUnixMs = 0;
    RunState state = RunState::Planned;
    /// When the state was entered.
    TimePoint stateSince {};
    std::string ticket;
    std::string checkpoint;
    int percent = 0;
    TimePoint percentChangedAt {};
    double usage = 0;
    /// Share of its speed that was ordered, in percent.
    int speedPercent = 100;
    TimePoint speedChangedAt {};
    bool isThrottleInFlight = false;
    StopReason stopReason = StopReason::None;
    bool isStopInFlight = false;
    bool isStopAnswered = false;
    TimePoint stopAnsweredAt {};
    TimePoint nextStopAt {};
};

/// Sends what the planner decides. Each call is answered later through the planner's functions of the same name.
class FleetPort
{
public:
    virtual ~FleetPort() = default;

    virtual void sendStart(const StartOrder &order, Millis timeout) = 0;
    virtual void sendStop(const StopOrder &order, Millis timeout) = 0;
    virtual void sendPace(const PaceOrder &order, Millis timeout) = 0;
    virtual void sendHold(const HoldOrder &order, Millis timeout) = 0;
    virtual void askAdvice(const AdviceOrder &order) = 0;
    /// A worker follows a planner with a higher fencing token.
    virtual void fenced(const std::string &worker) = 0;
};

/// Times and bounds of the planner.
struct PlannerLimits {
    /// Length of the leases granted; long enough to outlive a planner's replacement.
    Millis lease {5000};
    /// Longest lease that a worker grants, whatever is asked.
    Millis longestLease {10000};
    /// Longest that a worker waits before it answers a hold.
    Millis pollWait {1000};
    Millis stopTime {400};
    Millis statusRetention {120000};
    Millis early {250};
    /// A lasting task's response times may stay above their target for this long.
    Millis impact {4000};
};

/// Records to store in one append, with what may happen once they are stored.
struct ProgressBatch {
    std::int64_t number = 0;
    std::vector<JobRecord> records;
    /// Jobs whose records are dropped.
    std::vector<std::string> dropped;

    bool isEmpty() const { return records.empty() && dropped.empty(); }
};

/// Decides where and when every task of the fleet runs.
///
/// Knows jobs, workers and runs; does no I/O itself. A decision to start is stored before the start is sent, and an end is stored before its worker may
/// forget it, so that a successor finds everything in the log and on the workers. Belongs to one thread.
class FleetPlanner
{
public:
    FleetPlanner(FleetPort &port, EventLog &events, PlannerLimits limits, std::int64_t fence, TimePoint now);
    ~FleetPlanner();

    // What was stored before this planner took over; before open().
    void restoreJob(FleetJobRequest request, std::int64_t nowUnixMs, TimePoint now);
    void restoreRecord(const JobRecord &record, TimePoint now);
    /// Begins to plan.
    void open(TimePoint now);

    // What the log tells.
    void jobAccepted(FleetJobRequest request, TimePoint now);
    void jobCancelled(const std::string &job, TimePoint now);
    void workerReported(const WorkerReport &report, TimePoint now);
    void workerUnlisted(const std::string &worker, TimePoint now);
    void configurationChanged(const FleetConfiguration &configuration);

    // What processes and workers answer.
    void helperJoined(const std::string &helper);
    void helperLeft(const std::string &helper);
    void startAnswered(const StartOrder &order, const OrderAnswer &answer, TimePoint now);
    void stopAnswered(const StopOrder &order, const OrderAnswer &answer, TimePoint now);
    void paceAnswered(const PaceOrder &order, const OrderAnswer &answer, TimePoint now);
    void holdAnswered(const HoldOrder &order, const HoldAnswer &answer, TimePoint sentAt, TimePoint now);
    void adviceAnswered(const AdviceOrder &order, const AdviceAnswer &answer, TimePoint now);

    /// The records to store next; empty when nothing is new. The batch before it must have been stored.
    ProgressBatch takeBatch(TimePoint now);
    void batchStored(std::int64_t number, TimePoint now);
    /// Jobs whose acceptance may be dropped from the log; to be called once for each.
    std::vector<std::string> takeExpiredJobs(TimePoint now);
    /// The acceptance was dropped; the progress may be dropped too.
    void jobDropped(const std::string &job);

    /// Holds, retries and time limits; call about every 20 ms. The Unix time decides which repetitions are due.
    void tick(std::int64_t nowUnixMs, TimePoint now);
    /// Places what waits; call after events.
    void plan(TimePoint now);

    /// What may be told of a job; nothing when there is no such job.
    std::optional<FleetJobState> jobState(const std::string &job) const;
    /// Accepted jobs of a queue none of whose tasks has started.
    std::int64_t pendingOf(const std::string &host, const std::string &prefix) const;
    /// True while something waits for takeBatch().
    bool hasNews() const { return !m_dirtyJobs.empty() || !m_droppedRecords.empty() || m_hasUnstoredEnds; }
    std::int64_t fence() const { return m_fencingToken; }
    const std::map<std::string, FleetWorker> &workers() const { return m_workers; }
    std::size_t runCount() const { return m_runs.size(); }

private:
    /// Orders steps that wait: worthless ones last, then urgency, late ones behind, and the earliest to be due first.
    using PendingStepRank = std::tuple<bool, int, int, TimePoint, const FleetJob *>;
    struct PendingStep;
    struct Batch;

    // FleetPlanner.cpp: jobs
    FleetJob *findJob(const std::string &job);
    void markDirty(FleetJob &job);
    void finishJob(FleetJob &job, FleetJobState state, const char *reason, TimePoint now);
    void completeJobIfDone(FleetJob &job, TimePoint now);
    void createDueOccurrences(FleetJob &job, std::int64_t nowUnixMs);
    // Tasks of ended jobs are let go of only between events, since callers further up may still hold them.
    void scheduleRelease(const FleetJob &job);
    void releaseEndedJobs();
    void releaseIfIdle(FleetJob &job);
    // FleetPlannerRuns.cpp: the life of a run
    FleetRun *findRun(const RunKey &key);
    FleetRun &createRun(FleetJob &job, FleetTask &task, FleetWorker &worker, std::int64_t attempt, TimePoint now);
    void sendStart(FleetRun &run, TimePoint now);
    void requestStop(FleetRun &run, StopReason reason, TimePoint now);
    void trySendStop(FleetRun &run, TimePoint now);
    void removeRun(const RunKey &key);
    void endRun(const RunKey &key, RunEnd end, const std::string &checkpoint, const std::string &worker, TimePoint now);
    void discardUnstartedRun(const RunKey &key, const char *reason, Millis pause, TimePoint now);
    void markTaskDone(FleetJob &job, FleetTask &task, TimePoint now);
    void recordTaskFailure(FleetJob &job, FleetTask &task, std::int64_t attempt, const std::string &worker, TimePoint now);
    void stopRunsOf(FleetJob &job, StopReason reason, TimePoint now);
    void stopGang(FleetJob &job, FleetStep &step, TimePoint now);
    // FleetPlannerWorkers.cpp: workers
    FleetWorker &findOrCreateWorker(const std::string &worker);
    void handleWorkerRestart(FleetWorker &worker, std::int64_t bornMs, TimePoint now);
    void markRunsLost(FleetWorker &worker, const char *reason, const std::vector<RunKey> &except, TimePoint now);
    void stopUnansweredStarts(FleetWorker &worker);
    void reconcileRuns(FleetWorker &worker, const HoldAnswer &answer, TimePoint sentAt, TimePoint now);
    void reconcileRunningRun(FleetWorker &worker, const RunningRow &row, TimePoint now);
    void reconcileMissingRun(FleetWorker &worker, FleetRun &run, TimePoint sentAt, TimePoint now);
    void sendPollIfDue(FleetWorker &worker, TimePoint now);
    // FleetPlannerCare.cpp: what is looked after all the time
    void checkWorker(FleetWorker &worker, TimePoint now);
    void stopRunsOnDrainingWorker(FleetWorker &worker, TimePoint now);
    void checkStuck(FleetRun &run, TimePoint now);
    void throttleBestEffortRuns(FleetWorker &worker, TimePoint now);
    void setRunSpeed(FleetRun &run, int percent, TimePoint now);
    int unavailableCount(const FleetStep &step) const;
    // FleetPlannerPlacement.cpp: who goes where
    std::vector<PendingStep> pendingSteps(TimePoint now);
    bool needsSpeculativeRun(const FleetTask &task) const;
    static PendingStepRank rankOf(const PendingStep &pending, TimePoint now);
    static bool isUsable(const FleetWorker &worker, TimePoint now);
    static bool isEligible(const FleetWorker &worker, const PendingStep &pending);
    void placeStep(PendingStep &pending, const std::vector<FleetWorker *> &workers, TimePoint now);
    void placeTasks(PendingStep &pending, std::vector<FleetWorker *> &candidates, TimePoint now);
    void placeGang(PendingStep &pending, std::vector<FleetWorker *> &candidates, TimePoint now);
    FleetWorker *
    chooseWorker(const PendingStep &pending, const FleetTask &task, const std::vector<FleetWorker *> &candidates, std::map<std::string, int> &perWorker);
    std::vector<FleetWorker *> restrictToOneRack(const PendingStep &pending, const std::vector<FleetWorker *> &candidates) const;
    // FleetPlannerPreemption.cpp: room for what is more urgent
    static bool mayPreempt(const PendingStep &pending, TimePoint now);
    static bool canPreemptFor(const FleetWorker &worker, const PendingStep &pending, std::vector<RunKey> *victims);
    void preemptFor(PendingStep &pending, const std::vector<FleetWorker *> &candidates, TimePoint now);
    std::map<std::string, int> runsPerWorker(const FleetStep &step) const;
    // FleetPlannerAdvice.cpp: which workers may run a step, asked when it is open or shortly before
    bool requestAdvice(PendingStep &pending, const std::vector<FleetWorker *> &candidates, std::size_t wanted, TimePoint now);
    void prefetchAdvice(const std::vector<FleetWorker *> &workers, TimePoint now);
    static bool isStartImminent(const FleetJob &job, const FleetOccurrence &occurrence, const StepSpec &spec);
    static TaskNeeds reservedResources(const StepSpec &spec);
    static RunAllocation allocationFor(const FleetJob &job, const StepSpec &spec, TimePoint now);
    void updateQueue(FleetJob &job) const;
    static const QueuePolicy &queueOf(const FleetJob &job);

    FleetPort &m_port;
    EventLog &m_events;
    const PlannerLimits m_limits;
    const std::int64_t m_fencingToken;
    bool m_isOpen = false;
    TimePoint m_openedAt;
    FleetConfiguration m_configuration;
    std::map<std::string, std::unique_ptr<FleetJob>> m_jobs;
    std::set<std::string> m_activeJobs;
    std::set<std::string> m_jobsToRelease;
    std::set<std::string> m_dirtyJobs;
    std::set<std::string> m_earlyCancellations;
    std::vector<std::string> m_droppedRecords;
    std::map<RunKey, FleetRun> m_runs;
    std::map<std::string, FleetWorker> m_workers;
    AdviceCache m_advice;
    std::int64_t m_batchNumber = 0;
    std::unique_ptr<Batch> m_batch;
    bool m_hasUnstoredEnds = false;
    /// Steps that may still make others give way in this plan.
    int m_preemptionsLeft = 0;
};

} // namespace marjoramhaven
