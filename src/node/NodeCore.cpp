#include "marjoramhaven/node/NodeCore.h"

#include <algorithm>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr int TickIntervalMs = 20;
// A worker with a termination notice must get no new work from 3 s after the notice, so the leader polls the VM list more often than that.
constexpr Millis LeaderVmListInterval {2000};
constexpr Millis FollowerVmListInterval {10'000};
constexpr Millis StatusInterval {200};
constexpr Millis SpanExportInterval {1000};
constexpr Millis LogReadWait {2000};
constexpr Millis FirstReadRetryDelay {100};
constexpr int MaxReadRetryDoublings = 4;
// One heartbeat round in five also goes to peers in other zones.
constexpr std::uint64_t RemoteZoneHeartbeatEvery = 5;

std::uint64_t seedOf(const std::string &name)
{
    return std::hash<std::string>()(name) ^ static_cast<std::uint64_t>(millisOf(monotonicNow()));
}

ShortRequestDecision leaderUnreachable()
{
    ShortRequestDecision out;
    out.verdict = ShortRequestVerdict::NotLeader;
    out.reason = "the leader of the zone is not known or did not answer this entry process";
    return out;
}

} // namespace

NodeCore::NodeCore(Settings settings, NodeSharedState &shared)
    : m_settings(std::move(settings))
    , m_shared(shared)
    , m_logService(m_http, toQt(m_settings.platformUrl))
    , m_vmList(m_http, toQt(m_settings.platformUrl))
    , m_workers(m_http)
    , m_appender(m_logService)
    , m_refresher(m_settings.refreshInterval, monotonicNow())
    , m_hub({m_settings.name, m_settings.zone}, seedOf(m_settings.name))
    , m_leadership(m_settings.name, seedOf(m_settings.name), monotonicNow())
{
    m_shared.replicatedState.setListener([this](const LogRecord &record) {
        if (m_leader) {
            m_leader->onRecord(record, monotonicNow());
        }
    });
}

void NodeCore::shutDown()
{
    m_timer.stop();
    m_shared.replicatedState.setListener({});
    m_leader.reset();
    m_http.shutDown();
    m_hub.shutDown();
    m_waiters.clear();
    m_decisionCalls.clear();
    m_jobQueryCalls.clear();
}

bool NodeCore::start()
{
    if (m_hub.listenOn(m_settings.peerListen.host, m_settings.peerListen.port) == 0) {
        return false;
    }
    std::vector<PeerAddress> peers;
    for (const auto &it : m_settings.peers) {
        peers.push_back({it.name, it.address.host, it.address.port});
        m_peerZones[it.name] = it.zone;
    }
    m_hub.addPeers(std::move(peers));
    connect(&m_hub, &PeerHub::peerUp, this, &NodeCore::handlePeerUp);
    connect(&m_hub, &PeerHub::peerDown, this, &NodeCore::handlePeerDown);
    connect(&m_hub, &PeerHub::received, this, &NodeCore::handleMessage);
    connect(&m_timer, &QTimer::timeout, this, &NodeCore::tick);
    m_timer.start(TickIntervalMs);
    m_log.info(m_settings.name + " started as an entry process of zone " + m_settings.zone);
    return true;
}

void NodeCore::tick()
{
    const auto now = monotonicNow();
    m_hub.tick(now);
    m_leadership.tick(now);
    updateRole(now);
    if (m_leader) {
        m_leader->tick(now);
        updateRole(now);
    }
    if (m_leader && m_refresher.isDue(now)) {
        m_refresher.refresh(m_shared.replicatedState, m_settings.zone, m_appender, now);
    }
    m_appender.tick(now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + LeaderElection::HeartbeatInterval;
        sendHeartbeats(now);
    }
    if (!m_isReading && now >= m_nextLogRead) {
        readLog();
    }
    if (!m_isListing && now >= m_nextVmList) {
        listVms(now);
    }
    checkWaiters(now);
    expireCalls(now);
    if (now >= m_nextStatus) {
        m_nextStatus = now + StatusInterval;
        publishStatus(now);
    }
    if (now >= m_nextSpanExport) {
        m_nextSpanExport = now + SpanExportInterval;
        exportSpans(now);
    }
}

void NodeCore::updateRole(TimePoint now)
{
    if (m_isFenced || (m_leader && m_leader->hasNoReachableWorker(now))) {
        m_log.warn(m_isFenced ? "giving up leadership of the zone: a worker rejected it because a newer session exists"
                              : "giving up leadership of the zone: no worker can be reached");
        m_isFenced = false;
        m_leadership.stepDown(now);
    }
    if (m_leadership.leader() != m_lastLeader) {
        // The replaced leader may be a paused process whose connection is still open, so pending calls to it fail at once instead of timing out.
        failCallsTo(std::exchange(m_lastLeader, m_leadership.leader()), now);
    }
    if (m_leadership.isLeading() == (m_leader != nullptr)) {
        return;
    }
    if (m_leader) {
        m_leader->rejectHeldRequests();
        m_leader.reset();
        m_log.info("leadership of zone " + m_settings.zone + " ended");
    } else {
        const ZoneLeaderOptions options {m_settings.name, m_settings.zone, {m_settings.lease, m_settings.renewInterval}};
        m_leader = std::make_unique<ZoneLeader>(options, m_leadership.epoch(), m_workers, m_shared.replicatedState, m_appender, now);
        m_leader->setFencedHandler([this](TimePoint) {
            m_isFenced = true;
        });
        if (m_vms) {
            m_leader->setVms(*m_vms, now);
        }
        m_nextVmList = now;
        m_log.info("leading zone " + m_settings.zone + " in epoch " + std::to_string(m_leadership.epoch()));
        m_shared.metrics.count("takeovers_total");
    }
    m_nextHeartbeat = now;
}

void NodeCore::sendHeartbeats(TimePoint now)
{
    const auto heartbeat = m_leadership.heartbeat(now);
    const auto current = m_shared.replicatedState.configuration().current();
    HeartbeatMessage message;
    message.epoch = heartbeat.epoch;
    message.isLeading = heartbeat.isLeading;
    message.followedLeader = heartbeat.followedLeader;
    message.leaderAgeMillis = heartbeat.leaderAgeMillis;
    message.sentAt = millisOf(now);
    message.configurationNumber = current.number;
    message.configurationHash = current.hash;
    // Only the leader sends to other zones, because the number of process pairs across zones grows with the square of the number of processes.
    const bool includeRemoteZones = m_heartbeatRounds++ % RemoteZoneHeartbeatEvery == 0 && m_leadership.isLeading();
    for (const auto &peer : m_hub.linkedPeers()) {
        if (peer.zone == m_settings.zone || includeRemoteZones) {
            message.echoedSentAt = m_peerClocks[peer.name];
            m_hub.send(peer.name, message);
        }
    }
}

void NodeCore::publishStatus(TimePoint now)
{
    NodeStatus status;
    status.leader = m_leadership.leader();
    status.epoch = m_leadership.epoch();
    status.isLeading = m_leadership.isLeading();
    for (const auto &it : m_hub.linkedPeers()) {
        status.peers.push_back(it.name);
    }
    if (m_leader) {
        status.zone = m_leader->counts(now);
    }
    status.logOffset = m_shared.replicatedState.nextOffset();
    status.logFailing = m_appender.isFailing() || m_readFailures > 0;
    status.appendsPending = m_appender.pending();
    auto &metrics = m_shared.metrics;
    metrics.gauge("configuration_version", static_cast<double>(m_shared.replicatedState.configuration().number()));
    metrics.gauge("leading", status.isLeading ? 1 : 0);
    metrics.gauge("epoch", static_cast<double>(status.epoch));
    metrics.gauge("peers_linked", static_cast<double>(status.peers.size()));
    metrics.gauge("log_offset", static_cast<double>(status.logOffset));
    metrics.gauge("log_failing", status.logFailing ? 1 : 0);
    metrics.gauge("appends_pending", static_cast<double>(status.appendsPending));
    metrics.gauge("appends_sent", static_cast<double>(m_appender.appendsSent()));
    metrics.gauge("peer_bytes", static_cast<double>(m_hub.bytes()));
    metrics.gauge("platform_body_bytes", static_cast<double>(m_http.bodyBytes()));
    metrics.gauge("zone_workers", status.zone.workers);
    metrics.gauge("zone_workers_open", status.zone.workersWithSession);
    metrics.gauge("zone_tasks_running", status.zone.running);
    metrics.gauge("zone_tasks_waiting", status.zone.waiting);
    metrics.gauge("zone_workers_quarantined", static_cast<double>(status.zone.quarantined));
    metrics.gauge("zone_recovered", status.zone.recovered ? 1 : 0);
    m_shared.setStatus(std::move(status));
}

void NodeCore::exportSpans(TimePoint /*now*/)
{
    if (m_settings.traceCollectorUrl.empty()) {
        return;
    }
    const auto spans = m_shared.tracer.takeExportRequest();
    if (!spans.isEmpty()) {
        m_http.call("POST", toQt(m_settings.traceCollectorUrl) + QLatin1String("/v1/traces"), jsonBytes(spans), SpanExportInterval, [](const HttpResult &) {});
    }
}

void NodeCore::readLog()
{
    m_isReading = true;
    m_logService.read(m_shared.replicatedState.nextOffset(), LogReadWait, [this](const std::optional<LogBatch> &batch, TimePoint at) {
        m_isReading = false;
        handleBatch(batch, at);
    });
}

void NodeCore::handleBatch(const std::optional<LogBatch> &batch, TimePoint now)
{
    if (!batch) {
        m_nextLogRead = now + FirstReadRetryDelay * (1 << std::min(m_readFailures, MaxReadRetryDoublings));
        if (m_readFailures++ == 0) {
            m_log.warn("reading the log failed; retrying with back-off");
        }
        return;
    }
    if (m_readFailures > 0) {
        m_log.info("reading the log works again");
    }
    m_readFailures = 0;
    const auto before = m_shared.replicatedState.configuration().number();
    const bool wasCaughtUp = m_shared.replicatedState.isCaughtUp();
    m_shared.replicatedState.apply(*batch);
    if (m_leader && !wasCaughtUp && m_shared.replicatedState.isCaughtUp()) {
        m_leader->onLogCaughtUp(now);
    }
    if (m_shared.replicatedState.configuration().number() != before) {
        m_log.info("configuration version " + std::to_string(m_shared.replicatedState.configuration().number()) + " is in force");
        m_nextHeartbeat = now;
    }
    checkWaiters(now);
}

void NodeCore::listVms(TimePoint now)
{
    m_isListing = true;
    m_nextVmList = now + (m_leader ? LeaderVmListInterval : FollowerVmListInterval);
    m_vmList.list(m_settings.zone, [this](std::optional<std::vector<Vm>> vms, TimePoint at) {
        m_isListing = false;
        if (!vms) {
            return;
        }
        m_vms = std::move(vms);
        if (m_leader) {
            m_leader->setVms(*m_vms, at);
        }
    });
}

void NodeCore::whenApplied(std::function<bool()> condition, Millis wait, std::function<void(bool)> done)
{
    if (condition()) {
        done(true);
        return;
    }
    m_waiters.push_back({std::move(condition), monotonicNow() + wait, std::move(done)});
}

void NodeCore::checkWaiters(TimePoint now)
{
    std::vector<Waiter> waiting;
    waiting.swap(m_waiters);
    for (auto &it : waiting) {
        if (it.condition()) {
            it.done(true);
        } else if (now >= it.deadline) {
            it.done(false);
        } else {
            m_waiters.push_back(std::move(it));
        }
    }
}

void NodeCore::expireCalls(TimePoint now)
{
    std::vector<ShortRequestCallback> decisionCallbacks;
    for (auto it = m_decisionCalls.begin(); it != m_decisionCalls.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        decisionCallbacks.push_back(std::move(it->second.callback));
        it = m_decisionCalls.erase(it);
    }
    std::vector<std::function<void(const LiveJobStatus &)>> jobQueryCallbacks;
    for (auto it = m_jobQueryCalls.begin(); it != m_jobQueryCalls.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        jobQueryCallbacks.push_back(std::move(it->second.callback));
        it = m_jobQueryCalls.erase(it);
    }
    for (const auto &it : decisionCallbacks) {
        it(leaderUnreachable());
    }
    for (const auto &it : jobQueryCallbacks) {
        it({});
    }
}

std::string NodeCore::leaderOf(const std::string &zone) const
{
    if (zone == m_settings.zone) {
        return m_leadership.leader();
    }
    const auto it = m_remoteLeaders.find(zone);
    return it == m_remoteLeaders.end() ? std::string() : it->second.leader;
}

void NodeCore::requestShortDecision(const JobSpec &spec, Millis budget, const std::string &traceparent, ShortRequestCallback callback)
{
    const auto now = monotonicNow();
    if (spec.zone == m_settings.zone && m_leader) {
        m_leader->decideShortRequest(spec, now, std::move(callback));
        return;
    }
    const auto leader = leaderOf(spec.zone);
    const auto call = m_nextCall++;
    ShortRequestMessage message {call, jsonBytes(spec.toJson()).toStdString(), budget.count(), traceparent};
    if (leader.empty() || !m_hub.send(leader, message)) {
        callback(leaderUnreachable());
        return;
    }
    m_decisionCalls[call] = {leader, now + budget, std::move(callback)};
}

void NodeCore::reportAttemptClosed(const std::string &zone, const std::string &key, const AttemptId &attempt)
{
    if (zone == m_settings.zone && m_leader) {
        m_leader->onShortRequestClosed(key, attempt, monotonicNow());
        return;
    }
    m_hub.send(leaderOf(zone), ShortAttemptClosedMessage {key, attempt.task, attempt.number});
}

void NodeCore::queryJob(const std::string &zone, const std::string &id, const Resources &resources, std::function<void(const LiveJobStatus &)> callback)
{
    constexpr Millis AnswerTimeout {500};
    if (zone == m_settings.zone && m_leader) {
        callback({true, m_leader->couldEverFit(resources), static_cast<int>(m_leader->runningTasks(id).size())});
        return;
    }
    const auto leader = leaderOf(zone);
    const auto call = m_nextCall++;
    if (leader.empty() || !m_hub.send(leader, JobQueryMessage {call, id, jsonBytes(resources.toJson()).toStdString()})) {
        callback({});
        return;
    }
    m_jobQueryCalls[call] = {leader, monotonicNow() + AnswerTimeout, std::move(callback)};
}

bool NodeCore::append(const LogRecord &record, bool evenIfFailing)
{
    if (m_appender.isFailing() && !evenIfFailing) {
        setLastReason("the log failed to confirm the last append");
        return false;
    }
    if (!m_appender.add(record)) {
        setLastReason("the queue of records for the log is full");
        return false;
    }
    m_appender.tick(monotonicNow());
    return true;
}

void NodeCore::resignLeadership()
{
    m_leadership.leaveElection();
    updateRole(monotonicNow());
}

void NodeCore::recoverFromError(const std::string &reason)
{
    m_log.error("an event handler failed: " + reason);
    m_shared.metrics.count("unexpected_errors_total");
    if (m_leader) {
        m_leadership.stepDown(monotonicNow());
        updateRole(monotonicNow());
    }
}

void NodeCore::handlePeerUp(const std::string &name, const std::string &zone)
{
    m_peerZones[name] = zone;
    m_peerClocks.erase(name);
    if (zone == m_settings.zone) {
        m_leadership.memberUp(name, monotonicNow());
        m_nextHeartbeat = {};
    }
}

void NodeCore::handlePeerDown(const std::string &name)
{
    const auto now = monotonicNow();
    if (m_peerZones[name] == m_settings.zone) {
        m_leadership.memberDown(name, now);
        m_nextHeartbeat = {};
    }
    failCallsTo(name, now);
}

void NodeCore::failCallsTo(const std::string &peer, TimePoint now)
{
    for (auto &[call, it] : m_decisionCalls) {
        if (it.peer == peer) {
            it.deadline = now;
        }
    }
    for (auto &[call, it] : m_jobQueryCalls) {
        if (it.peer == peer) {
            it.deadline = now;
        }
    }
    expireCalls(now);
}

} // namespace marjoramhaven
