#include "marjoramhaven/zone/Leadership.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr Millis InitialListenPeriod {500};
constexpr Millis TakeoverDelay {100};
constexpr Millis DelayPerRank {250};
constexpr Millis LeaderHeardWithin {450};
constexpr Millis InitialBackOff {500};
constexpr Millis BackOffResetAfter {60'000};
constexpr int MaxBackOffDoublings = 1;
} // namespace

Leadership::Leadership(std::string self, std::uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_leaderlessSince(now)
    , m_mayLeadFrom(now + InitialListenPeriod)
    , m_random(seed)
{
}

void Leadership::memberUp(const std::string &member, TimePoint now)
{
    auto &it = m_members[member];
    it = Member();
    it.isConnected = true;
    it.lastHeard = now;
}

void Leadership::memberDown(const std::string &member, TimePoint now)
{
    m_members[member].isConnected = false;
    if (m_leader == member) {
        m_leader.clear();
        m_leaderlessSince = now;
    }
}

void Leadership::onBeat(const ElectionHeartbeat &beat, TimePoint now)
{
    auto &member = m_members[beat.from];
    member.isConnected = true;
    member.lastHeard = now;
    member.follows = beat.leading ? beat.from : beat.follows;
    member.leaderLastHeard = beat.leaderAge >= 0 ? now - Millis(beat.leaderAge) : TimePoint {};
    if (beat.leading) {
        const bool wins = beat.epoch > m_epoch || (beat.epoch == m_epoch && (!isLeading() || beat.from < m_self));
        if (wins) {
            follow(beat.from, beat.epoch, now);
        }
    }
    m_epoch = std::max(m_epoch, beat.epoch);
}

void Leadership::follow(const std::string &leader, std::int64_t epoch, TimePoint now)
{
    m_leader = leader;
    m_epoch = epoch;
    m_leaderLastHeard = now;
}

void Leadership::lead(TimePoint now)
{
    m_leader = m_self;
    ++m_epoch;
    m_leadingSince = now;
}

void Leadership::stepDown(TimePoint now)
{
    if (!isLeading()) {
        return;
    }
    m_consecutiveStepDowns = now - m_leadingSince > BackOffResetAfter ? 0 : m_consecutiveStepDowns + 1;
    const auto pause = InitialBackOff * (1 << std::min(m_consecutiveStepDowns, MaxBackOffDoublings));
    m_mayLeadFrom = now + pause + Millis(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(pause.count())));
    m_leader.clear();
    m_leaderlessSince = now;
}

void Leadership::retire()
{
    m_hasLeftElection = true;
    if (isLeading()) {
        m_leader.clear();
    }
}

bool Leadership::isLeaderLive(TimePoint now) const
{
    const auto it = m_members.find(m_leader);
    return it != m_members.end() && it->second.isConnected && now - m_leaderLastHeard < SuspectAfter;
}

bool Leadership::isLeaderHeardByOthers(TimePoint now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &it) {
        const auto &member = it.second;
        const bool fresh = member.isConnected && now - member.lastHeard < SuspectAfter;
        return fresh && !member.follows.empty() && member.follows != m_self && now - member.leaderLastHeard < LeaderHeardWithin;
    });
}

std::vector<std::string> Leadership::liveMembers(TimePoint now) const
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

void Leadership::tick(TimePoint now)
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

ElectionHeartbeat Leadership::beat(TimePoint now) const
{
    ElectionHeartbeat out;
    out.from = m_self;
    out.epoch = m_epoch;
    out.leading = isLeading();
    out.follows = m_leader;
    if (!m_leader.empty()) {
        out.leaderAge = isLeading() ? 0 : (now - m_leaderLastHeard).count();
    }
    return out;
}

} // namespace marjoramhaven
