#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// One record of the leadership topic: a claim of leadership or a heartbeat of the leader.
struct LeadershipRecord {
    std::string node;
    std::string host;
    int port = 0;
    /// Distinguishes restarts of one process.
    std::string incarnation;
    /// Offset of the claim that this heartbeat belongs to; -1 if the record is itself a claim.
    std::int64_t claimOffset = -1;
    /// Number of the heartbeat.
    std::int64_t heartbeatNumber = 0;
    /// True in the last record of a leader that shuts down; other processes may claim leadership at once.
    bool isLeaving = false;
};

/// Returns the binary form of a record.
std::string encodeLeadership(const LeadershipRecord &record);
/// Decodes the binary form. Returns `std::nullopt`, with a lastReason(), if the bytes are malformed.
std::optional<LeadershipRecord> decodeLeadership(const std::string &bytes);

/// Time limits of the leader election.
struct ElectionTimings {
    /// Interval between heartbeats of the leader.
    Millis heartbeatInterval {400};
    /// Other processes claim leadership if the log answers but contains no heartbeat for this long.
    Millis leaderTimeout {1500};
    /// The same timeout if the network link to the leader is lost too.
    Millis leaderTimeoutAfterLinkLoss {600};
    /// If two reads of the log are further apart than this, missing heartbeats in between are not held against the leader.
    Millis maxReadGap {1300};
    /// Maximum of the delay, proportional to the latency of the log, that lets processes near the log claim first.
    Millis maxLatencyDelay {400};
    /// Maximum of the range over which the processes spread their claims. The range is proportional to the latency of the log.
    Millis maxClaimSpread {2000};
    /// VMs with at least this many cores claim without an extra delay; smaller ones wait longer the smaller they are.
    double largeVmCores = 0.5;
    /// Unit of the extra delay of small VMs, or the latency of the log if that is longer.
    Millis smallVmDelay {100};
};

/// An append to the leadership topic that takes effect only if the topic still ends at the expected offset.
struct LeadershipAppend {
    LeadershipRecord record;
    std::int64_t expectedEnd = 0;
};

/// Leader election through the log: decides when this process claims leadership, and tracks which process is the leader.
///
/// Each claim and heartbeat is appended only if the topic still ends where this process has read to. So the newest claim is the leader's, and its offset, which
/// is the base of the fencing token, grows with each leader. Workers refuse requests with an older token, so if two processes both consider themselves leader,
/// only one of them can act.
class PlannerElection
{
public:
    PlannerElection(LeadershipRecord self, ElectionTimings times);

    /// Applies an answered read of the log: its new records with their offsets, in order, and the end of the topic.
    void handleRecords(const std::vector<std::pair<std::int64_t, LeadershipRecord>> &records, std::int64_t end, TimePoint now);
    /// Records the duration of a call to the log. Processes with a higher latency to the log claim later.
    void observeLogLatency(Millis delay);
    /// Sets the number of cores of this VM; larger VMs claim first.
    void setProcessorCores(double cores);
    /// Takes over a leader that another process reported, if its token is higher than that of the known leader. The record's claim offset must be set.
    void learnLeader(const LeadershipRecord &record, TimePoint now);
    /// Records whether the network link to the leader is up; it counts as lost also while the leader reports that it can't reach the log.
    void setLeaderLinked(bool isLinked, TimePoint now);
    /// Gives up leadership, because a worker has seen a higher token or because this process stops.
    void dropLeadership(TimePoint now);
    /// Stops claiming leadership for good. If this process is the leader, its last heartbeat announces that it leaves.
    void withdraw();

    /// Returns the append to send now, if any. There is at most one in flight.
    std::optional<LeadershipAppend> nextAppend(TimePoint now);
    /// Applies the result of the append in flight.
    void handleAppendResult(const AppendResult &result, TimePoint now);

    /// Returns true while this process is the leader.
    bool isLeading() const { return m_ownClaim.has_value(); }
    /// Returns the fencing token of this process's claim.
    std::int64_t fencingToken() const { return m_ownClaim.value_or(-1) + 1; }
    /// Returns the highest fencing token that this process may use: the base is its newest claim or heartbeat that the log has confirmed. Since each of these
    /// is appended behind all records that its writer knows, the token of each later leader is higher.
    std::int64_t newestFencingToken() const { return m_newestOwnRecord + 1; }
    /// Returns the newest known record of the leader, or an empty optional if no leader is known.
    const std::optional<LeadershipRecord> &leader() const { return m_leader; }
    /// Returns the leader's fencing token.
    std::int64_t leaderFencingToken() const { return m_leaderClaimOffset + 1; }
    /// Returns true if withdraw() was called and the log contains the last heartbeat, or none was needed. False while a claim may still be stored.
    bool isWithdrawn() const { return m_isWithdrawn && !m_appendInFlight && (!m_ownClaim || m_isLeavingStored); }

private:
    void apply(std::int64_t offset, const LeadershipRecord &record, TimePoint now);
    void adoptOwnClaim(std::int64_t offset);
    bool mayClaim(TimePoint now) const;
    // Returns how long after the leader is missed this process claims. A log that answers slowly also takes long to append, so claims of many processes at once
    // would delay the first that is stored.
    Millis claimDelay() const;

    const LeadershipRecord m_self;
    const ElectionTimings m_times;
    std::optional<std::int64_t> m_end;
    std::optional<LeadershipRecord> m_leader;
    std::int64_t m_leaderClaimOffset = -1;
    std::optional<std::int64_t> m_ownClaim;
    /// Offset of the newest claim with which this process became the leader; -1 if it never was.
    std::int64_t m_newestOwnClaim = -1;
    /// Offset of the newest claim or heartbeat of this process in the log; -1 before the first.
    std::int64_t m_newestOwnRecord = -1;
    TimePoint m_leaderSeenAt {};
    /// Start of the current series of answered reads without a gap.
    TimePoint m_readingSince {};
    std::optional<TimePoint> m_lastReadAt;
    std::optional<TimePoint> m_linkLostAt;
    Millis m_logLatency {0};
    double m_smallVmFactor = 0;
    TimePoint m_nextHeartbeatAt {};
    std::int64_t m_heartbeatNumber = 0;
    /// The claim or heartbeat whose append is not answered yet.
    std::optional<LeadershipRecord> m_appendInFlight;
    bool m_mustRead = false;
    bool m_isWithdrawn = false;
    bool m_isLeavingSent = false;
    bool m_isLeavingStored = false;
};

} // namespace marjoramhaven
