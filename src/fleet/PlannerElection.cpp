#include "marjoramhaven/fleet/PlannerElection.h"

#include <algorithm>
#include <functional>

#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/base/Msgpack.h"
#include "marjoramhaven/config/Settings.h"

namespace marjoramhaven {

namespace {

// Before it claims leadership, a process waits for its latency to the log times this factor.
constexpr int LatencyMultiple = 4;
// Claims of all processes are spread over this many latencies, so that few of them are under way when the first is stored.
constexpr int SpreadMultiple = 8;
constexpr std::size_t SpreadSteps = 1000;

using LeadershipTuple = std::tuple<std::string, std::string, int, std::string, std::int64_t, std::int64_t, bool>;

} // namespace

std::string encodeLeadership(const LeadershipRecord &record)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf,
                  LeadershipTuple {record.node, record.host, record.port, record.incarnation, record.claimOffset, record.heartbeatNumber, record.isLeaving});
    return {buf.data(), buf.size()};
}

std::optional<LeadershipRecord> decodeLeadership(const std::string &bytes)
{
    try {
        const auto handle = unpackLimited(bytes.data(), bytes.size());
        const auto [node, host, port, incarnation, claimOffset, heartbeatNumber, isLeaving] = handle.get().as<LeadershipTuple>();
        if (!isPort(port)) {
            setLastReason("malformed leadership record: port " + std::to_string(port) + " is out of range");
            return std::nullopt;
        }
        return LeadershipRecord {node, host, port, incarnation, claimOffset, heartbeatNumber, isLeaving};
    } catch (const std::exception &ec) {
        setLastReason(std::string("malformed leadership record: ") + ec.what());
        return std::nullopt;
    }
}

PlannerElection::PlannerElection(LeadershipRecord self, ElectionTimings times)
    : m_self(std::move(self))
    , m_times(times)
{
}

void PlannerElection::apply(std::int64_t offset, const LeadershipRecord &record, TimePoint now)
{
    const auto claim = record.claimOffset < 0 ? offset : record.claimOffset;
    if (claim < m_leaderClaimOffset) {
        return;
    }
    const bool isNewLeader = claim > m_leaderClaimOffset;
    m_leaderClaimOffset = claim;
    m_leader = record;
    m_leaderSeenAt = now;
    if (isNewLeader) {
        m_linkLostAt.reset();
    }
    if (record.incarnation == m_self.incarnation) {
        m_newestOwnRecord = std::max(m_newestOwnRecord, offset);
    }
    if (record.incarnation != m_self.incarnation) {
        m_ownClaim.reset();
    } else if (record.claimOffset < 0) {
        adoptOwnClaim(offset);
    }
    if (record.incarnation == m_self.incarnation && record.isLeaving) {
        m_isLeavingStored = true;
    }
}

// Other processes may have reported this very claim before its append is answered, so whether the claim is news doesn't matter. A claim that was given up is
// not adopted again when its record is read.
void PlannerElection::adoptOwnClaim(std::int64_t offset)
{
    if (offset > m_newestOwnClaim) {
        m_newestOwnClaim = offset;
        m_ownClaim = offset;
    }
}

void PlannerElection::handleRecords(const std::vector<std::pair<std::int64_t, LeadershipRecord>> &records, std::int64_t end, TimePoint now)
{
    if (!m_lastReadAt || now - *m_lastReadAt > m_times.maxReadGap) {
        m_readingSince = now;
    }
    m_lastReadAt = now;
    for (const auto &[offset, record] : records) {
        apply(offset, record, now);
    }
    m_end = std::max(m_end.value_or(0), end);
    m_mustRead = false;
}

void PlannerElection::learnLeader(const LeadershipRecord &record, TimePoint now)
{
    if (record.claimOffset > m_leaderClaimOffset && record.incarnation != m_self.incarnation) {
        apply(record.claimOffset, record, now);
    }
}

void PlannerElection::observeLogLatency(Millis delay)
{
    m_logLatency = delay;
}

Millis PlannerElection::claimDelay() const
{
    // The end of the range grows with the latency, since a process learns that another has claimed only after that time.
    const auto range = std::min(m_times.maxClaimSpread, m_logLatency * SpreadMultiple);
    const auto draw = std::hash<std::string> {}(m_self.node + std::to_string(m_leaderClaimOffset)) % SpreadSteps;
    const auto spread = range * static_cast<std::int64_t>(draw) / static_cast<std::int64_t>(SpreadSteps);
    const auto smallVmUnit = std::max(m_times.smallVmDelay, m_logLatency);
    const Millis smallVm(static_cast<std::int64_t>(m_smallVmFactor * static_cast<double>(smallVmUnit.count())));
    return std::min(m_times.maxLatencyDelay, m_logLatency * LatencyMultiple) + spread + smallVm;
}

void PlannerElection::setProcessorCores(double cores)
{
    if (cores > 0 && cores < m_times.largeVmCores) {
        m_smallVmFactor = std::min(m_times.largeVmCores / cores - 1, 3.0);
    }
}

void PlannerElection::setLeaderLinked(bool isLinked, TimePoint now)
{
    if (isLinked) {
        m_linkLostAt.reset();
    } else if (!m_linkLostAt) {
        m_linkLostAt = now;
    }
}

void PlannerElection::dropLeadership(TimePoint now)
{
    m_ownClaim.reset();
    m_leaderSeenAt = now;
}

void PlannerElection::withdraw()
{
    m_isWithdrawn = true;
}

bool PlannerElection::mayClaim(TimePoint now) const
{
    if (m_isWithdrawn || m_mustRead || !m_end || !m_lastReadAt || now - *m_lastReadAt > m_times.maxReadGap) {
        return false;
    }
    const auto pause = claimDelay();
    if (!m_leader || (m_leader->node == m_self.node && m_leader->incarnation != m_self.incarnation)) {
        return now - m_readingSince >= pause;
    }
    const auto silentSince = std::max(m_leaderSeenAt, m_readingSince);
    if (m_leader->isLeaving) {
        return now - silentSince >= pause;
    }
    // All processes notice a lost link at about the same time, often after the shorter timeout has passed already. So the delays, which differ between the
    // processes, count from the loss of the link; otherwise they would have passed already too and all processes would claim at once.
    const auto suspectedAt = m_linkLostAt ? std::max(silentSince + m_times.leaderTimeoutAfterLinkLoss, *m_linkLostAt) : silentSince + m_times.leaderTimeout;
    return now - suspectedAt >= pause;
}

std::optional<LeadershipAppend> PlannerElection::nextAppend(TimePoint now)
{
    if (m_appendInFlight || !m_end || m_mustRead) {
        return std::nullopt;
    }
    LeadershipAppend out {m_self, *m_end};
    if (m_ownClaim) {
        const bool isLast = m_isWithdrawn && !m_isLeavingSent;
        if (m_isLeavingStored || (!isLast && now < m_nextHeartbeatAt)) {
            return std::nullopt;
        }
        out.record.claimOffset = *m_ownClaim;
        out.record.heartbeatNumber = ++m_heartbeatNumber;
        out.record.isLeaving = m_isWithdrawn;
        m_isLeavingSent = m_isWithdrawn;
        m_nextHeartbeatAt = now + m_times.heartbeatInterval;
    } else if (!mayClaim(now)) {
        return std::nullopt;
    }
    m_appendInFlight = out.record;
    return out;
}

void PlannerElection::handleAppendResult(const AppendResult &result, TimePoint now)
{
    if (!m_appendInFlight) {
        return;
    }
    const auto record = *m_appendInFlight;
    m_appendInFlight.reset();
    if (result.outcome == AppendOutcome::Stored) {
        m_end = std::max(m_end.value_or(0), result.offset + 1);
        apply(result.offset, record, now);
        return;
    }
    // The end of the topic is known only after the next read.
    m_mustRead = result.outcome == AppendOutcome::EndMismatch || result.outcome == AppendOutcome::Unknown;
    m_isLeavingSent = false;
    m_nextHeartbeatAt = now + m_times.heartbeatInterval / 4;
}

} // namespace marjoramhaven
