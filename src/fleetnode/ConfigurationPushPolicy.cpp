#include "marjoramhaven/fleetnode/ConfigurationPushPolicy.h"

namespace marjoramhaven {

namespace {

// A peer that reads the log itself has the newest version by its second heartbeat.
constexpr int PlannerLinkThreshold = 2;
constexpr int OtherLinkThreshold = 3;

} // namespace

bool ConfigurationPushPolicy::shouldSend(const std::string &peer, std::int64_t peerVersion, std::int64_t ownVersion, bool isPlannerLink)
{
    if (peerVersion >= ownVersion) {
        m_heartbeatsBehind.erase(peer);
        return false;
    }
    auto &behind = m_heartbeatsBehind[peer];
    ++behind;
    if (behind < (isPlannerLink ? PlannerLinkThreshold : OtherLinkThreshold)) {
        return false;
    }
    behind = 0;
    return true;
}

} // namespace marjoramhaven
