#include "marjoramhaven/fleetnode/FleetNode.h"

#include <algorithm>
#include <random>

#include "FleetNodeCalls.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr Millis TickInterval {50};
constexpr Millis LongPollWait {1000};
constexpr Millis HeartbeatInterval {200};
constexpr Millis LinkTimeout {700};

std::uint64_t randomCallNumber()
{
    constexpr int HalfBits = 32;
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << HalfBits) | random();
}

std::uint64_t seedOf(const std::string &name)
{
    return std::hash<std::string> {}(name);
}

} // namespace

FleetNode::FleetNode(FleetNodeSettings settings, FleetPlatform platform, EventLog &events, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_events(events)
    , m_metrics(metrics)
    , m_hub({m_settings.name, m_settings.zone}, seedOf(m_settings.name))
    , m_election(ownLeadershipRecord(m_settings), ElectionTimings {})
    , m_operatorFollower(m_platform.log, StateTopic::Operator, LongPollWait, Millis(0), CatchUp::SkipToNewest)
    , m_leadershipFollower(m_platform.log, StateTopic::Leadership, LongPollWait, Millis(0))
    , m_jobRecords(m_platform.log)
    , m_configuration(m_settings.bounds.configurationApply)
    , m_nextCall(randomCallNumber())
{
    m_operatorFollower.onRecords = [this](const std::vector<KeyedRecord> &records) {
        handleOperatorRecords(records);
    };
    m_leadershipFollower.onReachabilityChanged = [this](bool isReachable, const std::string & /*reason*/) {
        m_isLogReachable = isReachable;
        m_jobRecords.setLogReachable(isReachable, monotonicNow());
        sendHeartbeats();
    };
    m_operatorFollower.onReachabilityChanged = [this](bool isReachable, const std::string &reason) {
        m_events.write(isReachable ? "store_regained" : "store_lost",
                       {{"reason", reason},
                        {"next", m_operatorFollower.nextOffset()},
                        {"configuration", m_configuration.version()},
                        {"newest_known", m_configuration.newestKnownVersion()},
                        {"proof_age_ms", configurationProofAgeMs(monotonicNow())}});
    };
    m_jobRecords.setNotStoredHandler([this](const std::vector<std::string> &keys, const AppendResult &result) {
        logUnstoredRecords(keys, result);
    });
    m_leadershipFollower.onRecords = [this](const std::vector<KeyedRecord> &records) {
        handleLeadershipRecords(records);
    };
    connect(&m_hub, &PeerHub::received, this, [this](const std::string &from, const PeerMessage &message) {
        handleMessage(from, message);
    });
    connect(&m_hub, &PeerHub::bytesReceived, this, [this](const std::string &from) {
        m_lastHeardAt[from] = monotonicNow();
    });
    connect(&m_hub, &PeerHub::peerUp, this, [this](const std::string &name, const std::string & /*zone*/) {
        const auto now = monotonicNow();
        m_lastHeardAt[name] = now;
        if (m_election.leader() && m_election.leader()->node == name) {
            m_election.setLeaderLinked(true, now);
        }
        if (m_planner) {
            m_planner->addAdvisorProxy(name);
        }
        m_events.write("peer_linked", {{"peer", name}});
        processPendingQueries(now);
    });
    connect(&m_hub, &PeerHub::peerDown, this, [this](const std::string &name) {
        if (m_election.leader() && m_election.leader()->node == name) {
            m_election.setLeaderLinked(false, monotonicNow());
        }
        if (m_planner) {
            m_planner->removeAdvisorProxy(name);
        }
        m_configurationCopies.forget(name);
        rerouteStoreCallsFrom(name);
        m_events.write("peer_lost", {{"peer", name}});
    });
    m_ticker.setTimerType(Qt::PreciseTimer);
    connect(&m_ticker, &QTimer::timeout, this, [this]() {
        tick();
    });
}

FleetNode::~FleetNode()
{
    if (m_planner) {
        m_planner->shutDown();
    }
    m_operatorFollower.stop();
    m_leadershipFollower.stop();
    disconnect(&m_hub, nullptr, this, nullptr);
    m_hub.shutDown();
}

bool FleetNode::start()
{
    if (m_hub.listenOn(m_settings.peers.host, m_settings.peers.port) == 0) {
        return false;
    }
    m_election.setProcessorCores(m_settings.processorCores);
    m_lastLinkedAt = monotonicNow();
    m_leadershipFollower.start();
    m_operatorFollower.start();
    m_ticker.start(static_cast<int>(TickInterval.count()));
    return true;
}

bool FleetNode::isReady() const
{
    const bool isConfigured = m_configuration.configuration() != nullptr && !m_configuration.isOutdated(monotonicNow());
    return !m_isStopping && isConfigured && (m_isLogReachable || m_planner || isLinkedToLeader());
}

void FleetNode::beginStop()
{
    m_isStopping = true;
    m_election.withdraw();
    if (m_planner) {
        m_planner->retire();
    }
    m_events.write("stopping", {{"leading", static_cast<std::int64_t>(m_election.isLeading())}});
    appendLeadershipIfDue(monotonicNow());
}

void FleetNode::recoverFromError(const std::string &reason)
{
    m_events.write("unexpected_error", {{"reason", reason}, {"leading", static_cast<std::int64_t>(m_planner != nullptr)}});
    m_metrics.count("unexpected_errors_total");
    if (m_planner) {
        m_election.dropLeadership(monotonicNow());
        stopPlanner("an event handler failed: " + reason);
    }
}

bool FleetNode::isIdle() const
{
    return m_pendingQueries.empty() && m_storeCalls.empty() && m_jobRecords.pendingCount() == 0 && m_election.isWithdrawn();
}

void FleetNode::updateGauges()
{
    const auto now = monotonicNow();
    m_metrics.gauge("leading", m_election.isLeading() ? 1 : 0);
    m_metrics.gauge("planner_fence", static_cast<double>(m_election.leaderFencingToken()));
    m_metrics.gauge("configuration_version", static_cast<double>(m_configuration.version()));
    m_metrics.gauge("configuration_newest_known", static_cast<double>(m_configuration.newestKnownVersion()));
    m_metrics.gauge("configuration_proof_age_ms", static_cast<double>(configurationProofAgeMs(now)));
    m_metrics.gauge("log_answer_age_ms", static_cast<double>((now - m_leadershipFollower.lastAnswerAt()).count()));
    m_metrics.gauge("peers_linked", static_cast<double>(m_hub.linkedPeers().size()));
    m_metrics.gauge("questions_waiting", static_cast<double>(m_pendingQueries.size()));
    m_metrics.gauge("records_waiting", static_cast<double>(m_jobRecords.pendingCount() + m_storeCalls.size()));
    m_metrics.gauge("runs", m_planner ? static_cast<double>(m_planner->planner().runCount()) : 0);
    const auto confirmationAge = m_planner ? m_planner->planner().confirmationAge(now) : std::nullopt;
    m_metrics.gauge("leadership_confirmation_age_ms", confirmationAge ? static_cast<double>(confirmationAge->count()) : -1);
    m_metrics.gauge("workers", m_planner ? static_cast<double>(m_planner->planner().workers().size()) : 0);
}

void FleetNode::tick()
{
    const auto now = monotonicNow();
    appendLeadershipIfDue(now);
    if (now >= m_nextHeartbeatAt) {
        m_nextHeartbeatAt = now + HeartbeatInterval;
        sendHeartbeats();
    }
    for (const auto &it : m_hub.linkedPeers()) {
        if (now - m_lastHeardAt[it.name] > (isPlannerLink(it.name) ? LinkTimeout : LinkTimeout * NonPlannerHeartbeatFactor)) {
            m_events.write("peer_silent", {{"peer", it.name}, {"silent_ms", (now - m_lastHeardAt[it.name]).count()}});
            m_hub.closeLink(it.name);
        }
    }
    m_hub.tick(now);
    unregisterLostNodes(now);
    updateFallbackReader(now);
    processPendingQueries(now);
    checkStoreCalls(now);
    std::vector<std::shared_ptr<AdviceCall>> expired;
    std::erase_if(m_adviceCalls, [&](const auto &it) {
        const bool isExpired = it.second->deadline <= now;
        if (isExpired) {
            expired.push_back(it.second);
        }
        return isExpired;
    });
    for (const auto &it : expired) {
        AdviceResponse answer;
        answer.reason = "no answer to the advisor call from process " + it->process;
        it->done(answer);
    }
}

void FleetNode::handleOperatorRecords(const std::vector<KeyedRecord> &records)
{
    for (const auto &it : records) {
        if (it.key == m_platform.configurationKey && it.value) {
            m_isNewestUnreadable = !applyConfiguration(*it.value, "log");
        }
    }
    const auto at = m_operatorFollower.currentAsOf();
    if (at && !m_isNewestUnreadable) {
        m_configuration.noteProof(*at);
    }
}

std::int64_t FleetNode::configurationProofAgeMs(TimePoint now) const
{
    const auto age = m_configuration.proofAge(now);
    return age ? age->count() : -1;
}

bool FleetNode::applyConfiguration(const std::string &text, const std::string &source)
{
    if (text == m_configuration.text()) {
        return true;
    }
    auto configuration = m_platform.decodeConfiguration(text);
    if (!configuration) {
        m_events.write("configuration_unreadable", {{"source", source}, {"reason", lastReason()}});
        return false;
    }
    const auto previous = m_configuration.version();
    if (!m_configuration.apply(std::move(*configuration), text, source)) {
        return true;
    }
    m_events.write("configuration_in_force",
                   {{"version", m_configuration.version()},
                    {"previous", previous},
                    {"queues", static_cast<std::int64_t>(this->configuration()->queueCount())},
                    {"bytes", static_cast<std::int64_t>(text.size())},
                    {"source", source}});
    if (m_planner) {
        m_planner->configurationChanged(*this->configuration());
    }
    return true;
}

} // namespace marjoramhaven
