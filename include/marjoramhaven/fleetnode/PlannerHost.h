#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"
#include "marjoramhaven/fleet/StateLog.h"
#include "marjoramhaven/fleet/WorkerEntryParser.h"
#include "marjoramhaven/fleetnode/RecordBatch.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"
#include "marjoramhaven/telemetry/Metrics.h"

namespace marjoramhaven {

/// Services of the process that a planner host uses.
struct PlannerServices {
    StateLog &log;
    WorkerClient &workers;
    EventLog &events;
    Metrics &metrics;
    WorkerEntryParser decodeWorker;
    /// Calls the advisor through the process that the request names; calls back exactly once.
    std::function<void(const AdviceRequest &, std::function<void(const AdviceResponse &)>)> sendAdviceRequest;
    /// Called when another planner has taken over.
    std::function<void(const std::string &why)> superseded;
    /// Largest record that the log takes, in bytes.
    std::size_t maxRecordBytes = 262'144;
};

/// Keys of a job's acceptance and of its cancellation in the jobs topic.
std::string acceptanceKey(const std::string &job);
std::string cancellationKey(const std::string &job);

/// Runs the fleet planner while this process is the leader: loads the stored state, follows the topics of jobs and workers, stores progress, and sends the
/// planner's requests.
class PlannerHost
    : public QObject
    , private PlannerTransport
{
    Q_OBJECT

public:
    PlannerHost(PlannerServices services, PlannerLimits limits, std::int64_t fencingToken, const FleetConfiguration &configuration, QObject *parent = nullptr);
    ~PlannerHost() override;

    /// Starts to load the stored state. The planner starts to decide once all of it was read.
    void start();
    /// Stops all work. Answers to calls that are in flight are ignored.
    void shutDown();
    /// Stops making decisions, for a planner that hands over leadership.
    void retire() { m_isRetired = true; }
    /// Returns true when no append of progress is in flight.
    bool isFlushed() const { return !m_isAppendInFlight; }

    void configurationChanged(const FleetConfiguration &configuration);
    /// Adds a process that can call the advisor for the planner.
    void addAdvisorProxy(const std::string &process);
    /// Removes a process that was added by addAdvisorProxy().
    void removeAdvisorProxy(const std::string &process);

    /// See FleetPlanner::raiseFencingToken().
    void raiseFencingToken(std::int64_t token) { m_planner.raiseFencingToken(token); }
    /// See FleetPlanner::confirmLeadership().
    void confirmLeadership(TimePoint asOf) { m_planner.confirmLeadership(asOf, monotonicNow()); }

    /// Applies a record that was stored in the jobs topic. The record will also be read back, but perhaps much later when the log is slow.
    void recordStored(const KeyedRecord &record);

    /// Returns true once queries can be answered.
    bool isOpen() const { return m_isOpen; }
    /// Reports a job's state. Reads the jobs topic once more before it reports that there is no such job; `isConclusive` is false when that read failed.
    void query(const std::string &job, std::function<void(const std::optional<FleetJobState> &, bool isConclusive)> done);
    /// Returns true when the planner knows the job, whose acceptance is then stored in the log.
    bool hasJob(const std::string &job) const { return m_planner.jobState(job).has_value(); }
    /// Returns the number of accepted jobs of a queue none of whose tasks has started.
    std::int64_t pendingJobCount(const std::string &host, const std::string &prefix) const { return m_planner.pendingJobCount(host, prefix); }
    const FleetPlanner &planner() const { return m_planner; }

private:
    /// Key of the record that raises the writer epoch of the progress topic before anything is read. No job has this name.
    static constexpr char FenceKey[] = "!fence";

    void sendStart(const StartRunRequest &request, TimePoint decidedAt, Millis timeout) override;
    void sendStop(const StopRunRequest &request, TimePoint decidedAt, Millis timeout) override;
    void sendThrottle(const ThrottleRunRequest &request, TimePoint decidedAt, Millis timeout) override;
    void sendPoll(const PollWorkerRequest &request, TimePoint decidedAt, Millis timeout) override;
    void sendAdviceRequest(const AdviceRequest &request) override;
    void fencedByWorker(const std::string &worker) override;

    // Logs how long the steps of a takeover take, beside a slow log above all.
    void noteLoadStep(const char *step, const std::string &reason = {});
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
    // Appends the next records of the batch. The batch is stored when all of its appends are.
    void appendNextRecords();
    void finishBatch();
    // Leaves the records of a job out of the batch, because the log can't take one of them.
    void leaveOut(const std::string &job);
    // Finds the record for which the log has refused the append in flight, by appending one at a time, and leaves it out.
    void isolateInvalidRecord();
    void appendProgress();
    void retryAppendProgress(Millis pause);
    void handleProgressAppendResult(TimePoint sentAt, const AppendResult &result);
    void dropExpiredJobs();
    // Drops the records of ended jobs from a topic, and calls back when that is stored; on a failure the jobs stay expired.
    void dropJobs(StateTopic topic, const std::vector<std::string> &jobs, std::function<void()> done);
    void supersede(const std::string &why);

    PlannerServices m_services;
    FleetPlanner m_planner;
    const std::int64_t m_fencingToken;
    TopicFollower m_jobFollower;
    TopicFollower m_alternateJobFollower;
    /// Keys that the alternate jobs topic holds.
    std::set<std::string> m_alternateKeys;
    TopicFollower m_workerFollower;
    QTimer m_ticker;
    std::vector<KeyedRecord> m_loadedProgress;
    std::vector<std::string> m_expiredJobs;
    /// Records of the append in flight, kept until they are stored. A retry uses the same sequence number, so that the append takes effect only once.
    std::vector<KeyedRecord> m_inFlightRecords;
    /// Records of the same batch that are to be appended after those in flight.
    RecordBatch m_unsentRecords;
    std::int64_t m_inFlightBatch = 0;
    std::int64_t m_sequence = 0;
    /// Number of the append in flight. Unlike a sequence number, it is not used again after a refusal.
    std::int64_t m_appendNumber = 0;
    /// Jobs of this batch with a record that the log can't take.
    std::set<std::string> m_refusedJobs;
    /// True while the records of a refused append are appended one at a time.
    bool m_isIsolating = false;
    /// When the append with the current sequence number was first sent.
    TimePoint m_appendFirstSentAt {};
    AdaptiveTimeout m_appendTimes;
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
