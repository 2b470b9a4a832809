#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Decides when a process asks a peer for a copy of a newer configuration.
///
/// Every process reads configurations from the log itself, and a copy of a large one occupies a slow link for a good part of a second. Therefore only a process
/// that has stayed behind for a while asks, and it asks one peer at a time.
class ConfigurationCopyPolicy
{
public:
    /// Handles the version that a peer's heartbeat reports. Returns true when this process asks that peer for its configuration now.
    bool shouldAsk(const std::string &peer, std::int64_t peerVersion, std::int64_t ownVersion, TimePoint now);
    /// Gives up a copy that was asked of a peer whose link was lost.
    void forget(const std::string &peer);

private:
    /// The version in force since which this process has been behind, and the time when it was first seen to be.
    std::int64_t m_behindVersion = -1;
    std::optional<TimePoint> m_behindSince;
    /// The peer that was asked last, and when. The time is empty when no copy is expected.
    std::string m_askedPeer;
    std::optional<TimePoint> m_askedAt;
};

} // namespace marjoramhaven
