#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetClients.h"
#include "marjoramhaven/fleet/FleetState.h"
#include "marjoramhaven/fleet/LeadershipConfirmation.h"
#include "marjoramhaven/fleet/PlannerLimits.h"
#include "marjoramhaven/fleet/PlannerTransport.h"
#include "marjoramhaven/fleet/TaskPlacer.h"
#include "marjoramhaven/telemetry/EventLog.h"

namespace marjoramhaven {

/// Changes of stored progress to append at once.
struct ProgressBatch {
    std::int64_t number = 0;
    /// Parts of the progress of jobs, to be stored in this order.
    std::vector<JobRecord> records;
    /// Keys of records to delete, after the others are stored.
    std::vector<std::string> dropped;

    bool isEmpty() const { return records.empty() && dropped.empty(); }
};

/// Decides where and when each task of the fleet runs.
///
/// Holds the state of all jobs, workers and runs, and does no I/O itself. A decision to start a run is stored before the start request is sent, and the end of
/// a run is stored before its worker may discard it, so that the planner of the next leader finds everything in the log and on the workers. Not thread-safe.
class FleetPlanner : private PlacementActions
{
public:
    FleetPlanner(PlannerTransport &port, EventLog &events, PlannerLimits limits, std::int64_t fencingToken, TimePoint now);
    ~FleetPlanner() override;

    // Stored state from before the takeover; called before startPlanning().

    /// Adds an accepted job.
    void restoreJob(FleetJobRequest request, std::int64_t nowUnixMs, TimePoint now);
    /// Applies a part of the stored progress of a job; part 0 comes first. The record is deleted with the next batch if the job is not known.
    void restoreProgress(const JobRecord &record, TimePoint now);
    /// Records that no earlier leader can be confirmed from now on: the claim of this planner's process and its fence of the stored progress are in the log.
    void earlierLeadersEnded(TimePoint now) { m_earlierLeadersEndedAt = now; }
    /// Starts planning, once all stored state is restored.
    void startPlanning(TimePoint now);

    // Updates from the log.

    /// Records that the log showed this planner's process to be the leader at `asOf`, which is when the confirming call was sent.
    void confirmLeadership(TimePoint asOf, TimePoint now);
    /// Lets requests carry a higher fencing token from now on where they need one. It has to be lower than the token of each later leader; a lower one than
    /// the newest so far changes nothing.
    void raiseFencingToken(std::int64_t token);
    /// Adds an accepted job; does nothing if it is known already.
    void jobAccepted(FleetJobRequest request, TimePoint now);
    /// Cancels a job. The cancellation may arrive before the job itself.
    void jobCancelled(const std::string &job, TimePoint now);
    /// Adds a worker or updates its description.
    void workerReported(const WorkerReport &report, TimePoint now);
    /// Records that the entry of a worker can't be read. The worker gets no new runs until a readable entry arrives; its current runs go on.
    void workerEntryUnreadable(const std::string &worker, TimePoint now);
    /// Records that the platform's list no longer contains a worker.
    void workerUnlisted(const std::string &worker, TimePoint now);
    /// Applies a new configuration to all jobs.
    void configurationChanged(const FleetConfiguration &configuration);

    // Updates from other processes, and answers to requests sent through the PlannerTransport.

    /// Adds a process that can send requests to the advisor.
    void addAdvisorProxy(const std::string &proxy);
    /// Removes a process that can no longer send requests to the advisor.
    void removeAdvisorProxy(const std::string &proxy);
    void handleStartResponse(const StartRunRequest &request, const WorkerResponse &response, TimePoint now);
    void handleStopResponse(const StopRunRequest &request, const WorkerResponse &response, TimePoint now);
    void handleThrottleResponse(const ThrottleRunRequest &request, const WorkerResponse &response, TimePoint now);
    void handlePollResponse(const PollWorkerRequest &request, const PollWorkerResponse &response, TimePoint now);
    void handleAdviceResponse(const AdviceRequest &request, const AdviceResponse &response, TimePoint now);

    /// Returns the changes to store next, or an empty batch if there are none. The previous batch must have been stored.
    ProgressBatch takeBatch(TimePoint now);
    /// Marks a batch as stored: sends the start requests that waited for it, and lets workers discard the ended runs in it. `refused` names the jobs with a
    /// record that the log did not take. Nothing starts for these until a later batch has stored their progress.
    void batchStored(std::int64_t number, TimePoint now, const std::set<std::string> &refused = {});
    /// Returns the ended jobs whose retention has expired, so that their requests may be deleted from the log. Returns each job once.
    std::vector<std::string> takeExpiredJobs(TimePoint now);
    /// Removes a job whose request was deleted from the log; its progress is deleted with the next batch.
    void removeDroppedJob(const std::string &job);

    /// Sends due polls and retries and enforces time limits; call about every 20 ms. The Unix time decides which repetitions of jobs are due.
    void tick(std::int64_t nowUnixMs, TimePoint now);
    /// Places waiting tasks on workers; call after events.
    void plan(TimePoint now);

    /// Returns the stored state of a job, or `std::nullopt` if there is no such job.
    std::optional<FleetJobState> jobState(const std::string &job) const;
    /// Returns the whole progress of a job as a successor has to find it in the log once all changes are stored, or `std::nullopt` if there is no such job.
    std::optional<JobRecord> progressOf(const std::string &job) const;
    /// Returns the number of accepted jobs of a queue none of whose tasks has started.
    std::int64_t pendingJobCount(const std::string &host, const std::string &prefix) const;
    /// Returns true if there are changes for takeBatch().
    bool hasUnstoredChanges() const { return !m_dirtyJobs.empty() || !m_droppedRecords.empty() || m_hasUnstoredEnds; }
    /// Returns the fencing token of this planner's claim of leadership, the lowest that its requests carry.
    std::int64_t fencingToken() const { return m_fencingToken; }
    /// Returns the time since the newest confirmation of leadership, or `std::nullopt` if there was none.
    std::optional<Millis> confirmationAge(TimePoint now) const { return m_leadership.age(now); }
    const std::map<std::string, FleetWorker> &workers() const { return m_state.workers; }
    std::size_t runCount() const { return m_state.runs.size(); }

private:
    struct Batch;
    // Start requests of one task that its workers may still carry out.
    struct PossibleStarts {
        std::int64_t count = 0;
        std::string newestWorker;
        TimePoint newestSince {};
    };

    // FleetPlannerProgress.cpp: what is stored
    // Notes that a job has changes to store: of its state, or also of a task.
    void markDirty(FleetJob &job);
    void markDirty(FleetJob &job, const FleetTaskId &task);
    // Lets no runs of a job start until the log takes its progress.
    void holdBack(FleetJob &job, TimePoint now);
    RunLocator runLocator() const;
    // FleetPlannerJobs.cpp: life cycle of jobs
    void updateQueue(FleetJob &job) const;
    void finishJob(FleetJob &job, FleetJobState state, const char *reason, TimePoint now);
    void completeJobIfDone(FleetJob &job, TimePoint now);
    // Tasks of ended jobs are released only between events, because functions further up the call stack may still refer to them.
    void scheduleRelease(const FleetJob &job);
    void releaseEndedJobs();
    void releaseIfIdle(FleetJob &job);
    // FleetPlannerRuns.cpp: life cycle of runs
    // Enters a state; the lists of polls that were sent before prove nothing about the run any more.
    void setState(FleetRun &run, RunState state, TimePoint now);
    FleetRun &createRun(FleetJob &job, FleetTask &task, FleetWorker &worker, std::int64_t attempt, TimePoint now) override;
    // FleetPlannerStarts.cpp: start requests
    void sendStart(FleetRun &run, TimePoint now);
    // Returns why a planned run must not start on its worker any more, or nullptr. The store may take seconds, in which the worker may change.
    const char *reasonNotToStart(const FleetRun &run, const FleetJob &job, TimePoint now) const;
    // Returns true if the start request of a run whose outcome is not known may be sent again to the same worker.
    bool mayRepeatStart(const FleetRun &run, TimePoint now) const;
    void requestStart(FleetRun &run, TimePoint now);
    void keepUnconfirmed(FleetRun &run, TimePoint now);
    // Lets the start request of a run be sent again for a while, after one that was not answered.
    void extendStartRepetition(FleetRun &run, TimePoint now);
    // FleetPlannerStops.cpp: stop requests
    // Returns why a run of this job and task has to be stopped whatever its worker and its progress are, or StopReason::None. Job and task are nullptr if there
    // is none any more.
    static StopReason owedStop(const FleetRun &run, FleetJob *job, const FleetTask *task);
    // Returns how many other runs of the task their workers have confirmed.
    std::int64_t otherRunsAtWork(const FleetRun &run) const;
    void requestStop(FleetRun &run, StopReason reason, TimePoint now) override;
    void sendAdviceRequest(const AdviceRequest &request) override { m_port.sendAdviceRequest(request); }
    void reportWaiting(const WaitingStepReport &report) override;
    void trySendStop(FleetRun &run, TimePoint now);
    void stopRunsOf(FleetJob &job, StopReason reason, TimePoint now);
    void stopGang(FleetJob &job, FleetStep &step, TimePoint now);
    // FleetPlannerRuns.cpp: ends of runs
    void removeRun(const RunKey &key);
    void endRun(const RunKey &key, RunEnd end, const std::string &checkpoint, const std::string &worker, TimePoint now);
    void discardUnstartedRun(const RunKey &key, const char *reason, Millis pause, TimePoint now);
    void markTaskDone(FleetJob &job, FleetTask &task, TimePoint now);
    void recordTaskFailure(FleetJob &job, FleetTask &task, std::int64_t attempt, const std::string &worker, TimePoint now);
    // FleetPlannerIncarnations.cpp: restarts of workers, and what late requests may do there
    void handleWorkerRestart(FleetWorker &worker, std::int64_t startedUnixMs, TimePoint now);
    // Parts of handleWorkerRestart(): starts that may yet be carried out, runs that may exist in the new incarnation, and what is owed and forgotten there.
    void rememberInheritedStarts(FleetWorker &worker, TimePoint now);
    std::vector<RunKey> keepUnlistedRuns(FleetWorker &worker, std::int64_t startedUnixMs, TimePoint now);
    static void oweStopsOfUnansweredStarts(FleetWorker &worker, TimePoint now);
    void forgetIncarnation(FleetWorker &worker, TimePoint now);
    void assumeLateLease(FleetWorker &worker, TimePoint now) const;
    // Removes the marks of a worker's runs once no lease of a late request can be left, so that a successor need not wait for it.
    void removeLateLeaseMarks(FleetWorker &worker, TimePoint now);
    // Notes that no start request of the run can be carried out late, once that is known.
    void settleStart(FleetRun &run, TimePoint now);
    // Returns true if a late request may have granted the incarnation on which the previous leader's runs are a longer lease than that leader did.
    bool mayHoldInheritedLateLease(const FleetWorker &worker) const;
    // Returns true if the worker's entry names another incarnation than the one on which the run was placed.
    static bool namesOtherIncarnation(const FleetWorker &worker, const FleetRun &run);
    // Returns true if the previous leader has proved that this incarnation refuses late requests, and waited until none of their leases was left.
    bool wasOpenForLong(const FleetWorker &worker, std::int64_t startedUnixMs) const;
    // Returns the runs whose start was confirmed and that no list has shown yet, so that the worker's next incarnation may run them under the longest lease.
    std::vector<RunKey> runsOfUnknownIncarnation(const FleetWorker &worker, TimePoint now) const;
    void rememberUnansweredStart(FleetWorker &worker, const RunKey &key, std::int64_t workerStartedUnixMs, TimePoint now);
    // Forgets the start requests that can't be carried out any more.
    void forgetOldUnansweredStarts(FleetWorker &worker, TimePoint now);
    // Notes whether another worker answers where this one did.
    void setReplaced(FleetWorker &worker, bool isReplaced);
    // Start requests without an answer are stored with their tasks, until they can't be carried out any more.
    void markGivenUpStartChanged(const RunKey &key);
    void restoreGivenUpStarts(const std::string &job, const TaskRecord &row, TimePoint now);
    GivenUpStartLocator givenUpStartLocator() const;
    void stopUnansweredStarts(FleetWorker &worker, TimePoint now);
    std::map<FleetTaskId, PossibleStarts> possibleStarts() const;
    // FleetPlannerLists.cpp: what workers list
    void reconcileRuns(FleetWorker &worker, const PollWorkerResponse &response, std::int64_t requestSequence, TimePoint now);
    void reconcileRunningRun(FleetWorker &worker, const RunningRunInfo &row, TimePoint now);
    void reconcileMissingRun(FleetWorker &worker, FleetRun &run, std::int64_t requestSequence, TimePoint now);
    // FleetPlannerWorkers.cpp: entries, polls and their answers
    void markRunsLost(FleetWorker &worker, const char *reason, const std::vector<RunKey> &except, TimePoint now);
    // Returns true if an entry names another address or service for the incarnation that the worker itself has confirmed.
    static bool contradicts(const WorkerReport &report, const FleetWorker &worker);
    // Returns true if the incarnation on which the runs of a worker are was at this address.
    bool isAddressKnown(const FleetWorker &worker, const WorkerAddress &address) const;
    void sendPollIfDue(FleetWorker &worker, TimePoint now);
    // Returns the fencing token of the requests that are sent to a worker now.
    std::int64_t tokenFor(const FleetWorker &worker) const { return std::max(worker.fencingToken, m_fencingToken); }
    // Returns true if a request with this token was refused because a later request of this planner had carried a higher one.
    bool isOwnFence(std::int64_t token, const FleetWorker &worker) const { return token < tokenFor(worker); }
    // FleetPlannerMonitoring.cpp: periodic checks of workers and runs
    void checkLeadership(TimePoint now);
    void checkWorker(FleetWorker &worker, TimePoint now);
    void stopRunsOnDrainingWorker(FleetWorker &worker, TimePoint now);
    void checkStuck(FleetRun &run, TimePoint now);
    void throttleBestEffortRuns(FleetWorker &worker, TimePoint now);
    void setRunSpeed(FleetRun &run, int percent, TimePoint now);
    int unavailableCount(const FleetStep &step) const;
    // FleetPlannerSpeed.cpp: workers that are slower than others
    void observeFinishedRun(const FleetRun &run, FleetStep &step, TimePoint now);
    void observeRunningRun(FleetRun &run, const FleetWorker &worker, const FleetStep &step, const StepSpec &spec, TimePoint now);
    void moveFromSlowWorker(FleetRun &run, const StepSpec &spec, double tookMs, double usualMs, TimePoint now);

    PlannerTransport &m_port;
    EventLog &m_events;
    const PlannerLimits m_limits;
    const std::int64_t m_fencingToken;
    /// The highest fencing token that requests may carry.
    std::int64_t m_newestToken;
    bool m_isOpen = false;
    TimePoint m_openedAt;
    /// No earlier leader was confirmed after this; when the planner opened if that is not known.
    std::optional<TimePoint> m_earlierLeadersEndedAt;
    LeadershipConfirmation m_leadership;
    FleetState m_state;
    TaskPlacer m_placer;
    /// Gathered when plan() begins, for the event log.
    std::map<FleetTaskId, PossibleStarts> m_possibleStarts;
    /// Whether leadership was confirmed when this was last checked.
    bool m_isConfirmed = false;
    std::set<std::string> m_jobsToRelease;
    std::set<std::string> m_dirtyJobs;
    std::set<std::string> m_earlyCancellations;
    std::vector<std::string> m_droppedRecords;
    /// Moves of runs from slow workers since the time below.
    int m_recentMoves = 0;
    TimePoint m_movesCountedSince {};
    /// Number of the planner's own events so far: polls sent, and changes of runs that answers caused. Unlike times, it is never equal for two events.
    std::int64_t m_sequence = 0;
    std::int64_t m_batchNumber = 0;
    std::unique_ptr<Batch> m_batch;
    bool m_hasUnstoredEnds = false;
};

} // namespace marjoramhaven
