#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace marjoramhaven {

/// Decides when a process sends its configuration to one that is behind.
///
/// Every process reads configurations itself, and a large one costs a small link a good part of a second; so only those that stay behind get one, and from few.
class ConfigurationPushPolicy
{
public:
    /// A heartbeat told which version a peer has; true when ours is to be sent now. Links to or from the planner beat often, others rarely.
    bool shouldSend(const std::string &peer, std::int64_t peerVersion, std::int64_t ownVersion, bool isPlannerLink);
    /// Forgets a peer whose link was lost.
    void forget(const std::string &peer) { m_heartbeatsBehind.erase(peer); }

private:
    /// Heartbeats in a row by which each peer was behind.
    std::map<std::string, int> m_heartbeatsBehind;
};

} // namespace marjoramhaven
