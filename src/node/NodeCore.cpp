#include "marjoramhaven/node/NodeCore.h"

#include <algorithm>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr int TickMs = 20;
// A leaving worker must get no new work 3 s after the notice.
constexpr Millis LeaderListsEvery {2000};
constexpr Millis FollowerListsEvery {10'000};
constexpr Millis StatusEvery {200};
constexpr Millis ExportEvery {1000};
constexpr Millis ReadWait {2000};
constexpr Millis FirstReadRetry {100};
constexpr int MaxReadRetryDoublings = 4;
// Peers of other zones hear one beat in five.
constexpr std::uint64_t FarBeatEvery = 5;

std::uint64_t seedOf(const std::string &name)
{
    return std::hash<std::string>()(name) ^ static_cast<std::uint64_t>(millisOf(monotonicNow()));
}

ShortDecision notLeader()
{
    ShortDecision out;
    out.verdict = ShortVerdict::NotLeader;
    out.reason = "the zone's leader can't be reached from here";
    return out;
}

} // namespace

NodeCore::NodeCore(Settings settings, NodeShared &shared)
    : m_settings(std::move(settings))
    , m_shared(shared)
    , m_logService(m_http, toQt(m_settings.platformUrl))
    , m_vmList(m_http, toQt(m_settings.platformUrl))
    , m_workers(m_http)
    , m_appender(m_logService)
    , m_refresher(m_settings.refreshEvery, monotonicNow())
    , m_hub({m_settings.name, m_settings.zone}, seedOf(m_settings.name))
    , m_leadership(m_settings.name, seedOf(m_settings.name), monotonicNow())
{
    m_shared.fold.setListener([this](const LogRecord &record) {
        if (m_leader) {
            m_leader->onRecord(record, monotonicNow());
        }
    });
}

void NodeCore::shutDown()
{
    m_timer.stop();
    m_shared.fold.setListener({});
    m_leader.reset();
    m_http.shutDown();
    m_hub.shutDown();
    m_waiters.clear();
    m_shortCalls.clear();
    m_jobCalls.clear();
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
    m_hub.setPeers(std::move(peers));
    connect(&m_hub, &PeerHub::peerUp, this, &NodeCore::handlePeerUp);
    connect(&m_hub, &PeerHub::peerDown, this, &NodeCore::handlePeerDown);
    connect(&m_hub, &PeerHub::received, this, &NodeCore::handleMessage);
    connect(&m_timer, &QTimer::timeout, this, &NodeCore::tick);
    m_timer.start(TickMs);
    m_log.info(m_settings.name + " serves zone " + m_settings.zone);
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
        m_refresher.refresh(m_shared.fold, m_settings.zone, m_appender, now);
    }
    m_appender.tick(now);
    if (now >= m_nextBeat) {
        m_nextBeat = now + Leadership::BeatEvery;
        sendBeats(now);
    }
    if (!m_reading && now >= m_nextRead) {
        readLog();
    }
    if (!m_listing && now >= m_nextList) {
        listVms(now);
    }
    checkWaiters(now);
    expireCalls(now);
    if (now >= m_nextStatus) {
        m_nextStatus = now + StatusEvery;
        publishStatus(now);
    }
    if (now >= m_nextExport) {
        m_nextExport = now + ExportEvery;
        exportSpans(now);
    }
}

void NodeCore::updateRole(TimePoint now)
{
    if (m_fenced || (m_leader && m_leader->isCutOff(now))) {
        m_log.warn(m_fenced ? "steps down: a worker refused this leadership" : "steps down: no worker can be reached");
        m_fenced = false;
        m_leadership.stepDown(now);
    }
    if (m_leadership.leader() != m_knownLeader) {
        // A leader that was replaced may be paused, with its link still open: nobody waits for it.
        giveUpCallsTo(std::exchange(m_knownLeader, m_leadership.leader()), now);
    }
    if (m_leadership.isLeading() == (m_leader != nullptr)) {
        return;
    }
    if (m_leader) {
        m_leader->abandonHeld();
        m_leader.reset();
        m_log.info("leads zone " + m_settings.zone + " no longer");
    } else {
        const ZoneLeaderOptions options {m_settings.name, m_settings.zone, {m_settings.lease, m_settings.renewEvery}};
        m_leader = std::make_unique<ZoneLeader>(options, m_leadership.epoch(), m_workers, m_shared.fold, m_appender, now);
        m_leader->setFencedHandler([this](TimePoint) {
            m_fenced = true;
        });
        if (m_vms) {
            m_leader->setFleet(*m_vms, now);
        }
        m_nextList = now;
        m_log.info("leads zone " + m_settings.zone + " in epoch " + std::to_string(m_leadership.epoch()));
        m_shared.metrics.count("takeovers_total");
    }
    m_nextBeat = now;
}

void NodeCore::sendBeats(TimePoint now)
{
    const auto beat = m_leadership.beat(now);
    const auto current = m_shared.fold.configuration().current();
    BeatMessage message;
    message.epoch = beat.epoch;
    message.leading = beat.leading;
    message.follows = beat.follows;
    message.leaderAge = beat.leaderAge;
    message.sentAt = millisOf(now);
    message.configurationNumber = current.number;
    message.configurationHash = current.hash;
    // One voice a zone: pairs of processes across zones grow with the square of their number.
    const bool alsoFar = m_beats++ % FarBeatEvery == 0 && m_leadership.isLeading();
    for (const auto &peer : m_hub.linked()) {
        if (peer.zone == m_settings.zone || alsoFar) {
            message.echo = m_echoes[peer.name];
            m_hub.send(peer.name, message);
        }
    }
}

void NodeCore::publishStatus(TimePoint now)
{
    NodeStatus status;
    status.leader = m_leadership.leader();
    status.epoch = m_leadership.epoch();
    status.leading = m_leadership.isLeading();
    for (const auto &it : m_hub.linked()) {
        status.peers.push_back(it.name);
    }
    if (m_leader) {
        status.zone = m_leader->counts(now);
    }
    status.logOffset = m_shared.fold.nextOffset();
    status.logFailing = m_appender.isFailing() || m_readFailures > 0;
    status.appendsPending = m_appender.pending();
    auto &metrics = m_shared.metrics;
    metrics.gauge("configuration_version", static_cast<double>(m_shared.fold.configuration().number()));
    metrics.gauge("leading", status.leading ? 1 : 0);
    metrics.gauge("epoch", static_cast<double>(status.epoch));
    metrics.gauge("peers_linked", static_cast<double>(status.peers.size()));
    metrics.gauge("log_offset", static_cast<double>(status.logOffset));
    metrics.gauge("log_failing", status.logFailing ? 1 : 0);
    metrics.gauge("appends_pending", static_cast<double>(status.appendsPending));
    metrics.gauge("appends_sent", static_cast<double>(m_appender.appendsSent()));
    metrics.gauge("peer_bytes", static_cast<double>(m_hub.bytes()));
    metrics.gauge("platform_body_bytes", static_cast<double>(m_http.bodyBytes()));
    metrics.gauge("zone_workers", status.zone.workers);
    metrics.gauge("zone_workers_open", status.zone.openWorkers);
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
    const auto spans = m_shared.tracer.take();
    if (!spans.isEmpty()) {
        m_http.call("POST", toQt(m_settings.traceCollectorUrl) + QLatin1String("/v1/traces"), jsonBytes(spans), ExportEvery, [](const HttpAnswer &) {});
    }
}

void NodeCore::readLog()
{
    m_reading = true;
    m_logService.read(m_shared.fold.nextOffset(), ReadWait, [this](const std::optional<LogBatch> &batch, TimePoint at) {
        m_reading = false;
        handleBatch(batch, at);
    });
}

void NodeCore::handleBatch(const std::optional<LogBatch> &batch, TimePoint now)
{
    if (!batch) {
        m_nextRead = now + FirstReadRetry * (1 << std::min(m_readFailures, MaxReadRetryDoublings));
        if (m_readFailures++ == 0) {
            m_log.warn("the log can't be read");
        }
        return;
    }
    if (m_readFailures > 0) {
        m_log.info("the log can be read again");
    }
    m_readFailures = 0;
    const auto before = m_shared.fold.configuration().number();
    const bool wasCaughtUp = m_shared.fold.isCaughtUp();
    m_shared.fold.apply(*batch);
    if (m_leader && !wasCaughtUp && m_shared.fold.isCaughtUp()) {
        m_leader->onCaughtUp(now);
    }
    if (m_shared.fold.configuration().number() != before) {
        m_log.info("configuration " + std::to_string(m_shared.fold.configuration().number()) + " is in force");
        m_nextBeat = now;
    }
    checkWaiters(now);
}

void NodeCore::listVms(TimePoint now)
{
    m_listing = true;
    m_nextList = now + (m_leader ? LeaderListsEvery : FollowerListsEvery);
    m_vmList.list(m_settings.zone, [this](std::optional<std::vector<Vm>> vms, TimePoint at) {
        m_listing = false;
        if (!vms) {
            return;
        }
        m_vms = std::move(vms);
        if (m_leader) {
            m_leader->setFleet(*m_vms, at);
        }
    });
}

void NodeCore::whenFolded(std::function<bool()> condition, Millis wait, std::function<void(bool)> done)
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
    std::vector<ShortDecided> shorts;
    for (auto it = m_shortCalls.begin(); it != m_shortCalls.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        shorts.push_back(std::move(it->second.decided));
        it = m_shortCalls.erase(it);
    }
    std::vector<std::function<void(const JobLive &)>> jobs;
    for (auto it = m_jobCalls.begin(); it != m_jobCalls.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        jobs.push_back(std::move(it->second.answered));
        it = m_jobCalls.erase(it);
    }
    for (const auto &it : shorts) {
        it(notLeader());
    }
    for (const auto &it : jobs) {
        it({});
    }
}

std::string NodeCore::leaderOf(const std::string &zone) const
{
    if (zone == m_settings.zone) {
        return m_leadership.leader();
    }
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? std::string() : it->second.leader;
}

void NodeCore::askShort(const JobSpec &spec, Millis budget, const std::string &traceparent, ShortDecided decided)
{
    const auto now = monotonicNow();
    if (spec.zone == m_settings.zone && m_leader) {
        m_leader->decideShort(spec, now, std::move(decided));
        return;
    }
    const auto leader = leaderOf(spec.zone);
    const auto call = m_nextCall++;
    ShortAskMessage message {call, jsonBytes(spec.toJson()).toStdString(), budget.count(), traceparent};
    if (leader.empty() || !m_hub.send(leader, message)) {
        decided(notLeader());
        return;
    }
    m_shortCalls[call] = {leader, now + budget, std::move(decided)};
}

void NodeCore::shortClosed(const std::string &zone, const std::string &key, const AttemptId &attempt)
{
    if (zone == m_settings.zone && m_leader) {
        m_leader->onShortClosed(key, attempt, monotonicNow());
        return;
    }
    m_hub.send(leaderOf(zone), ShortClosedMessage {key, attempt.task, attempt.number});
}

void NodeCore::askJob(const std::string &zone, const std::string &id, const Resources &resources, std::function<void(const JobLive &)> answered)
{
    constexpr Millis AnswerWithin {500};
    if (zone == m_settings.zone && m_leader) {
        answered({true, m_leader->couldEverFit(resources), static_cast<int>(m_leader->runningTasks(id).size())});
        return;
    }
    const auto leader = leaderOf(zone);
    const auto call = m_nextCall++;
    if (leader.empty() || !m_hub.send(leader, JobAskMessage {call, id, jsonBytes(resources.toJson()).toStdString()})) {
        answered({});
        return;
    }
    m_jobCalls[call] = {leader, monotonicNow() + AnswerWithin, std::move(answered)};
}

bool NodeCore::append(const LogRecord &record, bool evenIfFailing)
{
    if (m_appender.isFailing() && !evenIfFailing) {
        setLastReason("the log does not answer");
        return false;
    }
    if (!m_appender.add(record)) {
        setLastReason("too many records wait for the log");
        return false;
    }
    m_appender.tick(monotonicNow());
    return true;
}

void NodeCore::retire()
{
    m_leadership.retire();
    updateRole(monotonicNow());
}

void NodeCore::handlePeerUp(const std::string &name, const std::string &zone)
{
    m_peerZones[name] = zone;
    m_echoes.erase(name);
    if (zone == m_settings.zone) {
        m_leadership.memberUp(name, monotonicNow());
        m_nextBeat = {};
    }
}

void NodeCore::handlePeerDown(const std::string &name)
{
    const auto now = monotonicNow();
    if (m_peerZones[name] == m_settings.zone) {
        m_leadership.memberDown(name, now);
        m_nextBeat = {};
    }
    giveUpCallsTo(name, now);
}

void NodeCore::giveUpCallsTo(const std::string &peer, TimePoint now)
{
    for (auto &[call, it] : m_shortCalls) {
        if (it.peer == peer) {
            it.deadline = now;
        }
    }
    for (auto &[call, it] : m_jobCalls) {
        if (it.peer == peer) {
            it.deadline = now;
        }
    }
    expireCalls(now);
}

} // namespace marjoramhaven
