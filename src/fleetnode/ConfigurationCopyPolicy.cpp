#include "marjoramhaven/fleetnode/ConfigurationCopyPolicy.h"

namespace marjoramhaven {

namespace {

// A process that reads the log itself has the newest version within this time, unless its link is slow or the log does not answer.
constexpr Millis CopyDelay {800};
// Long enough for a large configuration on a slow link.
constexpr Millis CopyTimeout {3000};

} // namespace

bool ConfigurationCopyPolicy::shouldAsk(const std::string &peer, std::int64_t peerVersion, std::int64_t ownVersion, TimePoint now)
{
    if (peerVersion <= ownVersion) {
        return false;
    }
    if (!m_behindSince || m_behindVersion != ownVersion) {
        m_behindVersion = ownVersion;
        m_behindSince = now;
        m_askedAt.reset();
        m_askedPeer.clear();
    }
    if (now - *m_behindSince < CopyDelay) {
        return false;
    }
    // A peer that did not answer is not asked again before another had its turn.
    const auto pause = peer == m_askedPeer ? CopyTimeout * 2 : CopyTimeout;
    if (m_askedAt && now - *m_askedAt < pause) {
        return false;
    }
    m_askedPeer = peer;
    m_askedAt = now;
    return true;
}

void ConfigurationCopyPolicy::forget(const std::string &peer)
{
    if (peer == m_askedPeer) {
        m_askedAt.reset();
    }
}

} // namespace marjoramhaven
