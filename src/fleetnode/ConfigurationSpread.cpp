#include "marjoramhaven/fleetnode/ConfigurationSpread.h"

namespace marjoramhaven {

namespace {

// A peer that reads the log itself has the newest version by its second heartbeat.
constexpr int BehindOnPlannerLink = 2;
constexpr int BehindOnOtherLink = 3;

} // namespace

bool ConfigurationSpread::shouldSend(const std::string &peer, std::int64_t peerVersion, std::int64_t ownVersion, bool isPlannerLink)
{
    if (peerVersion >= ownVersion) {
        m_behind.erase(peer);
        return false;
    }
    auto &behind = m_behind[peer];
    ++behind;
    if (behind < (isPlannerLink ? BehindOnPlannerLink : BehindOnOtherLink)) {
        return false;
    }
    behind = 0;
    return true;
}

} // namespace marjoramhaven
