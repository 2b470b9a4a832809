#include "marjoramhaven/fleetnode/FleetNode.h"

#include <algorithm>
#include <random>

#include "FleetNodeCalls.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr Millis TickEvery {50};
constexpr Millis FollowWait {1000};
constexpr Millis BeatEvery {200};
constexpr Millis LinkSilence {700};

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
    , m_claim(leadershipSelfOf(m_settings), ClaimTimes {})
    , m_operator(m_platform.log, StateTopic::Operator, FollowWait, Millis(0))
    , m_leadership(m_platform.log, StateTopic::Leadership, FollowWait, Millis(0))
    , m_writer(m_platform.log, StateTopic::Jobs)
    , m_nextCall(randomCallNumber())
{
    m_operator.onRecords = [this](const std::vector<KeyedRecord> &records) {
        takeConfiguration(records);
    };
    m_leadership.onReachable = [this](bool isReachable, const std::string & /*reason*/) {
        m_canReadLog = isReachable;
        m_writer.setLogAnswering(isReachable, monotonicNow());
        sendBeats();
    };
    m_operator.onReachable = [this](bool isReachable, const std::string &reason) {
        m_events.write(isReachable ? "store_regained" : "store_lost", {{"reason", reason}});
    };
    m_leadership.onRecords = [this](const std::vector<KeyedRecord> &records) {
        takeLeadership(records);
    };
    connect(&m_hub, &PeerHub::received, this, [this](const std::string &from, const PeerMessage &message) {
        m_heardAt[from] = monotonicNow();
        takeMessage(from, message);
    });
    connect(&m_hub, &PeerHub::peerUp, this, [this](const std::string &name, const std::string & /*zone*/) {
        const auto now = monotonicNow();
        m_heardAt[name] = now;
        if (m_claim.leader() && m_claim.leader()->node == name) {
            m_claim.setPlannerLinked(true, now);
        }
        if (m_planner) {
            m_planner->helperJoined(name);
        }
        m_events.write("peer_linked", {{"peer", name}});
        askAgain(now);
    });
    connect(&m_hub, &PeerHub::peerDown, this, [this](const std::string &name) {
        if (m_claim.leader() && m_claim.leader()->node == name) {
            m_claim.setPlannerLinked(false, monotonicNow());
        }
        if (m_planner) {
            m_planner->helperLeft(name);
        }
        m_spread.forget(name);
        storeDirectlyInsteadOf(name);
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
    m_operator.stop();
    m_leadership.stop();
    disconnect(&m_hub, nullptr, this, nullptr);
    m_hub.shutDown();
}

bool FleetNode::start()
{
    if (m_hub.listenOn(m_settings.peers.host, m_settings.peers.port) == 0) {
        return false;
    }
    m_claim.setProcessorShare(m_settings.processorCores);
    m_linkedAt = monotonicNow();
    registerSelf();
    m_leadership.start();
    m_operator.start();
    m_ticker.start(static_cast<int>(TickEvery.count()));
    return true;
}

bool FleetNode::isReady() const
{
    return !m_isStopping && m_configuration.has_value() && (m_canReadLog || m_planner || isLinkedToLeader());
}

const FleetConfiguration *FleetNode::configuration() const
{
    return m_configuration ? &*m_configuration : nullptr;
}

void FleetNode::beginStop()
{
    m_isStopping = true;
    m_claim.retire();
    if (m_planner) {
        m_planner->retire();
    }
    m_events.write("stopping", {{"leading", static_cast<std::int64_t>(m_claim.isLeading())}});
    claimWhenDue(monotonicNow());
}

bool FleetNode::isIdle() const
{
    return m_questions.empty() && m_storeCalls.empty() && m_writer.waiting() == 0 && m_claim.isRetired();
}

void FleetNode::observe()
{
    const auto now = monotonicNow();
    m_metrics.gauge("leading", m_claim.isLeading() ? 1 : 0);
    m_metrics.gauge("planner_fence", static_cast<double>(m_claim.leaderFence()));
    m_metrics.gauge("configuration_version", m_configuration ? static_cast<double>(m_configuration->version) : -1);
    m_metrics.gauge("log_answer_age_ms", static_cast<double>((now - m_leadership.lastAnswerAt()).count()));
    m_metrics.gauge("peers_linked", static_cast<double>(m_hub.linked().size()));
    m_metrics.gauge("questions_waiting", static_cast<double>(m_questions.size()));
    m_metrics.gauge("records_waiting", static_cast<double>(m_writer.waiting() + m_storeCalls.size()));
    m_metrics.gauge("runs", m_planner ? static_cast<double>(m_planner->planner().runCount()) : 0);
    m_metrics.gauge("workers", m_planner ? static_cast<double>(m_planner->planner().workers().size()) : 0);
}

void FleetNode::tick()
{
    const auto now = monotonicNow();
    claimWhenDue(now);
    if (now >= m_nextBeatAt) {
        m_nextBeatAt = now + BeatEvery;
        sendBeats();
    }
    for (const auto &it : m_hub.linked()) {
        if (now - m_heardAt[it.name] > (isFastLink(it.name) ? LinkSilence : LinkSilence * SlowBeats)) {
            m_events.write("peer_silent", {{"peer", it.name}, {"silent_ms", (now - m_heardAt[it.name]).count()}});
            m_hub.closeLink(it.name);
        }
    }
    m_hub.tick(now);
    dropLostNodes(now);
    readAloneWhenDue(now);
    askAgain(now);
    checkStoreCalls(now);
    std::vector<std::shared_ptr<AdviceCall>> late;
    std::erase_if(m_adviceCalls, [&](const auto &it) {
        const bool isLate = it.second->deadline <= now;
        if (isLate) {
            late.push_back(it.second);
        }
        return isLate;
    });
    for (const auto &it : late) {
        AdviceAnswer answer;
        answer.reason = "no answer from " + it->helper;
        it->done(answer);
    }
}

void FleetNode::takeConfiguration(const std::vector<KeyedRecord> &records)
{
    for (const auto &it : records) {
        if (it.key == m_platform.configurationKey && it.value) {
            applyConfiguration(*it.value, "log");
        }
    }
}

void FleetNode::applyConfiguration(const std::string &text, const std::string &source)
{
    if (text == m_configurationText) {
        return;
    }
    auto configuration = m_platform.readConfiguration(text);
    if (!configuration) {
        m_events.write("configuration_unreadable", {{"source", source}, {"reason", lastReason()}});
        return;
    }
    if (m_configuration && configuration->version <= m_configuration->version) {
        return;
    }
    m_configuration = std::move(configuration);
    m_configurationText = text;
    m_events.write("configuration_in_force",
                   {{"version", m_configuration->version}, {"queues", static_cast<std::int64_t>(m_configuration->queueCount())}, {"source", source}});
    if (m_planner) {
        m_planner->configurationChanged(*m_configuration);
    }
}

void FleetNode::takeLeadership(const std::vector<KeyedRecord> &records)
{
    const auto now = monotonicNow();
    std::vector<std::pair<std::int64_t, LeadershipRecord>> read;
    for (const auto &it : records) {
        if (!it.value && it.key.starts_with(NodeKeyPrefix)) {
            forgetNode(it.key.substr(sizeof(NodeKeyPrefix) - 1));
        }
        const auto record = it.value ? decodeLeadership(*it.value) : std::nullopt;
        if (!record) {
            continue;
        }
        if (!it.key.starts_with(NodeKeyPrefix)) {
            read.emplace_back(it.offset, *record);
        } else if (record->node != m_settings.name) {
            m_unlinkedSince[record->node] = now;
            m_hub.setPeers({{record->node, record->host, record->port}});
        }
    }
    m_canReadLog = true;
    m_writer.setLogAnswering(true, now);
    m_claim.observeDelay(m_leadership.lastDelay());
    m_claim.recordsRead(read, m_leadership.next(), now);
    followLeader();
    claimWhenDue(now);
}

void FleetNode::claimWhenDue(TimePoint now)
{
    const auto append = m_claim.nextAppend(now);
    if (!append) {
        return;
    }
    constexpr char Key[] = "planner";
    constexpr Millis ClaimTimeout {1500};
    AppendRequest request;
    request.topic = StateTopic::Leadership;
    request.records.push_back({Key, encodeLeadership(append->record), 0});
    request.expectedEnd = append->expectedEnd;
    request.timeout = ClaimTimeout;
    const bool isClaim = append->record.claimOffset < 0;
    m_platform.log.append(std::move(request), [this, isClaim](const AppendResult &result) {
        if (isClaim || result.outcome != AppendOutcome::Stored) {
            m_events.write(isClaim ? "claim_answered" : "heartbeat_not_stored",
                           {{"outcome", std::string(nameOf(result.outcome))}, {"offset", result.offset}, {"reason", result.reason}});
        }
        m_claim.appendFinished(result, monotonicNow());
        followLeader();
    });
}

void FleetNode::followLeader()
{
    const bool shouldPlan = m_claim.isLeading() && !m_isStopping;
    if (m_planner && (!m_claim.isLeading() || m_planner->planner().fence() != m_claim.fence())) {
        endPlanning("the log names another planner");
    }
    if (shouldPlan && !m_planner) {
        beginPlanning();
        sendBeats();
    }
    const auto &leader = m_claim.leader();
    if (!leader || leader->node == m_settings.name) {
        return;
    }
    const auto address = leader->node + "@" + leader->host + ":" + std::to_string(leader->port);
    if (address != m_followed) {
        m_followed = address;
        m_isLeaderBlind = false;
        m_events.write("planner_known", {{"planner", leader->node}, {"fence", m_claim.leaderFence()}});
        m_hub.setPeers({{leader->node, leader->host, leader->port}});
        const auto now = monotonicNow();
        m_claim.setPlannerLinked(isLinkedToLeader(), now);
        m_hub.tick(now);
        askAgain(now);
    }
}

void FleetNode::beginPlanning()
{
    PlannerServices services {m_platform.log,
                              m_platform.workers,
                              m_events,
                              m_metrics,
                              m_platform.readWorker,
                              [this](const AdviceOrder &order, std::function<void(const AdviceAnswer &)> done) {
                                  routeAdvice(order, std::move(done));
                              },
                              [this](const std::string &why) {
                                  // The planner may be in the middle of a decision.
                                  QTimer::singleShot(0, this, [this, why]() {
                                      m_claim.resign(monotonicNow());
                                      endPlanning(why);
                                  });
                              }};
    PlannerLimits limits;
    limits.longestLease = m_settings.bounds.maxLease;
    limits.stopTime = m_settings.bounds.stopTime;
    limits.statusRetention = m_settings.bounds.statusRetention;
    limits.early = m_settings.bounds.early;
    limits.impact = m_settings.bounds.impact;
    m_planner = std::make_unique<PlannerHost>(std::move(services), limits, m_claim.fence(), m_configuration.value_or(FleetConfiguration {}));
    m_planner->helperJoined(m_settings.name);
    const auto now = monotonicNow();
    for (const auto &it : m_hub.linked()) {
        m_planner->helperJoined(it.name);
        // Until now these links beat rarely; their silence is judged by the planner's shorter bound from here on.
        m_heardAt[it.name] = now;
    }
    m_metrics.count("takeovers_total");
    m_planner->start();
}

void FleetNode::endPlanning(const std::string &why)
{
    if (!m_planner) {
        return;
    }
    m_events.write("planner_end", {{"fence", m_planner->planner().fence()}, {"reason", why}});
    m_planner->shutDown();
    m_planner.release()->deleteLater();
    m_adviceCalls.clear();
}

} // namespace marjoramhaven
