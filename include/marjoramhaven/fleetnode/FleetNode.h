#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "marjoramhaven/fleet/FleetDesk.h"
#include "marjoramhaven/fleet/FleetNodeSettings.h"
#include "marjoramhaven/fleet/PlannerClaim.h"
#include "marjoramhaven/fleetnode/ConfigurationPushPolicy.h"
#include "marjoramhaven/fleetnode/PlannerHost.h"
#include "marjoramhaven/fleetnode/ProgressReader.h"
#include "marjoramhaven/fleetnode/RecordWriter.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"
#include "marjoramhaven/telemetry/Metrics.h"
#include "marjoramhaven/wire/PeerHub.h"

namespace marjoramhaven {

/// What one process of the fleet scheduler needs of the platform.
struct FleetPlatform {
    StateLog &log;
    WorkerCalls &workers;
    AdvisorCalls &advisor;
    WorkerReader decodeWorker;
    std::function<std::optional<FleetConfiguration>(const std::string &)> decodeConfiguration;
    /// The key of the configuration among the operators' records.
    std::string configurationKey;
};

/// One process of the fleet scheduler: answers callers, asks the advisor for the planner, and plans when the log says that it leads.
class FleetNode
    : public QObject
    , public FleetDesk
{
    Q_OBJECT

public:
    FleetNode(FleetNodeSettings settings, FleetPlatform platform, EventLog &events, Metrics &metrics, QObject *parent = nullptr);
    ~FleetNode() override;

    /// Begins; false with a last reason when it can't listen for other processes.
    bool start();
    /// True when callers may be sent here.
    bool isReady() const;
    /// Tells the balancer to send no more callers, and hands planning over.
    void beginStop();
    /// True when nothing waits here any more.
    bool isIdle() const;
    /// Sets the gauges that tell what this process believes now.
    void updateGauges();

    const FleetConfiguration *configuration() const override;
    void submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitAnswer &)> done) override;
    void query(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done) override;
    void cancel(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done) override;
    void pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingAnswer &)> done) override;

private:
    struct PendingQuery;
    struct AdviceCall;
    struct StoreCall;

    void tick();
    void handleOperatorRecords(const std::vector<KeyedRecord> &records);
    void applyConfiguration(const std::string &text, const std::string &source);
    void handleHeartbeat(const std::string &from, const FleetBeatMessage &heartbeat);
    void sendHeartbeats();
    void registerSelf();
    void forgetNode(const std::string &node);
    void unregisterLostNodes(TimePoint now);
    void handleLeadershipRecords(const std::vector<KeyedRecord> &records);
    void appendLeadershipIfDue(TimePoint now);
    void applyLeadership();
    void startPlanner();
    void stopPlanner(const std::string &why);
    void handleMessage(const std::string &from, const PeerMessage &message);
    // Answers while this process plans; says nothing when it does not, or can't be sure that there is no such job.
    void answerQuery(const FleetQueryMessage &query, std::function<void(const FleetQueryAnswerMessage &)> done);
    void handleQueryAnswer(const FleetQueryAnswerMessage &answer);
    void answerAdvice(const std::string &from, const FleetAdviceAskMessage &ask);
    void answerStore(const std::string &from, const FleetStoreAskMessage &ask);
    void startQuery(const std::shared_ptr<PendingQuery> &pendingQuery);
    void processPendingQueries(TimePoint now);
    void requestAdvice(const AdviceOrder &order, std::function<void(const AdviceAnswer &)> done);
    // Stores through the planner, whose appends carry the records of all processes together; directly when it can't be asked or does not answer.
    void storeRecord(KeyedRecord record, Millis budget, RecordWriter::Done done);
    // A submission that comes again finds its job known to the planner of this process, and so stored.
    bool isAlreadyStored(const std::string &key) const;
    void storeDirectly(const std::shared_ptr<StoreCall> &call);
    void fallBackToDirectStore(const std::shared_ptr<StoreCall> &call);
    void rerouteStoreCallsFrom(const std::string &peer);
    static void completeStoreCall(StoreCall &call, SubmitAnswer answer);
    bool isPlannerLink(const std::string &peer) const;
    void handleStoreAnswer(const FleetStoreAnswerMessage &answer);
    void checkStoreCalls(TimePoint now);
    bool isLinkedToLeader() const;
    // A process that has lost the planner answers questions from what is stored.
    void updateFallbackReader(TimePoint now);
    std::optional<FleetJobState> fallbackState(const std::string &job) const;
    void noteAccepted(const std::string &job, TimePoint now);
    // The planner of this process learns of a stored record without waiting for its next read.
    void notifyPlannerOfStored(const KeyedRecord &record);

    const FleetNodeSettings m_settings;
    FleetPlatform m_platform;
    EventLog &m_events;
    Metrics &m_metrics;
    PeerHub m_hub;
    PlannerClaim m_claim;
    TopicFollower m_operatorFollower;
    TopicFollower m_leadershipFollower;
    RecordWriter m_writer;
    QTimer m_ticker;
    std::optional<FleetConfiguration> m_configuration;
    std::string m_configurationText;
    ConfigurationPushPolicy m_configurationPush;
    /// Other registered processes, and when each was linked last.
    std::map<std::string, TimePoint> m_unlinkedSince;
    std::unique_ptr<ProgressReader> m_fallbackReader;
    /// When this process last planned or was linked to the planner, and when it last was neither.
    TimePoint m_lastLinkedAt {};
    TimePoint m_lastUnlinkedAt {};
    /// Jobs that this process accepted, and when; for as long as they may have no stored progress.
    std::map<std::string, TimePoint> m_recentlyAccepted;
    bool m_isLeaderLogUnreachable = false;
    bool m_isLogReachable = false;
    std::unique_ptr<PlannerHost> m_planner;
    std::string m_leaderAddress;
    std::map<std::string, TimePoint> m_lastHeardAt;
    TimePoint m_nextHeartbeatAt {};
    int m_heartbeatCount = 0;
    /// Numbers of calls to peers; each start begins elsewhere, so that an answer to an earlier incarnation of this process matches no call of this one.
    std::uint64_t m_nextCall;
    std::map<std::uint64_t, std::shared_ptr<PendingQuery>> m_pendingQueries;
    std::map<std::uint64_t, std::shared_ptr<AdviceCall>> m_adviceCalls;
    std::map<std::uint64_t, std::shared_ptr<StoreCall>> m_storeCalls;
    bool m_isStopping = false;
};

} // namespace marjoramhaven
