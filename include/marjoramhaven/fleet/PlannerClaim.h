#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/StateLog.h"

namespace marjoramhaven {

/// One record of the leadership stream: a claim to plan, or a heartbeat of the planner.
struct LeadershipRecord {
    std::string node;
    std::string host;
    int port = 0;
    /// Tells two starts of one process apart.
    std::string incarnation;
    /// Where the claim stands that this heartbeat belongs to; -1 when the record is a claim itself.
    std::int64_t claimOffset = -1;
    std::int64_t beat = 0;
    /// True in the last record of a planner that stops; others may claim at once.
    bool isLeaving = false;
};

std::string encodeLeadership(const LeadershipRecord &record);
/// Nothing, with a last reason, when the bytes can't be read.
std::optional<LeadershipRecord> decodeLeadership(const std::string &bytes);

/// Times of the claim to plan.
struct ClaimTimes {
    /// The planner writes a heartbeat this often.
    Millis beat {400};
    /// Without a heartbeat for this long, while the log answers, others claim.
    Millis silence {1500};
    /// The same when the link to the planner is lost too.
    Millis leaderTimeoutAfterLinkLoss {600};
    /// Reads further apart say nothing of the planner's silence.
    Millis maxReadGap {1300};
    /// Upper bound of the delay that lets processes near the log claim first.
    Millis maxLatencyDelay {400};
    /// VMs with at least this many cores claim without a pause; smaller ones wait longer the smaller they are.
    double largeVmCores = 0.5;
    Millis smallVmDelay {100};
};

/// An append to the leadership stream that takes effect only at the stream's end as this process knows it.
struct LeadershipAppend {
    LeadershipRecord record;
    std::int64_t expectedEnd = 0;
};

/// Decides when this process claims to plan, and whether it does.
///
/// The log decides: each claim and heartbeat is appended only if nothing else was, so the newest claim is the planner's, and its offset grows with each
/// planner. Workers refuse orders with an older token, so two processes that both believe to plan can't both act.
class PlannerClaim
{
public:
    PlannerClaim(LeadershipRecord self, ClaimTimes times);

    /// The log answered a read; gives its new records in order and its end.
    void recordsRead(const std::vector<std::pair<std::int64_t, LeadershipRecord>> &records, std::int64_t end, TimePoint now);
    /// A call to the log took this long; slower processes claim later.
    void observeDelay(Millis delay);
    /// Lets larger VMs claim first; the share is in cores.
    void setProcessorShare(double cores);
    /// Another process tells of a planner; followed when its token is higher. The record's claim offset must be set.
    void learnLeader(const LeadershipRecord &record, TimePoint now);
    /// The link to the planner was lost or is there again; a planner that says that it can't reach the log counts as lost.
    void setPlannerLinked(bool isLinked, TimePoint now);
    /// Workers follow a higher token, or this process stops: it does not plan any more.
    void resign(TimePoint now);
    /// From now on never claims; the last heartbeat says so.
    void retire();

    /// The append to send now, if any; one at a time.
    std::optional<LeadershipAppend> nextAppend(TimePoint now);
    void appendFinished(const AppendResult &result, TimePoint now);

    /// True while this process may plan.
    bool isLeading() const { return m_ownClaim.has_value(); }
    /// The fencing token that belongs to this process's claim.
    std::int64_t fence() const { return m_ownClaim.value_or(-1) + 1; }
    /// The newest claimant as the log tells it.
    const std::optional<LeadershipRecord> &leader() const { return m_leader; }
    std::int64_t leaderFence() const { return m_leaderClaimOffset + 1; }
    /// True when the retirement stands in the log, or nothing had to be told.
    bool isRetired() const { return m_isWithdrawn && (!m_ownClaim || m_isLeavingStored); }

private:
    void apply(std::int64_t offset, const LeadershipRecord &record, TimePoint now);
    bool mayClaim(TimePoint now) const;

    const LeadershipRecord m_self;
    const ClaimTimes m_times;
    std::optional<std::int64_t> m_end;
    std::optional<LeadershipRecord> m_leader;
    std::int64_t m_leaderClaimOffset = -1;
    std::optional<std::int64_t> m_ownClaim;
    TimePoint m_leaderSeenAt {};
    /// Since when reads have been answered without a gap.
    TimePoint m_readingSince {};
    std::optional<TimePoint> m_lastReadAt;
    std::optional<TimePoint> m_linkLostAt;
    Millis m_latencyDelay {0};
    Millis m_smallVmDelay {0};
    TimePoint m_nextHeartbeatAt {};
    std::int64_t m_heartbeatNumber = 0;
    bool m_isAppending = false;
    bool m_mustRead = false;
    bool m_isWithdrawn = false;
    bool m_isLeavingSent = false;
    bool m_isLeavingStored = false;
};

} // namespace marjoramhaven
