#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/node/NodeCore.h"
#include "marjoramhaven/platform/WorkerCodec.h"

namespace marjoramhaven {

namespace {

constexpr std::size_t MaxVersionsPerMessage = 50;
constexpr Millis ConfigurationRequestInterval {100};

ShortResponseMessage toMessage(std::uint64_t call, const ShortRequestDecision &decision)
{
    ShortResponseMessage out;
    out.call = call;
    out.verdict = nameOf(decision.verdict);
    out.reason = decision.reason;
    out.retryAfterMs = decision.retryAfter.count();
    out.workerUrl = decision.workerUrl;
    out.outcome = nameOf(decision.outcome);
    out.result = decision.result;
    if (decision.verdict == ShortRequestVerdict::Start || decision.verdict == ShortRequestVerdict::Attach) {
        out.start = jsonBytes(toJson(decision.start)).toStdString();
    }
    return out;
}

ShortRequestDecision fromMessage(const ShortResponseMessage &message)
{
    ShortRequestDecision out;
    out.verdict = valueOf<ShortRequestVerdict>(message.verdict).value_or(ShortRequestVerdict::NotLeader);
    out.reason = message.reason;
    out.retryAfter = Millis(message.retryAfterMs);
    out.workerUrl = message.workerUrl;
    out.outcome = valueOf<TaskOutcome>(message.outcome).value_or(TaskOutcome::Unknown);
    out.result = message.result;
    if (const auto start = parseJsonObject(QByteArray::fromStdString(message.start))) {
        out.start = startRequestFromJson(*start);
    }
    return out;
}

} // namespace

void NodeCore::handleMessage(const std::string &from, const PeerMessage &message)
{
    const auto now = monotonicNow();
    std::visit(
        [&](const auto &it) {
            // Messages of the fleet scheduler have no handler in this kind of process and are ignored.
            if constexpr (requires { handle(from, it, now); }) {
                handle(from, it, now);
            }
        },
        message);
}

void NodeCore::handle(const std::string & /*from*/, const HelloMessage & /*message*/, TimePoint /*now*/) { }

void NodeCore::handle(const std::string &from, const HeartbeatMessage &message, TimePoint now)
{
    m_peerClocks[from] = message.sentAt;
    const auto &zone = m_peerZones[from];
    if (zone == m_settings.zone) {
        m_leadership.onHeartbeat({from, message.epoch, message.isLeading, message.followedLeader, message.leaderAgeMillis}, now);
        updateRole(now);
        const bool follows = !message.isLeading && message.followedLeader == m_settings.name && message.epoch == m_leadership.epoch();
        if (m_leader && follows && message.echoedSentAt > 0) {
            // The peer follows this epoch, so both the heartbeat that it echoes and its own message were sent after this leadership began.
            m_leader->confirmFollower(from, atMillis(message.echoedSentAt));
        }
    } else {
        auto &view = m_remoteLeaders[zone];
        if (message.isLeading && message.epoch >= view.epoch) {
            view = {from, message.epoch};
        } else if (view.leader == from && !message.isLeading) {
            view.leader = message.followedLeader;
        } else if (view.leader.empty()) {
            view = {message.followedLeader, message.epoch};
        }
    }
    if (message.configurationNumber > m_shared.replicatedState.configuration().number() && now >= m_nextConfigurationRequest) {
        m_nextConfigurationRequest = now + ConfigurationRequestInterval;
        m_hub.send(from, ConfigurationRequestMessage {m_shared.replicatedState.configuration().number()});
    }
}

void NodeCore::handle(const std::string &from, const ShortRequestMessage &message, TimePoint now)
{
    const auto reply = [this, from, call = message.call](const ShortRequestDecision &decision) {
        m_hub.send(from, toMessage(call, decision));
    };
    const auto object = parseJsonObject(QByteArray::fromStdString(message.spec));
    Findings findings;
    auto spec = JobSpec::fromJson(object.value_or(QJsonObject()), findings);
    if (!m_leader || !findings.isEmpty()) {
        ShortRequestDecision out;
        out.verdict = ShortRequestVerdict::NotLeader;
        out.reason = findings.toString();
        reply(out);
        return;
    }
    auto span = m_shared.tracer.begin("decide", message.traceparent);
    m_leader->decideShortRequest(spec, now, [this, reply, span](const ShortRequestDecision &decision) {
        m_shared.tracer.end(span, decision.verdict == ShortRequestVerdict::Refused);
        reply(decision);
    });
}

void NodeCore::handle(const std::string & /*from*/, const ShortResponseMessage &message, TimePoint /*now*/)
{
    const auto node = m_decisionCalls.extract(message.call);
    if (node) {
        node.mapped().callback(fromMessage(message));
    }
}

void NodeCore::handle(const std::string & /*from*/, const ShortAttemptClosedMessage &message, TimePoint now)
{
    if (m_leader) {
        m_leader->onShortRequestClosed(message.key, {message.task, message.attempt}, now);
    }
}

void NodeCore::handle(const std::string &from, const ConfigurationRequestMessage &message, TimePoint /*now*/)
{
    const auto &history = m_shared.replicatedState.configuration();
    auto versions = history.since(message.above, MaxVersionsPerMessage);
    if (versions.empty()) {
        return;
    }
    ConfigurationUpdateMessage update;
    if (versions.front().number != message.above + 1) {
        update.versions.push_back(jsonBytes(toJson(history.current())).toStdString());
    } else {
        for (auto &it : versions) {
            // The receiver rebuilds the document by applying the patch to its own document.
            it.document = {};
            update.versions.push_back(jsonBytes(toJson(it)).toStdString());
        }
    }
    m_hub.send(from, update);
}

void NodeCore::handle(const std::string &from, const ConfigurationUpdateMessage &message, TimePoint now)
{
    auto &history = m_shared.replicatedState.configuration();
    const auto before = history.number();
    for (const auto &text : message.versions) {
        const auto object = parseJsonObject(QByteArray::fromStdString(text));
        if (!object) {
            continue;
        }
        const auto version = configurationVersionFromJson(*object);
        if (version.number <= history.number()) {
            continue;
        }
        const bool isAdopted = version.document.isEmpty() ? history.appendVersion(version) : history.restore(version);
        if (!isAdopted) {
            m_log.warn("configuration version " + std::to_string(version.number) + " from peer " + from + " was rejected: " + lastReason());
            break;
        }
    }
    if (history.number() != before) {
        m_log.info("configuration version " + std::to_string(history.number()) + " is in force, received from peer " + from);
        if (m_leader) {
            m_leader->onConfigurationChanged();
        }
        m_nextHeartbeat = now;
        checkWaiters(now);
    }
}

void NodeCore::handle(const std::string &from, const JobQueryMessage &message, TimePoint /*now*/)
{
    JobQueryResponseMessage out;
    out.call = message.call;
    out.isLeading = m_leader != nullptr;
    const auto object = parseJsonObject(QByteArray::fromStdString(message.resources));
    if (m_leader && object) {
        Findings findings;
        out.couldFit = m_leader->couldEverFit(Resources::fromJson(*object, "", findings));
        out.running = static_cast<int>(m_leader->runningTasks(message.id).size());
    }
    m_hub.send(from, out);
}

void NodeCore::handle(const std::string & /*from*/, const JobQueryResponseMessage &message, TimePoint /*now*/)
{
    const auto node = m_jobQueryCalls.extract(message.call);
    if (node) {
        node.mapped().callback({message.isLeading, message.couldFit, message.running});
    }
}

} // namespace marjoramhaven
