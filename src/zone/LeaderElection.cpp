#include "marjoramhaven/zone/LeaderElection.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
// A process that has just started listens this long for an existing leader before it may lead.
constexpr Millis InitialListenPeriod {500};
// A member takes over when the zone has had no leader for TakeoverDelay plus DelayPerRank times its rank among the live members.
constexpr Millis TakeoverDelay {100};
constexpr Millis DelayPerRank {250};
// While another member has heard from its leader within this time, nobody takes over.
constexpr Millis LeaderHeardWithin {450};
constexpr Millis InitialBackOff {500};
// A leader that has led for longer than this before it steps down starts again with the initial back-off.
constexpr Millis BackOffResetAfter {60'000};
constexpr int MaxBackOffDoublings = 1;
} // namespace

LeaderElection::LeaderElection(std::string self, std::uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_leaderlessSince(now)
    , m_mayLeadFrom(now + InitialListenPeriod)
    , m_random(seed)
{
}

void LeaderElection::memberUp(const std::string &member, TimePoint now)
{
    auto &it = m_members[member];
    it = Member();
    it.isConnected = true;
    it.lastHeard = now;
}

void LeaderElection::memberDown(const std::string &member, TimePoint now)
{
    m_members[member].isConnected = false;
    if (m_leader == member) {
        m_leader.clear();
        m_leaderlessSince = now;
    }
}

void LeaderElection::onHeartbeat(const ElectionHeartbeat &heartbeat, TimePoint now)
{
    auto &member = m_members[heartbeat.from];
    member.isConnected = true;
    member.lastHeard = now;
    member.followedLeader = heartbeat.isLeading ? heartbeat.from : heartbeat.followedLeader;
    member.leaderLastHeard = heartbeat.leaderAgeMillis >= 0 ? now - Millis(heartbeat.leaderAgeMillis) : TimePoint {};
    if (heartbeat.isLeading) {
        const bool shouldFollow = heartbeat.epoch > m_epoch || (heartbeat.epoch == m_epoch && (!isLeading() || heartbeat.from < m_self));
        if (shouldFollow) {
            follow(heartbeat.from, heartbeat.epoch, now);
        }
    }
    m_epoch = std::max(m_epoch, heartbeat.epoch);
}

void LeaderElection::follow(const std::string &leader, std::int64_t epoch, TimePoint now)
{
    m_leader = leader;
    m_epoch = epoch;
    m_leaderLastHeard = now;
}

void LeaderElection::lead(TimePoint now)
{
    m_leader = m_self;
    ++m_epoch;
    m_leadingSince = now;
}

void LeaderElection::stepDown(TimePoint now)
{
    if (!isLeading()) {
        return;
    }
    m_consecutiveStepDowns = now - m_leadingSince > BackOffResetAfter ? 0 : m_consecutiveStepDowns + 1;
    const auto backOff = InitialBackOff * (1 << std::min(m_consecutiveStepDowns, MaxBackOffDoublings));
    m_mayLeadFrom = now + backOff + Millis(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(backOff.count())));
    m_leader.clear();
    m_leaderlessSince = now;
}

void LeaderElection::leaveElection()
{
    m_hasLeftElection = true;
    if (isLeading()) {
        m_leader.clear();
    }
}

bool LeaderElection::isLeaderLive(TimePoint now) const
{
    const auto it = m_members.find(m_leader);
    return it != m_members.end() && it->second.isConnected && now - m_leaderLastHeard < SuspectAfter;
}

bool LeaderElection::isLeaderHeardByOthers(TimePoint now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &it) {
        const auto &member = it.second;
        const bool isLive = member.isConnected && now - member.lastHeard < SuspectAfter;
        return isLive && !member.followedLeader.empty() && member.followedLeader != m_self && now - member.leaderLastHeard < LeaderHeardWithin;
    });
}

std::vector<std::string> LeaderElection::liveMembers(TimePoint now) const
{
    std::vector<std::string> out {m_self};
    for (const auto &[name, member] : m_members) {
        if (member.isConnected && now - member.lastHeard < SuspectAfter) {
            out.push_back(name);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

void LeaderElection::tick(TimePoint now)
{
    if (isLeading() || m_hasLeftElection) {
        return;
    }
    if (!m_leader.empty()) {
        if (isLeaderLive(now)) {
            return;
        }
        m_leader.clear();
        m_leaderlessSince = now;
    }
    if (now < m_mayLeadFrom || isLeaderHeardByOthers(now)) {
        return;
    }
    const auto live = liveMembers(now);
    const auto rank = std::find(live.begin(), live.end(), m_self) - live.begin();
    if (now - m_leaderlessSince >= TakeoverDelay + DelayPerRank * rank) {
        lead(now);
    }
}

ElectionHeartbeat LeaderElection::heartbeat(TimePoint now) const
{
    ElectionHeartbeat out;
    out.from = m_self;
    out.epoch = m_epoch;
    out.isLeading = isLeading();
    out.followedLeader = m_leader;
    if (!m_leader.empty()) {
        out.leaderAgeMillis = isLeading() ? 0 : (now - m_leaderLastHeard).count();
    }
    return out;
}

} // namespace marjoramhaven
