#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// State of the leader election that an entry process sends to the others of its zone.
struct ElectionHeartbeat {
    std::string from;
    /// Highest leadership epoch that the sender has seen.
    std::int64_t epoch = 0;
    bool isLeading = false;
    /// The leader that the sender follows; empty when it knows none.
    std::string followedLeader;
    /// Milliseconds since the sender last heard from its leader; negative when it knows none.
    std::int64_t leaderAgeMillis = -1;
};

/// Elects the entry process that leads a zone.
///
/// The election only keeps the zone available: two processes may lead for a short time, and the workers' sessions fence
/// off the older one. A working leader stays. A leader that has fallen silent is replaced by the first live member in
/// the order of names, and only when no member still hears from it. A leader that a worker fences steps down and waits
/// for a back-off time before it may lead again.
class LeaderElection
{
public:
    /// The seed determines the random part of the back-off.
    LeaderElection(std::string self, std::uint64_t seed, TimePoint now);

    /// Handles a new connection to a member.
    void memberUp(const std::string &member, TimePoint now);
    /// Handles the loss of the connection to a member.
    void memberDown(const std::string &member, TimePoint now);
    /// Handles a heartbeat from a member.
    void onHeartbeat(const ElectionHeartbeat &heartbeat, TimePoint now);
    /// Stops leading and backs off, because a worker fenced this process or because it reaches no worker.
    void stepDown(TimePoint now);
    /// Stops leading for a planned shutdown and never leads again.
    void leaveElection();
    /// Checks the leader's liveness and takes over when it is this process's turn; to be called at least every 50 ms.
    void tick(TimePoint now);

    /// Returns the heartbeat to send now.
    ElectionHeartbeat heartbeat(TimePoint now) const;
    bool isLeading() const { return m_leader == m_self; }
    /// Returns the leader that this process knows; empty when it knows none.
    const std::string &leader() const { return m_leader; }
    std::int64_t epoch() const { return m_epoch; }
    /// Returns this process and all connected members heard from within SuspectAfter, in the order of names.
    std::vector<std::string> liveMembers(TimePoint now) const;

    /// Interval between two heartbeats.
    static constexpr Millis HeartbeatInterval {200};
    /// A leader that has been silent for this long is suspected to be dead.
    static constexpr Millis SuspectAfter {500};

private:
    struct Member {
        bool isConnected = false;
        TimePoint lastHeard {};
        TimePoint leaderLastHeard {};
        std::string followedLeader;
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
