#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/config/Settings.h"
#include "marjoramhaven/http/HttpClient.h"
#include "marjoramhaven/ledger/LogRefresher.h"
#include "marjoramhaven/node/NodeSharedState.h"
#include "marjoramhaven/platform/HttpLogService.h"
#include "marjoramhaven/platform/HttpWorkerService.h"
#include "marjoramhaven/telemetry/Log.h"
#include "marjoramhaven/wire/PeerHub.h"
#include "marjoramhaven/zone/LeaderElection.h"

namespace marjoramhaven {

/// The state of a job that only the leader of its home zone knows.
struct LiveJobStatus {
    /// False when no leader answered; the other members then have no meaning.
    bool isAnswered = false;
    /// False when one task of the job is larger than any known worker of the zone.
    bool couldFit = true;
    /// Number of tasks that run now.
    int running = 0;
};

/// The part of a node that takes part in the cluster: zone membership, leader election, reading and appending the log, and scheduling while it leads.
///
/// Lives on the decision thread. All functions must be called on that thread; other threads use postTo().
class NodeCore : public QObject
{
    Q_OBJECT

public:
    NodeCore(Settings settings, NodeSharedState &shared);

    /// Opens the peer socket and starts the periodic work. Returns false, with a last reason, when it can't listen.
    bool start();
    /// Asks the leader of the request's zone where to run it. While this process leads that zone, it decides itself and the budget does not apply;
    /// otherwise the callback is called within the budget, with the verdict NotLeader when no leader answered.
    void requestShortDecision(const JobSpec &spec, Millis budget, const std::string &traceparent, ShortRequestCallback callback);
    /// Tells the leader of a zone that an attempt did not start and never will, so that its reservation is released.
    void reportAttemptClosed(const std::string &zone, const std::string &key, const AttemptId &attempt);
    /// Asks the leader of a zone about a job. Calls back within about 500 ms, unanswered when the leader is not known or did not answer.
    void queryJob(const std::string &zone, const std::string &id, const Resources &resources, std::function<void(const LiveJobStatus &)> callback);
    /// Queues a record for the log. Returns false, with a last reason, when the queue is full, or when the last append failed and `evenIfFailing` is false.
    bool append(const LogRecord &record, bool evenIfFailing);
    /// Calls back with true once the condition holds, or with false when `wait` has passed. The condition is evaluated at once, on every tick, after each
    /// applied batch of the log and after each configuration change received from a peer.
    void whenApplied(std::function<bool()> condition, Millis wait, std::function<void(bool)> done);
    /// Stops all work and drops the pending callbacks. Must be called on the decision thread before the object is destroyed.
    void shutDown();
    /// Gives up leadership of the zone and does not take it again, as part of a graceful shutdown.
    void resignLeadership();
    /// Gives up leadership after an event handler has thrown an exception. The next leader, which may be this process again, rebuilds the state of the zone.
    void recoverFromError(const std::string &reason);
    /// Returns true when every queued record has been appended to the log.
    bool isFlushed() const { return m_appender.pending() == 0; }

private:
    // A decision requested from a peer that has not answered yet.
    struct DecisionCall {
        std::string peer;
        TimePoint deadline {};
        ShortRequestCallback callback;
    };
    // A query about a job, sent to a peer that has not answered yet.
    struct JobQueryCall {
        std::string peer;
        TimePoint deadline {};
        std::function<void(const LiveJobStatus &)> callback;
    };
    // A call of whenApplied() whose condition does not hold yet.
    struct Waiter {
        std::function<bool()> condition;
        TimePoint deadline {};
        std::function<void(bool)> done;
    };
    // The leader of another zone, as reported by the heartbeats of that zone's processes.
    struct RemoteZoneLeader {
        std::string leader;
        std::int64_t epoch = 0;
    };

    void tick();
    void updateRole(TimePoint now);
    void failCallsTo(const std::string &peer, TimePoint now);
    void sendHeartbeats(TimePoint now);
    void publishStatus(TimePoint now);
    void expireCalls(TimePoint now);
    void checkWaiters(TimePoint now);
    void readLog();
    void handleBatch(const std::optional<LogBatch> &batch, TimePoint now);
    void listVms(TimePoint now);
    void exportSpans(TimePoint now);
    std::string leaderOf(const std::string &zone) const;

    void handleMessage(const std::string &from, const PeerMessage &message);
    void handle(const std::string &from, const HeartbeatMessage &message, TimePoint now);
    void handle(const std::string &from, const ShortRequestMessage &message, TimePoint now);
    void handle(const std::string &from, const ShortResponseMessage &message, TimePoint now);
    void handle(const std::string &from, const ShortAttemptClosedMessage &message, TimePoint now);
    void handle(const std::string &from, const ConfigurationRequestMessage &message, TimePoint now);
    void handle(const std::string &from, const ConfigurationUpdateMessage &message, TimePoint now);
    void handle(const std::string &from, const JobQueryMessage &message, TimePoint now);
    void handle(const std::string &from, const JobQueryResponseMessage &message, TimePoint now);
    void handle(const std::string &from, const HelloMessage &message, TimePoint now);
    void handlePeerUp(const std::string &name, const std::string &zone);
    void handlePeerDown(const std::string &name);

    Settings m_settings;
    NodeSharedState &m_shared;
    Log m_log {"core"};
    HttpClient m_http;
    HttpLogService m_logService;
    HttpVmList m_vmList;
    HttpWorkerDirectory m_workers;
    LogAppender m_appender;
    LogRefresher m_refresher;
    PeerHub m_hub;
    LeaderElection m_leadership;
    std::unique_ptr<ZoneLeader> m_leader;
    /// The leader of this zone at the last call of updateRole(), to detect a change of leader.
    std::string m_lastLeader;
    QTimer m_timer;
    std::map<std::string, std::string> m_peerZones;
    std::map<std::string, RemoteZoneLeader> m_remoteLeaders;
    /// The latest clock reading received from each peer, by name; echoed in the next heartbeat to that peer.
    std::map<std::string, std::int64_t> m_peerClocks;
    std::optional<std::vector<Vm>> m_vms;
    std::map<std::uint64_t, DecisionCall> m_decisionCalls;
    std::map<std::uint64_t, JobQueryCall> m_jobQueryCalls;
    std::vector<Waiter> m_waiters;
    std::uint64_t m_nextCall = 1;
    TimePoint m_nextHeartbeat {};
    TimePoint m_nextVmList {};
    TimePoint m_nextStatus {};
    TimePoint m_nextSpanExport {};
    TimePoint m_nextLogRead {};
    TimePoint m_nextConfigurationRequest {};
    std::uint64_t m_heartbeatRounds = 0;
    int m_readFailures = 0;
    bool m_isReading = false;
    bool m_isListing = false;
    bool m_isFenced = false;
};

} // namespace marjoramhaven
