#include "marjoramhaven/fleetnode/FleetNode.h"

#include <algorithm>
#include <random>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr Millis TickEvery {50};
constexpr Millis FollowWait {1000};
constexpr Millis BeatEvery {200};
constexpr Millis LinkSilence {700};
// Links on which neither end plans beat this many times more slowly.
constexpr int SlowBeats = 5;
// A question that was sent is sent again after this time, as its planner may have gone.
constexpr Millis AskAgainAfter {600};
constexpr Millis AnswerMargin {150};
constexpr char NodeKeyPrefix[] = "node/";
constexpr Millis RegisterTimeout {1500};
constexpr Millis RegisterAgainAfter {300};
// A process that no planner could link with for this long is taken off the list; it registers again if it returns.
constexpr Millis DropNodeAfter {120'000};
// While its link to the planner lives, a process stores a record itself only when this much of its time is left.
constexpr Millis DirectStoreNeeds {1100};

std::string freshIncarnation(const std::string &name)
{
    std::random_device random;
    return name + "/" + std::to_string(random()) + std::to_string(random());
}

LeadershipRecord selfOf(const FleetNodeSettings &settings)
{
    LeadershipRecord out;
    out.node = settings.name;
    out.host = settings.peers.host;
    out.port = settings.peers.port;
    out.incarnation = freshIncarnation(settings.name);
    return out;
}

std::uint64_t seedOf(const std::string &name)
{
    return std::hash<std::string> {}(name);
}

} // namespace

// A caller's question that waits for the planner's answer.
struct FleetNode::Question {
    std::uint64_t call = 0;
    FleetQueryMessage message;
    TimePoint deadline;
    TimePoint askAgainAt {};
    std::function<void(const FleetQueryAnswerMessage *)> done;
};

// A call for advice that a peer makes for the planner of this process.
struct FleetNode::AdviceCall {
    std::string helper;
    TimePoint deadline;
    std::function<void(const AdviceAnswer &)> done;
};

// A record that the planner is asked to store.
struct FleetNode::StoreCall {
    KeyedRecord record;
    TimePoint deadline;
    /// When this process stores it itself, for want of an answer.
    TimePoint directAt;
    RecordWriter::Done done;
    bool isAnswered = false;
    /// True while the planner may have stored it, or may still do so.
    bool mayBeStored = false;
    bool isDirect = false;
    /// The planner that was asked.
    std::string peer;
};

FleetNode::FleetNode(FleetNodeSettings settings, FleetPlatform platform, EventLog &events, Metrics &metrics, QObject *parent)
    : QObject(parent)
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_events(events)
    , m_metrics(metrics)
    , m_hub({m_settings.name, m_settings.zone}, seedOf(m_settings.name))
    , m_claim(selfOf(m_settings), ClaimTimes {})
    , m_operator(m_platform.log, StateTopic::Operator, FollowWait, Millis(0))
    , m_leadership(m_platform.log, StateTopic::Leadership, FollowWait, Millis(0))
    , m_writer(m_platform.log, StateTopic::Jobs)
{
    m_operator.onRecords = [this](const std::vector<KeyedRecord> &records) {
        takeConfiguration(records);
    };
    m_leadership.onReachable = [this](bool isReachable, const std::string & /*reason*/) {
        m_canReadLog = isReachable;
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

void FleetNode::registerSelf()
{
    AppendRequest request;
    request.topic = StateTopic::Leadership;
    request.records.push_back({NodeKeyPrefix + m_settings.name, encodeLeadership(selfOf(m_settings)), 0});
    request.timeout = RegisterTimeout;
    m_platform.log.append(std::move(request), [this](const AppendResult &result) {
        if (result.outcome != AppendOutcome::Stored && !m_isStopping) {
            QTimer::singleShot(static_cast<int>(RegisterAgainAfter.count()), this, [this]() {
                registerSelf();
            });
        }
    });
}

void FleetNode::sendBeats()
{
    FleetBeatMessage beat;
    const auto &leader = m_claim.leader();
    if (leader) {
        beat.fence = m_claim.leaderFence();
        beat.planner = leader->node;
        beat.plannerHost = leader->host;
        beat.plannerPort = leader->port;
    }
    beat.isPlannerBlind = m_planner && !m_canReadLog;
    beat.configurationVersion = m_configuration ? m_configuration->version : -1;
    ++m_beats;
    for (const auto &it : m_hub.linked()) {
        if (m_beats % SlowBeats == 0 || isFastLink(it.name)) {
            m_hub.send(it.name, beat);
        }
    }
}

bool FleetNode::isFastLink(const std::string &peer) const
{
    return m_planner || (m_claim.leader() && m_claim.leader()->node == peer);
}

void FleetNode::takeBeat(const std::string &from, const FleetBeatMessage &beat)
{
    const auto now = monotonicNow();
    if (beat.fence > m_claim.leaderFence() && !beat.planner.empty()) {
        LeadershipRecord record;
        record.node = beat.planner;
        record.host = beat.plannerHost;
        record.port = beat.plannerPort;
        record.claimOffset = beat.fence - 1;
        m_claim.learnLeader(record, now);
        followLeader();
    }
    if (m_claim.leader() && m_claim.leader()->node == from && !m_planner) {
        if (beat.isPlannerBlind && !m_isLeaderBlind) {
            storeDirectlyInsteadOf(from);
        }
        m_isLeaderBlind = beat.isPlannerBlind;
        m_claim.setPlannerLinked(!m_isLeaderBlind, now);
    }
    const auto ownVersion = m_configuration ? m_configuration->version : -1;
    if (beat.configurationVersion < ownVersion) {
        m_hub.send(from, FleetConfigurationMessage {m_configurationText});
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
                   {{"version", m_configuration->version}, {"queues", static_cast<std::int64_t>(m_configuration->queues.size())}, {"source", source}});
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
    m_claim.observeDelay(m_leadership.lastDelay());
    m_claim.recordsRead(read, m_leadership.next(), now);
    followLeader();
    claimWhenDue(now);
}

void FleetNode::forgetNode(const std::string &node)
{
    m_unlinkedSince.erase(node);
    m_hub.forgetPeer(node);
}

void FleetNode::dropLostNodes(TimePoint now)
{
    for (const auto &it : m_hub.linked()) {
        m_unlinkedSince[it.name] = now;
    }
    if (!m_planner || !m_canReadLog) {
        return;
    }
    AppendRequest request;
    request.topic = StateTopic::Leadership;
    request.timeout = RegisterTimeout;
    for (auto &[node, since] : m_unlinkedSince) {
        if (now - since > DropNodeAfter) {
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

bool FleetNode::isLinkedToLeader() const
{
    const auto linked = m_hub.linked();
    return m_claim.leader() && std::any_of(linked.begin(), linked.end(), [this](const PeerInfo &it) {
               return it.name == m_claim.leader()->node;
           });
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
    for (const auto &it : m_hub.linked()) {
        m_planner->helperJoined(it.name);
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

void FleetNode::routeAdvice(const AdviceOrder &order, std::function<void(const AdviceAnswer &)> done)
{
    if (order.helper == m_settings.name) {
        m_platform.advisor.ask(order.step, order.workers, order.timeout, std::move(done));
        return;
    }
    const auto call = m_nextCall++;
    m_adviceCalls[call] = std::make_shared<AdviceCall>(AdviceCall {order.helper, monotonicNow() + order.timeout, std::move(done)});
    m_hub.send(order.helper, FleetAdviceAskMessage {call, order.step, order.workers, order.timeout.count()});
}

void FleetNode::takeMessage(const std::string &from, const PeerMessage &message)
{
    if (const auto *beat = std::get_if<FleetBeatMessage>(&message)) {
        takeBeat(from, *beat);
    } else if (const auto *configuration = std::get_if<FleetConfigurationMessage>(&message)) {
        applyConfiguration(configuration->text, from);
    } else if (const auto *query = std::get_if<FleetQueryMessage>(&message)) {
        answerQuery(from, *query);
    } else if (const auto *answer = std::get_if<FleetQueryAnswerMessage>(&message)) {
        const auto it = m_questions.find(answer->call);
        if (it != m_questions.end() && answer->isLeading) {
            const auto question = it->second;
            m_questions.erase(it);
            question->done(answer);
        }
    } else if (const auto *ask = std::get_if<FleetAdviceAskMessage>(&message)) {
        answerAdvice(from, *ask);
    } else if (const auto *store = std::get_if<FleetStoreAskMessage>(&message)) {
        answerStore(from, *store);
    } else if (const auto *stored = std::get_if<FleetStoreAnswerMessage>(&message)) {
        takeStoreAnswer(*stored);
    } else if (const auto *advice = std::get_if<FleetAdviceAnswerMessage>(&message)) {
        const auto it = m_adviceCalls.find(advice->call);
        if (it == m_adviceCalls.end()) {
            return;
        }
        const auto call = it->second;
        m_adviceCalls.erase(it);
        AdviceAnswer out {advice->isAnswered, advice->isBusy, {}, advice->reason};
        for (std::size_t i = 0; i < std::min(advice->workers.size(), advice->tickets.size()); ++i) {
            out.allowed.push_back({advice->workers[i], advice->tickets[i]});
        }
        call->done(out);
    }
}

void FleetNode::answerQuery(const std::string &from, const FleetQueryMessage &query)
{
    FleetQueryAnswerMessage out;
    out.call = query.call;
    if (!m_planner || !m_planner->isOpen()) {
        return;
    }
    out.isLeading = true;
    if (query.job.empty()) {
        out.isKnown = true;
        out.pending = m_planner->pendingOf(query.host, query.prefix);
        m_hub.send(from, out);
        return;
    }
    m_planner->query(query.job, [this, from, out](const std::optional<FleetJobState> &state, bool isSure) mutable {
        out.isKnown = state.has_value();
        out.state = state ? std::string(nameOf(*state)) : "";
        if (state || isSure) {
            m_hub.send(from, out);
        }
    });
}

void FleetNode::answerAdvice(const std::string &from, const FleetAdviceAskMessage &ask)
{
    m_platform.advisor.ask(ask.step, ask.workers, Millis(ask.timeoutMs), [this, from, call = ask.call](const AdviceAnswer &answer) {
        FleetAdviceAnswerMessage out;
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

bool FleetNode::isStoredAlready(const std::string &key) const
{
    const std::string prefix = acceptanceKey({});
    return m_planner && m_planner->isOpen() && key.starts_with(prefix) && m_planner->knows(key.substr(prefix.size()));
}

void FleetNode::answerStore(const std::string &from, const FleetStoreAskMessage &ask)
{
    if (isStoredAlready(ask.key)) {
        m_hub.send(from, FleetStoreAnswerMessage {ask.call, std::string(nameOf(SubmitVerdict::Accepted)), {}});
        return;
    }
    const auto deadline = monotonicNow() + Millis(ask.budgetMs);
    m_writer.store({ask.key, ask.value, 0}, deadline, [this, from, call = ask.call](const SubmitAnswer &answer) {
        m_hub.send(from, FleetStoreAnswerMessage {call, std::string(nameOf(answer.verdict)), answer.reason});
    });
}

void FleetNode::storeRecord(KeyedRecord record, Millis budget, RecordWriter::Done done)
{
    if (isStoredAlready(record.key)) {
        done({SubmitVerdict::Accepted, Millis(0), {}});
        return;
    }
    const auto now = monotonicNow();
    const auto deadline = now + budget - AnswerMargin;
    const auto patience = std::max(budget - DirectStoreNeeds, budget / 2);
    auto call = std::make_shared<StoreCall>(StoreCall {std::move(record), deadline, now + patience, std::move(done), false, false, false, {}});
    if (m_planner || m_isLeaderBlind || !isLinkedToLeader()) {
        storeDirectly(call);
        return;
    }
    const auto number = m_nextCall++;
    const FleetStoreAskMessage ask {number, call->record.key, call->record.value.value_or(""), (deadline - now - AnswerMargin).count()};
    if (m_hub.send(m_claim.leader()->node, ask)) {
        call->mayBeStored = true;
        call->peer = m_claim.leader()->node;
        m_storeCalls[number] = call;
    } else {
        storeDirectly(call);
    }
}

void FleetNode::storeDirectly(const std::shared_ptr<StoreCall> &call)
{
    if (call->isDirect) {
        return;
    }
    call->isDirect = true;
    m_writer.store(call->record, call->deadline, [call](SubmitAnswer answer) {
        if (call->isAnswered) {
            return;
        }
        if (answer.verdict == SubmitVerdict::Refused && call->mayBeStored) {
            answer.verdict = SubmitVerdict::Unknown;
        }
        call->isAnswered = true;
        call->done(answer);
    });
}

void FleetNode::storeDirectlyInsteadOf(const std::string &peer)
{
    for (const auto &[number, call] : m_storeCalls) {
        if (call->peer == peer) {
            storeDirectly(call);
        }
    }
}

void FleetNode::takeStoreAnswer(const FleetStoreAnswerMessage &answer)
{
    const auto it = m_storeCalls.find(answer.call);
    if (it == m_storeCalls.end()) {
        return;
    }
    const auto call = it->second;
    m_storeCalls.erase(it);
    const auto verdict = valueOf<SubmitVerdict>(answer.verdict);
    if (call->isAnswered) {
        return;
    }
    if (verdict == SubmitVerdict::Accepted) {
        call->isAnswered = true;
        call->done({SubmitVerdict::Accepted, Millis(0), {}});
        return;
    }
    call->mayBeStored = verdict != SubmitVerdict::Refused;
    storeDirectly(call);
}

void FleetNode::checkStoreCalls(TimePoint now)
{
    std::vector<std::shared_ptr<StoreCall>> late;
    for (auto it = m_storeCalls.begin(); it != m_storeCalls.end();) {
        const auto &call = it->second;
        if (call->isAnswered || call->deadline <= now) {
            late.push_back(call);
            it = m_storeCalls.erase(it);
            continue;
        }
        if (call->directAt <= now) {
            storeDirectly(call);
        }
        ++it;
    }
    for (const auto &call : late) {
        if (!call->isAnswered) {
            call->isAnswered = true;
            call->done({SubmitVerdict::Unknown, Millis(0), "no answer from the planner"});
        }
    }
}

void FleetNode::ask(const std::shared_ptr<Question> &question)
{
    question->call = m_nextCall++;
    question->message.call = question->call;
    m_questions[question->call] = question;
    askAgain(monotonicNow());
}

void FleetNode::askAgain(TimePoint now)
{
    std::vector<std::shared_ptr<Question>> late;
    std::vector<std::shared_ptr<Question>> local;
    for (const auto &[call, it] : m_questions) {
        if (it->deadline <= now) {
            late.push_back(it);
        } else if (it->askAgainAt <= now && m_planner && m_planner->isOpen()) {
            local.push_back(it);
        } else if (it->askAgainAt <= now && isLinkedToLeader() && m_hub.send(m_claim.leader()->node, it->message)) {
            it->askAgainAt = now + AskAgainAfter;
        }
    }
    for (const auto &it : late) {
        m_questions.erase(it->call);
        it->done(nullptr);
    }
    for (const auto &it : local) {
        it->askAgainAt = now + AskAgainAfter;
        FleetQueryAnswerMessage out;
        out.call = it->call;
        out.isLeading = true;
        if (it->message.job.empty()) {
            out.isKnown = true;
            out.pending = m_planner->pendingOf(it->message.host, it->message.prefix);
            takeMessage(m_settings.name, out);
            continue;
        }
        m_planner->query(it->message.job, [this, out](const std::optional<FleetJobState> &state, bool isSure) mutable {
            out.isKnown = state.has_value();
            out.state = state ? std::string(nameOf(*state)) : "";
            if (state || isSure) {
                takeMessage(m_settings.name, out);
            }
        });
    }
}

void FleetNode::submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitAnswer &)> done)
{
    const auto id = request.id;
    const auto queue = request.queue.name;
    const auto receivedAt = monotonicNow();
    KeyedRecord record {acceptanceKey(id), encodeJobRequest(request), 0};
    storeRecord(std::move(record), budget, [this, id, queue, receivedAt, done = std::move(done)](const SubmitAnswer &answer) {
        const auto took = (monotonicNow() - receivedAt).count();
        m_events.write("submit",
                       {{"id", id},
                        {"queue", queue},
                        {"verdict", std::string(nameOf(answer.verdict))},
                        {"reason", answer.reason},
                        {"configuration", m_configuration ? m_configuration->version : 0},
                        {"took_ms", took}});
        m_metrics.count("submits_total{verdict=\"" + std::string(nameOf(answer.verdict)) + "\"}");
        m_metrics.observeMillis("submit_ms", static_cast<double>(took));
        done(answer);
    });
}

void FleetNode::query(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done)
{
    auto question = std::make_shared<Question>();
    question->message.job = job;
    question->deadline = monotonicNow() + budget - AnswerMargin;
    question->done = [done = std::move(done)](const FleetQueryAnswerMessage *answer) {
        QueryAnswer out;
        if (answer != nullptr) {
            const auto state = valueOf<FleetJobState>(answer->state);
            out.verdict = answer->isKnown && state ? QueryVerdict::Known : QueryVerdict::NoSuchJob;
            out.state = state.value_or(FleetJobState::Queued);
        }
        done(out);
    };
    ask(question);
}

void FleetNode::pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingAnswer &)> done)
{
    auto question = std::make_shared<Question>();
    question->message.host = queue.host;
    question->message.prefix = queue.prefix;
    question->deadline = monotonicNow() + budget - AnswerMargin;
    question->done = [done = std::move(done)](const FleetQueryAnswerMessage *answer) {
        done({answer != nullptr, answer == nullptr ? 0 : answer->pending});
    };
    ask(question);
}

void FleetNode::cancel(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done)
{
    storeRecord({cancellationKey(job), std::string("1"), 0}, budget, [this, job, done = std::move(done)](const SubmitAnswer &answer) {
        m_events.write("cancel", {{"id", job}, {"verdict", std::string(nameOf(answer.verdict))}, {"reason", answer.reason}});
        QueryAnswer out;
        out.verdict = answer.verdict == SubmitVerdict::Accepted ? QueryVerdict::Known : QueryVerdict::Unavailable;
        out.state = FleetJobState::Cancelled;
        done(out);
    });
}

} // namespace marjoramhaven
