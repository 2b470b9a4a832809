#include <algorithm>
#include <random>

#include "FleetNodeCalls.h"

namespace marjoramhaven {

namespace {

constexpr Millis RegisterTimeout {1500};
constexpr Millis RegisterRetryPause {300};
// A process that the planner had no link with for this long is unregistered. It registers again when it reads that.
constexpr Millis LostNodeTimeout {120'000};

std::string newIncarnationId(const std::string &name)
{
    std::random_device random;
    return name + "/" + std::to_string(random()) + std::to_string(random());
}

} // namespace

LeadershipRecord ownLeadershipRecord(const FleetNodeSettings &settings)
{
    LeadershipRecord out;
    out.node = settings.name;
    out.host = settings.peers.host;
    out.port = settings.peers.port;
    out.incarnation = newIncarnationId(settings.name);
    return out;
}

void FleetNode::handleMessage(const std::string &from, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<FleetHeartbeatMessage>(&message)) {
        handleHeartbeat(from, *heartbeat);
    } else if (const auto *configuration = std::get_if<FleetConfigurationMessage>(&message)) {
        applyConfiguration(configuration->text, from);
    } else if (const auto *request = std::get_if<FleetConfigurationRequestMessage>(&message)) {
        answerConfigurationRequest(from, *request);
    } else if (const auto *query = std::get_if<FleetQueryMessage>(&message)) {
        answerQuery(*query, [this, from](const FleetQueryResponseMessage &it) {
            m_hub.send(from, it);
        });
    } else if (const auto *answer = std::get_if<FleetQueryResponseMessage>(&message)) {
        handleQueryAnswer(*answer);
    } else if (const auto *ask = std::get_if<FleetAdviceRequestMessage>(&message)) {
        answerAdvice(from, *ask);
    } else if (const auto *store = std::get_if<FleetStoreRequestMessage>(&message)) {
        answerStore(from, *store);
    } else if (const auto *stored = std::get_if<FleetStoreResponseMessage>(&message)) {
        handleStoreAnswer(*stored);
    } else if (const auto *advice = std::get_if<FleetAdviceResponseMessage>(&message)) {
        const auto it = m_adviceCalls.find(advice->call);
        if (it == m_adviceCalls.end()) {
            return;
        }
        const auto call = it->second;
        m_adviceCalls.erase(it);
        AdviceResponse out {advice->isAnswered, advice->isBusy, {}, advice->reason};
        for (std::size_t i = 0; i < std::min(advice->workers.size(), advice->tickets.size()); ++i) {
            out.allowed.push_back({advice->workers[i], advice->tickets[i]});
        }
        call->done(out);
    }
}

void FleetNode::handleHeartbeat(const std::string &from, const FleetHeartbeatMessage &heartbeat)
{
    const auto now = monotonicNow();
    if (heartbeat.fencingToken > m_election.leaderFencingToken() && !heartbeat.planner.empty()) {
        LeadershipRecord record;
        record.node = heartbeat.planner;
        record.host = heartbeat.plannerHost;
        record.port = heartbeat.plannerPort;
        record.claimOffset = heartbeat.fencingToken - 1;
        m_election.learnLeader(record, now);
        applyLeadership();
    }
    if (m_election.leader() && m_election.leader()->node == from && !m_planner) {
        if (heartbeat.isPlannerLogUnreachable && !m_isLeaderLogUnreachable) {
            rerouteStoreCallsFrom(from);
        }
        m_isLeaderLogUnreachable = heartbeat.isPlannerLogUnreachable;
        m_election.setLeaderLinked(!m_isLeaderLogUnreachable, now);
    }
    m_configuration.noteVersionOfPeer(heartbeat.configurationVersion, now);
    if (m_configurationCopies.shouldAsk(from, heartbeat.configurationVersion, m_configuration.version(), now)) {
        m_events.write("configuration_asked",
                       {{"peer", from},
                        {"version", heartbeat.configurationVersion},
                        {"configuration", m_configuration.version()},
                        {"proof_age_ms", configurationProofAgeMs(now)}});
        m_hub.send(from, FleetConfigurationRequestMessage {m_configuration.version()});
    }
}

void FleetNode::sendHeartbeats()
{
    FleetHeartbeatMessage heartbeat;
    const auto &leader = m_election.leader();
    if (leader) {
        heartbeat.fencingToken = m_election.leaderFencingToken();
        heartbeat.planner = leader->node;
        heartbeat.plannerHost = leader->host;
        heartbeat.plannerPort = leader->port;
    }
    heartbeat.isPlannerLogUnreachable = m_planner && !m_isLogReachable;
    heartbeat.configurationVersion = m_configuration.version();
    ++m_heartbeatCount;
    for (const auto &it : m_hub.linkedPeers()) {
        if (m_heartbeatCount % NonPlannerHeartbeatFactor == 0 || isPlannerLink(it.name)) {
            m_hub.send(it.name, heartbeat);
        }
    }
}

bool FleetNode::isPlannerLink(const std::string &peer) const
{
    return m_planner || (m_election.leader() && m_election.leader()->node == peer);
}

void FleetNode::answerQuery(const FleetQueryMessage &query, std::function<void(const FleetQueryResponseMessage &)> done)
{
    if (!m_planner || !m_planner->isOpen()) {
        return;
    }
    FleetQueryResponseMessage out;
    out.call = query.call;
    out.isLeading = true;
    if (query.job.empty()) {
        out.isKnown = true;
        out.pending = m_planner->pendingJobCount(query.host, query.prefix);
        done(out);
        return;
    }
    m_planner->query(query.job, [out, done = std::move(done)](const std::optional<FleetJobState> &state, bool isConclusive) mutable {
        out.isKnown = state.has_value();
        out.state = state ? std::string(nameOf(*state)) : "";
        if (state || isConclusive) {
            done(out);
        }
    });
}

void FleetNode::answerAdvice(const std::string &from, const FleetAdviceRequestMessage &ask)
{
    m_platform.advisor.ask(ask.step, ask.workers, Millis(ask.timeoutMs), [this, from, call = ask.call](const AdviceResponse &answer) {
        FleetAdviceResponseMessage out;
        out.call = call;
        out.isAnswered = answer.isAnswered;
        out.isBusy = answer.isBusy;
        out.reason = answer.reason;
        for (const auto &it : answer.allowed) {
            out.workers.push_back(it.worker);
            out.tickets.push_back(it.ticket);
        }
        m_hub.send(from, out);
    });
}

void FleetNode::answerConfigurationRequest(const std::string &from, const FleetConfigurationRequestMessage &ask)
{
    if (m_configuration.version() > ask.version) {
        m_hub.send(from, FleetConfigurationMessage {m_configuration.text()});
        m_metrics.count("configurations_sent_total");
    }
}

void FleetNode::answerStore(const std::string &from, const FleetStoreRequestMessage &ask)
{
    if (isAlreadyStored(ask.key)) {
        m_hub.send(from, FleetStoreResponseMessage {ask.call, std::string(nameOf(SubmitOutcome::Accepted)), {}});
        return;
    }
    const auto deadline = monotonicNow() + Millis(ask.budgetMs);
    const KeyedRecord record {ask.key, ask.value, 0};
    auto done = beginAttempt(record.key, [this, from, record, call = ask.call](const SubmitResult &answer) {
        if (answer.outcome == SubmitOutcome::Accepted) {
            notifyPlannerOfStored(record);
        }
        m_hub.send(from, FleetStoreResponseMessage {call, std::string(nameOf(answer.outcome)), answer.reason});
    });
    m_jobRecords.store(record, deadline, std::move(done));
}

void FleetNode::requestAdvice(const AdviceRequest &request, std::function<void(const AdviceResponse &)> done)
{
    if (request.proxy == m_settings.name) {
        m_platform.advisor.ask(request.step, request.workers, request.timeout, std::move(done));
        return;
    }
    const auto call = m_nextCall++;
    m_adviceCalls[call] = std::make_shared<AdviceCall>(AdviceCall {request.proxy, monotonicNow() + request.timeout, std::move(done)});
    m_hub.send(request.proxy, FleetAdviceRequestMessage {call, request.step, request.workers, request.timeout.count()});
}

// Each record in the topic of the leadership delays the claims, which are appended only at its end. A process that starts again at its address is registered.
void FleetNode::registerIfNeeded()
{
    if (m_isRegistered || m_isRegistering || m_isStopping) {
        return;
    }
    m_isRegistering = true;
    AppendRequest request;
    request.topic = StateTopic::Leadership;
    request.records.push_back({NodeKeyPrefix + m_settings.name, encodeLeadership(ownLeadershipRecord(m_settings)), 0});
    request.timeout = RegisterTimeout;
    m_platform.log.append(std::move(request), [this](const AppendResult &result) {
        m_isRegistered = m_isRegistered || result.outcome == AppendOutcome::Stored;
        QTimer::singleShot(static_cast<int>(RegisterRetryPause.count()), this, [this]() {
            m_isRegistering = false;
            registerIfNeeded();
        });
    });
}

void FleetNode::forgetNode(const std::string &node)
{
    m_unlinkedSince.erase(node);
    m_hub.removePeer(node);
}

void FleetNode::unregisterLostNodes(TimePoint now)
{
    for (const auto &it : m_hub.linkedPeers()) {
        m_unlinkedSince[it.name] = now;
    }
    if (!m_planner || !m_isLogReachable) {
        return;
    }
    AppendRequest request;
    request.topic = StateTopic::Leadership;
    request.timeout = RegisterTimeout;
    for (auto &[node, since] : m_unlinkedSince) {
        if (now - since > LostNodeTimeout) {
            request.records.push_back({NodeKeyPrefix + node, std::nullopt, 0});
            since = now;
        }
    }
    if (request.records.empty()) {
        return;
    }
    m_platform.log.append(std::move(request), [this](const AppendResult &result) {
        m_events.write("lost_nodes_dropped", {{"outcome", std::string(nameOf(result.outcome))}, {"reason", result.reason}});
    });
}

bool FleetNode::isLinkedToLeader() const
{
    const auto linked = m_hub.linkedPeers();
    return m_election.leader() && std::any_of(linked.begin(), linked.end(), [this](const PeerInfo &it) {
               return it.name == m_election.leader()->node;
           });
}

} // namespace marjoramhaven
