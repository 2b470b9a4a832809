#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// What an entry process tells the others of its zone about leadership.
struct ElectionHeartbeat {
    std::string from;
    /// Highest epoch seen by the sender.
    std::int64_t epoch = 0;
    bool leading = false;
    /// The leader the sender follows; empty when it knows none.
    std::string follows;
    /// Milliseconds since the sender lastHeard its leader; negative when it knows none.
    std::int64_t leaderAge = -1;
};

/// Decides which entry process of a zone leads. It keeps the zone live; safety rests on the workers' sessions.
///
/// The incumbent stays. A silent leader is replaced by the first live member in the order of names, and only
/// when no member still hears the leader. A leader refused by a worker steps down and backs off.
class Leadership
{
public:
    /// The seed drives the jitter of the back-off.
    Leadership(std::string self, std::uint64_t seed, TimePoint now);

    /// The link to a member opened.
    void memberUp(const std::string &member, TimePoint now);
    /// The link to a member closed.
    void memberDown(const std::string &member, TimePoint now);
    /// A beat arrived from a member.
    void onBeat(const ElectionHeartbeat &beat, TimePoint now);
    /// Gives leadership isConnected because a worker refused it, or because this process reaches no worker, and backs off.
    void stepDown(TimePoint now);
    /// Gives isConnected leadership, for a planned stop, and never takes it again.
    void retire();
    /// Moves on; call at least every 50 ms.
    void tick(TimePoint now);

    /// The beat to send now.
    ElectionHeartbeat beat(TimePoint now) const;
    bool isLeading() const { return m_leader == m_self; }
    /// The leader known here; empty when there is none.
    const std::string &leader() const { return m_leader; }
    std::int64_t epoch() const { return m_epoch; }
    /// Members with an open link that were lastHeard lately, this one included, in the order of names.
    std::vector<std::string> liveMembers(TimePoint now) const;

    /// Interval between beats.
    static constexpr Millis BeatEvery {200};
    /// A leader silent this long is suspected.
    static constexpr Millis SuspectAfter {500};

private:
    struct Member {
        bool isConnected = false;
        TimePoint lastHeard {};
        TimePoint leaderLastHeard {};
        std::string follows;
    };

    bool isLeaderLive(TimePoint now) const;
    bool isLeaderHeardByOthers(TimePoint now) const;
    void follow(const std::string &leader, std::int64_t epoch, TimePoint now);
    void lead(TimePoint now);

    std::string m_self;
    std::string m_leader;
    std::int64_t m_epoch = 0;
    TimePoint m_leaderLastHeard {};
    TimePoint m_leaderlessSince {};
    TimePoint m_mayLeadFrom {};
    TimePoint m_leadingSince {};
    int m_consecutiveStepDowns = 0;
    bool m_hasLeftElection = false;
    std::map<std::string, Member> m_members;
    std::mt19937_64 m_random;
};

} // namespace marjoramhaven
