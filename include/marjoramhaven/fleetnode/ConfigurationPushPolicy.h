#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace marjoramhaven {

/// Decides when a process sends its configuration to a peer that has an older version.
///
/// Every process reads configurations from the log itself, and sending a large one occupies a slow link for a good part of a second. Therefore only peers that
/// stay behind for several heartbeats are sent one, and by few processes.
class ConfigurationPushPolicy
{
public:
    /// Handles the version that a peer's heartbeat reports. Returns true when this process sends the peer its own configuration now. Heartbeats are frequent on
    /// links to or from the planner, and rare on others.
    bool shouldSend(const std::string &peer, std::int64_t peerVersion, std::int64_t ownVersion, bool isPlannerLink);
    /// Resets the count of a peer whose link was lost.
    void forget(const std::string &peer) { m_heartbeatsBehind.erase(peer); }

private:
    /// Number of consecutive heartbeats in which each peer reported an older version.
    std::map<std::string, int> m_heartbeatsBehind;
};

} // namespace marjoramhaven
