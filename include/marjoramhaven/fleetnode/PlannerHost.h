#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"
#include "marjoramhaven/fleet/StateLog.h"
#include "marjoramhaven/fleet/WorkerReader.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"
#include "marjoramhaven/telemetry/Metrics.h"

namespace marjoramhaven {

/// What the host of a planner uses of its process.
struct PlannerServices {
    StateLog &log;
    WorkerCalls &workers;
    EventLog &events;
    Metrics &metrics;
    WorkerReader decodeWorker;
    /// Sends a call for advice through a process; calls back exactly once.
    std::function<void(const AdviceOrder &, std::function<void(const AdviceAnswer &)>)> askAdvice;
    /// Another planner has taken over.
    std::function<void(const std::string &why)> superseded;
};

/// Keys under which the stream of jobs holds acceptances and cancellations.
std::string acceptanceKey(const std::string &job);
std::string cancellationKey(const std::string &job);

/// Runs the planner of the fleet while this process leads: loads what is stored, follows jobs and workers, stores progress and carries orders out.
class PlannerHost
    : public QObject
    , private FleetPort
{
    Q_OBJECT

public:
    PlannerHost(PlannerServices services, PlannerLimits limits, std::int64_t fence, const FleetConfiguration &configuration, QObject *parent = nullptr);
    ~PlannerHost() override;

    /// Begins; the planner works once everything stored was read.
    void start();
    /// Ends all work; answers that are still on their way are ignored.
    void shutDown();
    /// Stops deciding; for a planner that hands over.
    void retire() { m_isRetired = true; }
    /// True when nothing waits to be stored.
    bool isFlushed() const { return !m_isAppendInFlight; }

    void configurationChanged(const FleetConfiguration &configuration);
    void addAdvisorProxy(const std::string &process);
    void removeAdvisorProxy(const std::string &process);

    /// A record was stored in the stream of jobs; it will be read too, but perhaps much later when the log is slow.
    void recordStored(const KeyedRecord &record);

    /// True once questions can be answered.
    bool isOpen() const { return m_isOpen; }
    /// Gives a job's state; reads the stream once more before it says that there is no such job.
    void query(const std::string &job, std::function<void(const std::optional<FleetJobState> &, bool isConclusive)> done);
    /// True when the planner has read the job's acceptance from the log.
    bool hasJob(const std::string &job) const { return m_planner.jobState(job).has_value(); }
    std::int64_t pendingJobCount(const std::string &host, const std::string &prefix) const { return m_planner.pendingOf(host, prefix); }
    const FleetPlanner &planner() const { return m_planner; }

private:
    /// Its record raises the writer's epoch before anything is read; no job has this name.
    static constexpr char FenceKey[] = "!fence";

    void sendStart(const StartOrder &order, Millis timeout) override;
    void sendStop(const StopOrder &order, Millis timeout) override;
    void sendPace(const PaceOrder &order, Millis timeout) override;
    void sendHold(const HoldOrder &order, Millis timeout) override;
    void askAdvice(const AdviceOrder &order) override;
    void fenced(const std::string &worker) override;

    void fenceProgress();
    void loadProgress(const std::string &afterKey);
    void handleJobRecords(const std::vector<KeyedRecord> &records);
    void handleWorkerRecords(const std::vector<KeyedRecord> &records);
    void openWhenLoaded();
    void tick();
    void schedulePlan();
    void planNow();
    void storeProgress();
    void scheduleStoreProgress(Millis pause);
    void appendProgress();
    void retryAppendProgress(Millis pause);
    void handleProgressAppendResult(std::int64_t sequence, TimePoint sentAt, const AppendResult &result);
    void dropExpiredJobs();
    void supersede(const std::string &why);

    PlannerServices m_services;
    FleetPlanner m_planner;
    const std::int64_t m_fence;
    TopicFollower m_jobFollower;
    TopicFollower m_workerFollower;
    QTimer m_ticker;
    std::vector<KeyedRecord> m_loadedProgress;
    std::vector<std::string> m_expiredJobs;
    /// The append that is on its way, until it is stored; sent again under the same sequence number, it takes effect once.
    std::vector<KeyedRecord> m_inFlightRecords;
    std::int64_t m_inFlightBatch = 0;
    std::int64_t m_sequence = 0;
    AnswerTimes m_appendTimes;
    TimePoint m_nextStoreAt {};
    bool m_isStoreScheduled = false;
    TimePoint m_startedAt {};
    TimePoint m_nextPlanAt {};
    bool m_isProgressLoaded = false;
    bool m_isOpen = false;
    bool m_isRetired = false;
    bool m_isAppendInFlight = false;
    bool m_isPlanScheduled = false;
    bool m_isSuperseded = false;
    bool m_isDropping = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
