#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/ledger/LogAppender.h"
#include "marjoramhaven/ledger/LogFold.h"
#include "marjoramhaven/platform/VmList.h"
#include "marjoramhaven/zone/FollowerConfirmations.h"
#include "marjoramhaven/zone/JobProgress.h"
#include "marjoramhaven/zone/ShortRequestTable.h"
#include "marjoramhaven/zone/WorkerHealth.h"
#include "marjoramhaven/zone/WorkerLink.h"
#include "marjoramhaven/zone/ZoneScheduler.h"

namespace marjoramhaven {

/// Who leads which zone, and how it keeps its leases.
struct ZoneLeaderOptions {
    std::string self;
    std::string zone;
    WorkerLinkTimes times;
};

/// A zone leader's counts, for status pages and metrics.
struct ZoneCounts {
    int workers = 0;
    int openWorkers = 0;
    int running = 0;
    int waiting = 0;
    int shortActive = 0;
    std::size_t quarantined = 0;
    bool recovered = false;
};

/// All decisions of one zone while this process leads it: sessions, placements, ends, restarts.
///
/// One instance is one leadership. It starts nothing that may already run: until every worker either opened a
/// session or has surely let its leases lapse, nothing is started.
/// Not thread-safe; it lives on its node's decision thread.
class ZoneLeader : public WorkerLinkListener
{
public:
    /// Begins to lead. Open jobs of the zone are taken from the fold.
    ZoneLeader(ZoneLeaderOptions options, std::int64_t epoch, WorkerDirectory &workers, LogFold &fold, LogAppender &appender, TimePoint now);

    /// Called when a worker refuses this leadership.
    void setFencedHandler(std::function<void(TimePoint)> handler) { m_fencedHandler = std::move(handler); }
    /// Takes over the platform's list of the zone's VMs.
    void setFleet(const std::vector<Vm> &vms, TimePoint now);
    /// Another entry process of the zone followed this leadership at an instant, by confirmation of an echo sent then.
    void confirmFollower(const std::string &name, TimePoint at);
    /// Moves on; call at least every 50 ms.
    void tick(TimePoint now);
    /// Hears of a record after it was folded.
    void onRecord(const LogRecord &record, TimePoint now);
    /// Takes up the zone's open jobs after the log was read to its end.
    void onCaughtUp(TimePoint now);
    /// Puts the configuration now in force to use.
    void onConfiguration();

    /// Decides a short request; the callback may come later, but before the class's hold time is over.
    void decideShort(const JobSpec &spec, TimePoint now, ShortDecided decided);
    /// Answers all held requests that this process no longer leads.
    void abandonHeld();
    /// An entry process knows that this attempt did not start and never will.
    void onShortClosed(const std::string &key, const AttemptId &attempt, TimePoint now);
    /// True when the resources fit on some known worker, or no worker is known yet.
    bool couldEverFit(const Resources &resources) const;

    /// True when this process has reached no worker for a while, so that another may do better.
    bool isCutOff(TimePoint now) const;
    /// True when nothing can run in the zone that this leader does not know of.
    bool isRecovered() const { return m_recovered; }
    ZoneCounts counts(TimePoint now) const;
    const ZoneScheduler &scheduler() const { return m_scheduler; }
    /// A job's running tasks by index with their workers; empty when none runs.
    std::map<int, std::string> runningTasks(const std::string &jobId) const;
    std::int64_t epoch() const { return m_epoch; }

    void onSessionOpened(WorkerLink &link, const SessionOpened &inventory, TimePoint now) override;
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
    void reconcileReservations(WorkerLink &link, const SessionOpened &inventory, TimePoint now);
    void adoptRunningAttempt(WorkerLink &link, const AttemptReport &report, TimePoint now);
    void enqueueTasks(const JobProgress &job, std::deque<int> indices, TimePoint now);
    void updateRecovery(TimePoint now);
    void finishRecovery(TimePoint now);
    bool haveLeasesExpired(const WorkerLink &link, TimePoint now) const;
    void handleExpiredWorkers(TimePoint now);
    void updateUsableWorkers(TimePoint now);

    void startTask(const Placed &placed, TimePoint now);
    void claimThenStart(const Placed &placed, JobProgress &job, TimePoint now);
    void sendStart(const Placed &placed, const JobProgress &job, TimePoint now);
    void handleStarted(const Placed &placed, const std::optional<Started> &answer, TimePoint now);
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
    std::optional<ShortDecision> decisionForKnownRequest(const std::string &key) const;
    std::optional<ShortDecision> tryStartShortRequest(const JobSpec &spec, TimePoint now, NoPlace &cause);
    void checkOverdueShortRequests(TimePoint now);
    void acknowledgeDueAttempts(TimePoint now);
    ShortDecision startDecision(const JobSpec &spec, const Placed &placed, TimePoint now) const;
    JobProgress *findJob(const std::string &id);
    WorkerLink *findLink(const std::string &worker);
    TaskProgress *findTask(const AttemptId &attempt, JobProgress **job, int *index);

    ZoneLeaderOptions m_options;
    std::int64_t m_epoch;
    WorkerDirectory &m_workers;
    LogFold &m_fold;
    LogAppender &m_appender;
    TimePoint m_startedLeadingAt;
    TimePoint m_lastReachableAt;
    ZoneScheduler m_scheduler;
    WorkerHealth m_health;
    ShortRequestTable m_shortRequests;
    std::map<std::string, std::unique_ptr<WorkerLink>> m_links;
    std::map<std::string, JobProgress> m_jobs;
    /// Attempts whose start was not answered, with the worker that may have them.
    std::map<AttemptId, std::string> m_unansweredStarts;
    /// Tasks that are delayed or wait for their claim, by when they are due. Stale rows are passed over.
    std::multimap<TimePoint, std::string> m_dueTasks;
    TimePoint m_nextCloseAt {};
    TimePoint m_nextStopAt {};
    /// Ends of short requests that their workers shall remember for a while.
    std::vector<DeferredAck> m_deferredAcks;
    /// Ends told by workers before the record of their job was read, by task.
    std::map<std::string, UnrecordedEnd> m_earlyEnds;
    /// Attempts of unrepeatable requests whose outcome is on its way to the log, by request.
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
