#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/ledger/LogAppender.h"
#include "marjoramhaven/ledger/ReplicatedState.h"
#include "marjoramhaven/platform/VmList.h"
#include "marjoramhaven/zone/FollowerConfirmations.h"
#include "marjoramhaven/zone/JobProgress.h"
#include "marjoramhaven/zone/ShortRequestTable.h"
#include "marjoramhaven/zone/WorkerHealth.h"
#include "marjoramhaven/zone/WorkerLink.h"
#include "marjoramhaven/zone/ZoneScheduler.h"

namespace marjoramhaven {

/// The process that leads, its zone, and the timing of its leases.
struct ZoneLeaderOptions {
    std::string self;
    std::string zone;
    WorkerLinkTimes times;
};

/// Figures of a zone leader for the status page and metrics.
struct ZoneCounts {
    int workers = 0;
    /// Workers with an open session.
    int workersWithSession = 0;
    int running = 0;
    int waiting = 0;
    int activeShortRequests = 0;
    std::size_t quarantined = 0;
    /// See ZoneLeader::isRecovered().
    bool recovered = false;
};

/// Makes all decisions for one zone while this process leads it: sessions with workers, placement, ends and restarts.
///
/// An instance covers one term of leadership. A new leader starts nothing until it has recovered, that is, until every
/// listed worker has either opened a session and reported its attempts, or can have no valid lease any more. Otherwise
/// it might start a task that already runs.
/// Not thread-safe: all calls and callbacks belong to the decision thread of the entry process.
class ZoneLeader : public WorkerLinkListener
{
public:
    /// Begins to lead. Loads the zone's open jobs from the replicated state at once when the log has been read to its end.
    ZoneLeader(ZoneLeaderOptions options, std::int64_t epoch, WorkerDirectory &workers, ReplicatedState &replicatedState, LogAppender &appender, TimePoint now);

    /// Sets the handler that is called once when a worker refuses a renewal because a newer session exists.
    void setFencedHandler(std::function<void(TimePoint)> handler) { m_fencedHandler = std::move(handler); }
    /// Updates the known workers and entry processes from the platform's list of VMs; VMs of other zones are skipped.
    void setVms(const std::vector<Vm> &vms, TimePoint now);
    /// Records that another entry process of the zone followed this leader at the given instant, as shown by its echo of a heartbeat sent then.
    void confirmFollower(const std::string &name, TimePoint at);
    /// Does all work that is due, including placement; to be called at least every 50 ms.
    void tick(TimePoint now);
    /// Handles a log record that has been applied to the replicated state.
    void onRecord(const LogRecord &record, TimePoint now);
    /// Loads the zone's open jobs after the log has been read to its end.
    void onLogCaughtUp(TimePoint now);
    /// Passes the configuration now in force to the scheduler.
    void onConfigurationChanged();

    /// Decides a short request. The callback is called at once, or later while the request is held for capacity or for the
    /// leader's recovery: at the first tick after the hold time or the request's deadline at the latest.
    void decideShortRequest(const JobSpec &spec, TimePoint now, ShortRequestCallback callback);
    /// Answers all held requests with NotLeader, because this process no longer leads.
    void rejectHeldRequests();
    /// Handles the report of an entry process that an attempt of a short request was not started and never will be.
    void onShortRequestClosed(const std::string &key, const AttemptId &attempt, TimePoint now);
    /// Returns true when the resources fit on some known worker if it were empty, or when no worker is known yet.
    bool couldEverFit(const Resources &resources) const;

    /// Returns true when workers are known but none has had an open session for 2 s. Another process may reach more of them.
    bool hasNoReachableWorker(TimePoint now) const;
    /// Returns true when no attempt can run in the zone that this leader does not know of.
    bool isRecovered() const { return m_recovered; }
    ZoneCounts counts(TimePoint now) const;
    const ZoneScheduler &scheduler() const { return m_scheduler; }
    /// Returns the workers of a job's running tasks by task index; empty when none runs.
    std::map<int, std::string> runningTasks(const std::string &jobId) const;
    std::int64_t epoch() const { return m_epoch; }

    void onSessionOpened(WorkerLink &link, const OpenSessionResponse &inventory, TimePoint now) override;
    void onAttemptEnded(WorkerLink &link, const AttemptReport &report, TimePoint now) override;
    void onFenced(WorkerLink &link, TimePoint now) override;
    void onUnresponsive(WorkerLink &link, TimePoint now) override;

private:
    struct UnrecordedEnd {
        std::string worker;
        AttemptReport report;
    };

    struct DeferredAck {
        TimePoint due {};
        std::string worker;
        AttemptId attempt;
    };

    void loadJob(const std::string &id, TimePoint now);
    void adoptRunningTasks(JobProgress &job);
    void reconcileReservations(WorkerLink &link, const OpenSessionResponse &inventory, TimePoint now);
    void adoptRunningAttempt(WorkerLink &link, const AttemptReport &report, TimePoint now);
    void enqueueTasks(const JobProgress &job, std::deque<int> indices, TimePoint now);
    void updateRecovery(TimePoint now);
    void finishRecovery(TimePoint now);
    bool haveLeasesExpired(const WorkerLink &link, TimePoint now) const;
    void handleExpiredWorkers(TimePoint now);
    void updateUsableWorkers(TimePoint now);

    void startTask(const TaskPlacement &placed, TimePoint now);
    void claimThenStart(const TaskPlacement &placed, JobProgress &job, TimePoint now);
    void sendStart(const TaskPlacement &placed, const JobProgress &job, TimePoint now);
    void handleStarted(const TaskPlacement &placed, const std::optional<StartResponse> &answer, TimePoint now);
    void closeUnansweredStarts(TimePoint now);
    void handleNotStarted(const std::string &worker, const AttemptId &attempt, TimePoint now);

    void handleJobTaskEnded(WorkerLink &link, const AttemptReport &report, const TaskLabel &label, TimePoint now);
    void handleShortRequestEnded(WorkerLink &link, const AttemptReport &report, const TaskLabel &label, TimePoint now);
    void handleAttemptLost(const std::string &worker, const AttemptId &attempt, TimePoint now);
    void retryOrRecordEnd(JobProgress &job, int index, TaskOutcome outcome, const std::string &result, TimePoint now);
    void scheduleRestart(JobProgress &job, int index, TimePoint now);
    void endCancelled(JobProgress &job, int index);
    void recordEnd(JobProgress &job, int index, TaskOutcome outcome, const std::string &result);
    void processDueTasks(TimePoint now);

    void cancelJob(const std::string &id, TimePoint now);
    void stopCancelledTasks(TimePoint now);
    void stopTask(const std::string &jobId, int index, TimePoint now);
    void handleClaimRecord(const ClaimMade &record, TimePoint now);
    void handleTaskEndRecord(const TaskEnded &record);
    void handleClaimSettledRecord(const ClaimSettled &record, TimePoint now);
    void applyEarlyEnds(JobProgress &job, TimePoint now);

    void decideHeld(TimePoint now);
    std::optional<ShortRequestDecision> decisionForKnownRequest(const std::string &key) const;
    std::optional<ShortRequestDecision> tryStartShortRequest(const JobSpec &spec, TimePoint now, PlacementFailure &cause);
    void checkOverdueShortRequests(TimePoint now);
    void acknowledgeDueAttempts(TimePoint now);
    ShortRequestDecision startDecision(const JobSpec &spec, const TaskPlacement &placed, TimePoint now) const;
    JobProgress *findJob(const std::string &id);
    WorkerLink *findLink(const std::string &worker);
    TaskProgress *findTask(const AttemptId &attempt, JobProgress **job, int *index);

    ZoneLeaderOptions m_options;
    std::int64_t m_epoch;
    WorkerDirectory &m_workers;
    ReplicatedState &m_replicatedState;
    LogAppender &m_appender;
    TimePoint m_startedLeadingAt;
    TimePoint m_lastWorkerReachableAt;
    ZoneScheduler m_scheduler;
    WorkerHealth m_health;
    ShortRequestTable m_shortRequests;
    std::map<std::string, std::unique_ptr<WorkerLink>> m_links;
    std::map<std::string, JobProgress> m_jobs;
    /// Attempts whose start was not answered, with the worker that may have received it.
    std::map<AttemptId, std::string> m_unansweredStarts;
    /// Ids of tasks that wait for a restart or for their claim, by due time. Entries that are out of date are skipped when due.
    std::multimap<TimePoint, std::string> m_dueTasks;
    TimePoint m_nextCloseAt {};
    TimePoint m_nextStopAt {};
    /// Acknowledgements for ended short requests, deferred because the workers must remember the attempts for a while.
    std::vector<DeferredAck> m_deferredAcks;
    /// Ends that workers reported before the record of their job was read, by task id.
    std::map<std::string, UnrecordedEnd> m_earlyEnds;
    /// Attempts of unrepeatable short requests whose outcome is being appended to the log, by request id.
    std::map<std::string, UnrecordedEnd> m_settlingRequests;
    FollowerConfirmations m_followers;
    bool m_areVmsKnown = false;
    bool m_areJobsLoaded = false;
    bool m_recovered = false;
    bool m_isFenced = false;
    std::int64_t m_claimCount = 0;
    std::function<void(TimePoint)> m_fencedHandler;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
