#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "marjoramhaven/fleet/FleetNodeSettings.h"
#include "marjoramhaven/fleet/JobService.h"
#include "marjoramhaven/fleet/PlannerElection.h"
#include "marjoramhaven/fleetnode/ConfigurationCopyPolicy.h"
#include "marjoramhaven/fleetnode/ConfigurationState.h"
#include "marjoramhaven/fleetnode/JobRecordStore.h"
#include "marjoramhaven/fleetnode/PlannerHost.h"
#include "marjoramhaven/fleetnode/ProgressReader.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"
#include "marjoramhaven/fleetnode/UnresolvedRecords.h"
#include "marjoramhaven/telemetry/Metrics.h"
#include "marjoramhaven/wire/PeerHub.h"

namespace marjoramhaven {

/// Services of the users' platform that a fleet node calls, and the decoders of the documents that the platform stores.
struct FleetPlatform {
    StateLog &log;
    WorkerClient &workers;
    AdvisorClient &advisor;
    WorkerEntryParser decodeWorker;
    std::function<std::optional<FleetConfiguration>(const std::string &)> decodeConfiguration;
    /// Key of the configuration in the operator topic.
    std::string configurationKey;
};

/// One process of the fleet scheduler.
///
/// Serves client requests, calls the advisor on behalf of the planner, and runs the planner itself while the log names it as the leader.
class FleetNode
    : public QObject
    , public JobService
{
    Q_OBJECT

public:
    FleetNode(FleetNodeSettings settings, FleetPlatform platform, EventLog &events, Metrics &metrics, QObject *parent = nullptr);
    ~FleetNode() override;

    /// Starts to listen for peers and to follow the log. Returns false and sets `lastReason()` when the peer port can't be opened.
    bool start();
    /// Returns true when this process can serve clients: it is not stopping, has a configuration, and runs the planner or reaches the planner or the log.
    bool isReady() const;
    /// Begins a graceful shutdown: reports this process as not ready, so that the load balancer sends no more clients, and hands leadership over.
    void beginStop();
    /// Returns true when no client request is pending in this process and it has handed over leadership.
    bool isIdle() const;
    /// Gives up the planner after an event handler has thrown an exception, since the planner's state may be half changed. The next leader, which may be this
    /// process again, rebuilds it from the log and the workers.
    void recoverFromError(const std::string &reason);
    /// Sets the gauges that describe this process's current view of the fleet.
    void updateGauges();

    /// Returns the configuration in force in this process, or nullptr before the first one is known.
    const FleetConfiguration *configuration() const { return m_configuration.configuration(); }
    RouteResult route(const std::string &host, const std::string &path, TimePoint now) override;
    void submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitResult &)> done) override;
    bool mayBeStored(const std::string &job, TimePoint now) const override;
    void query(const std::string &job, Millis budget, std::function<void(const QueryResult &)> done) override;
    void cancel(const std::string &job, Millis budget, std::function<void(const SubmitResult &)> done) override;
    void pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingJobsResult &)> done) override;

private:
    struct PendingQuery;
    struct AdviceCall;
    struct StoreCall;

    void tick();
    // Returns the time since the log last proved that there was no newer configuration, in milliseconds; -1 if it never did.
    std::int64_t configurationProofAgeMs(TimePoint now) const;
    void handleOperatorRecords(const std::vector<KeyedRecord> &records);
    // Puts a configuration in force unless it is older than the one in force. Returns false if it can't be read.
    bool applyConfiguration(const std::string &text, const std::string &source);
    void handleHeartbeat(const std::string &from, const FleetHeartbeatMessage &heartbeat);
    void sendHeartbeats();
    // Stores where other processes reach this one, unless that is in the log.
    void registerIfNeeded();
    void forgetNode(const std::string &node);
    // While this process runs the planner, drops the registrations of processes that have had no link to it for long.
    void unregisterLostNodes(TimePoint now);
    void handleLeadershipRecords(const std::vector<KeyedRecord> &records);
    // Appends a leadership claim or a heartbeat of the leader when one is due.
    void appendLeadershipIfDue(TimePoint now);
    // Starts or stops the planner and links to the leader, according to the newest leadership records.
    void applyLeadership();
    void startPlanner();
    void stopPlanner(const std::string &why);
    void handleMessage(const std::string &from, const PeerMessage &message);
    // Calls back while this process runs the planner. Never calls back when it does not, or when it can't be sure that the job does not exist.
    void answerQuery(const FleetQueryMessage &query, std::function<void(const FleetQueryResponseMessage &)> done);
    void handleQueryAnswer(const FleetQueryResponseMessage &answer);
    void answerAdvice(const std::string &from, const FleetAdviceRequestMessage &ask);
    void answerConfigurationRequest(const std::string &from, const FleetConfigurationRequestMessage &ask);
    void answerStore(const std::string &from, const FleetStoreRequestMessage &ask);
    void startQuery(const std::shared_ptr<PendingQuery> &pendingQuery);
    // Ends expired queries, answers those that this process can answer, and sends the others to the planner, again if they had no answer.
    void processPendingQueries(TimePoint now);
    void requestAdvice(const AdviceRequest &request, std::function<void(const AdviceResponse &)> done);
    // Stores a record through the planner, which combines the records of all processes in its appends. Appends the record directly when the planner can't be
    // reached or does not answer.
    void storeRecord(KeyedRecord record, Millis budget, RecordWriter::Done done);
    // Begins an attempt to store a record. Returns a function that ends it and passes its outcome on, with that of other attempts taken into account.
    RecordWriter::Done beginAttempt(const std::string &key, RecordWriter::Done done);
    void logUnstoredRecords(const std::vector<std::string> &keys, const AppendResult &result);
    // Returns true for the acceptance of a job that this process or its planner knows: a retried submission whose record is already stored.
    bool isAlreadyStored(const std::string &key) const;
    void storeDirectly(const std::shared_ptr<StoreCall> &call);
    void fallBackToDirectStore(const std::shared_ptr<StoreCall> &call);
    // Appends directly what the given peer was asked to store but can no longer store.
    void rerouteStoreCallsFrom(const std::string &peer);
    static void completeStoreCall(StoreCall &call, SubmitResult answer);
    // Returns true when the planner runs at one end of the link to the peer.
    bool isPlannerLink(const std::string &peer) const;
    void handleStoreAnswer(const FleetStoreResponseMessage &answer);
    void checkStoreCalls(TimePoint now);
    bool isLinkedToLeader() const;
    // Starts to follow stored progress when this process has lost the planner, so that it can answer queries itself. Stops some time after the link is back.
    void updateFallbackReader(TimePoint now);
    std::optional<FleetJobState> fallbackState(const std::string &job) const;
    void noteAccepted(const std::string &job, TimePoint now);
    // Passes a stored record to the planner of this process without waiting for its next read.
    void notifyPlannerOfStored(const KeyedRecord &record);

    const FleetNodeSettings m_settings;
    FleetPlatform m_platform;
    EventLog &m_events;
    Metrics &m_metrics;
    PeerHub m_hub;
    PlannerElection m_election;
    TopicFollower m_operatorFollower;
    TopicFollower m_leadershipFollower;
    UnresolvedRecords m_unresolvedRecords;
    JobRecordStore m_jobRecords;
    QTimer m_ticker;
    ConfigurationState m_configuration;
    /// Whether the newest configuration in the log can't be read, so that the one in force is not the newest.
    bool m_isNewestUnreadable = false;
    ConfigurationCopyPolicy m_configurationCopies;
    /// Other registered processes, with the time at which each was last linked or registered.
    std::map<std::string, TimePoint> m_unlinkedSince;
    bool m_isRegistered = false;
    bool m_isRegistering = false;
    std::unique_ptr<ProgressReader> m_fallbackReader;
    /// When this process last ran the planner or was linked to it, and when it last did neither.
    TimePoint m_lastLinkedAt {};
    TimePoint m_lastUnlinkedAt {};
    /// Jobs that this process accepted, with the time of acceptance. Kept for as long as a job may have no stored progress.
    std::map<std::string, TimePoint> m_recentlyAccepted;
    bool m_isLeaderLogUnreachable = false;
    bool m_isLogReachable = false;
    std::unique_ptr<PlannerHost> m_planner;
    std::string m_leaderAddress;
    std::map<std::string, TimePoint> m_lastHeardAt;
    TimePoint m_nextHeartbeatAt {};
    int m_heartbeatCount = 0;
    /// Number of the next call to a peer. Starts at a random value, so that an answer to an earlier incarnation of this process matches no call.
    std::uint64_t m_nextCall;
    std::map<std::uint64_t, std::shared_ptr<PendingQuery>> m_pendingQueries;
    std::map<std::uint64_t, std::shared_ptr<AdviceCall>> m_adviceCalls;
    std::map<std::uint64_t, std::shared_ptr<StoreCall>> m_storeCalls;
    bool m_isStopping = false;
};

} // namespace marjoramhaven
