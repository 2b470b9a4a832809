#include "FleetNodeCalls.h"
#include "marjoramhaven/fleetnode/FleetNode.h"

namespace marjoramhaven {

void FleetNode::handleLeadershipRecords(const std::vector<KeyedRecord> &records)
{
    const auto now = monotonicNow();
    std::vector<std::pair<std::int64_t, LeadershipRecord>> leadershipRecords;
    for (const auto &it : records) {
        const auto record = it.value ? decodeLeadership(*it.value) : std::nullopt;
        if (it.key == NodeKeyPrefix + m_settings.name) {
            m_isRegistered = record && record->host == m_settings.peers.host && record->port == m_settings.peers.port;
        } else if (!it.value && it.key.starts_with(NodeKeyPrefix)) {
            forgetNode(it.key.substr(sizeof(NodeKeyPrefix) - 1));
        }
        if (!record) {
            continue;
        }
        if (!it.key.starts_with(NodeKeyPrefix)) {
            // A claim is older than each heartbeat that names it.
            if (record->claimOffset < it.offset) {
                leadershipRecords.emplace_back(it.offset, *record);
            }
        } else if (record->node != m_settings.name) {
            m_unlinkedSince[record->node] = now;
            m_hub.addPeers({{record->node, record->host, record->port}});
        }
    }
    m_isLogReachable = true;
    m_jobRecords.setLogReachable(true, now);
    // Reads of the operator's topic seldom find a record, so they tell how fast the log is now.
    m_election.observeLogLatency(m_operatorFollower.isLoaded() ? m_operatorFollower.latency() : m_leadershipFollower.latency());
    if (m_leadershipFollower.isLoaded()) {
        registerIfNeeded();
    }
    m_election.handleRecords(leadershipRecords, m_leadershipFollower.nextOffset(), now);
    applyLeadership();
    if (const auto sentAt = m_leadershipFollower.completeReadSentAt(); sentAt && m_planner) {
        m_planner->raiseFencingToken(m_election.newestFencingToken());
        m_planner->confirmLeadership(*sentAt);
    }
    appendLeadershipIfDue(now);
}

void FleetNode::appendLeadershipIfDue(TimePoint now)
{
    const auto append = m_election.nextAppend(now);
    if (!append) {
        return;
    }
    constexpr char PlannerKey[] = "planner";
    constexpr Millis ClaimTimeout {1500};
    AppendRequest request;
    request.topic = StateTopic::Leadership;
    request.records.push_back({PlannerKey, encodeLeadership(append->record), 0});
    request.expectedEnd = append->expectedEnd;
    request.timeout = ClaimTimeout;
    const bool isClaim = append->record.claimOffset < 0;
    m_platform.log.append(std::move(request), [this, isClaim, sentAt = monotonicNow(), record = append->record](const AppendResult &result) {
        if (isClaim || result.outcome != AppendOutcome::Stored) {
            m_events.write(isClaim ? "claim_answered" : "heartbeat_not_stored",
                           {{"outcome", std::string(nameOf(result.outcome))},
                            {"offset", result.offset},
                            {"reason", result.reason},
                            {"sendings", static_cast<std::int64_t>(result.sendings)}});
        }
        m_election.handleAppendResult(result, monotonicNow());
        applyLeadership();
        const auto claimOffset = isClaim ? result.offset : record.claimOffset;
        if (result.outcome == AppendOutcome::Stored && m_planner && m_planner->planner().fencingToken() == claimOffset + 1) {
            m_planner->raiseFencingToken(m_election.newestFencingToken());
            m_planner->confirmLeadership(sentAt);
        }
    });
}

void FleetNode::applyLeadership()
{
    const bool shouldPlan = m_election.isLeading() && !m_isStopping;
    if (m_planner && (!m_election.isLeading() || m_planner->planner().fencingToken() != m_election.fencingToken())) {
        stopPlanner("this process no longer holds the newest leadership claim");
    }
    if (shouldPlan && !m_planner) {
        startPlanner();
        sendHeartbeats();
    }
    const auto &leader = m_election.leader();
    if (!leader || leader->node == m_settings.name) {
        return;
    }
    const auto address = leader->node + "@" + leader->host + ":" + std::to_string(leader->port);
    if (address != m_leaderAddress) {
        m_leaderAddress = address;
        m_isLeaderLogUnreachable = false;
        m_events.write("planner_known", {{"planner", leader->node}, {"fence", m_election.leaderFencingToken()}});
        m_hub.addPeers({{leader->node, leader->host, leader->port}});
        const auto now = monotonicNow();
        m_election.setLeaderLinked(isLinkedToLeader(), now);
        m_hub.tick(now);
        processPendingQueries(now);
    }
}

void FleetNode::startPlanner()
{
    PlannerServices services {m_platform.log,
                              m_platform.workers,
                              m_events,
                              m_metrics,
                              m_platform.decodeWorker,
                              [this](const AdviceRequest &request, std::function<void(const AdviceResponse &)> done) {
                                  requestAdvice(request, std::move(done));
                              },
                              [this](const std::string &why) {
                                  // Deferred, since the planner that calls this may be in the middle of a decision.
                                  QTimer::singleShot(0, this, [this, why]() {
                                      m_election.dropLeadership(monotonicNow());
                                      stopPlanner(why);
                                  });
                              },
                              static_cast<std::size_t>(m_settings.storeMaxRecordBytes)};
    PlannerLimits limits;
    limits.maxLease = m_settings.bounds.maxLease;
    limits.stopTime = m_settings.bounds.stopTime;
    limits.statusRetention = m_settings.bounds.statusRetention;
    limits.earlyStartTolerance = m_settings.bounds.earlyStartTolerance;
    limits.latencyViolationTolerance = m_settings.bounds.latencyViolationTolerance;
    // Half of a record is left for the checkpoints of its tasks.
    limits.maxCheckpointBytes = static_cast<std::size_t>(m_settings.storeMaxRecordBytes) / (2 * FleetJob::TasksPerPart);
    m_planner = std::make_unique<PlannerHost>(
        std::move(services), limits, m_election.fencingToken(), configuration() == nullptr ? FleetConfiguration {} : *configuration());
    m_planner->addAdvisorProxy(m_settings.name);
    const auto now = monotonicNow();
    for (const auto &it : m_hub.linkedPeers()) {
        m_planner->addAdvisorProxy(it.name);
        // So far heartbeats on these links were rare. The shorter timeout of planner links applies from now on, so it is counted from here.
        m_lastHeardAt[it.name] = now;
    }
    m_metrics.count("takeovers_total");
    m_planner->start();
}

void FleetNode::stopPlanner(const std::string &why)
{
    if (!m_planner) {
        return;
    }
    m_events.write("planner_end", {{"fence", m_planner->planner().fencingToken()}, {"reason", why}});
    m_planner->shutDown();
    m_planner.release()->deleteLater();
    m_adviceCalls.clear();
}

} // namespace marjoramhaven
