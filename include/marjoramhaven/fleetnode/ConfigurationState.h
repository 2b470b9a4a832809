#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// The configuration in force in one process, where it came from, and what the process knows about newer versions.
class ConfigurationState
{
public:
    /// `applyWithin` is the time within which a confirmed configuration must be in force.
    explicit ConfigurationState(Millis applyWithin);

    /// Puts a configuration in force. Returns false, and changes nothing, unless its version is higher than that in force. `source` is "log" or the name of
    /// the peer that sent it.
    bool apply(FleetConfiguration configuration, std::string text, std::string source);
    /// Notes that a peer has a version.
    void noteVersionOfPeer(std::int64_t version, TimePoint now);
    /// Notes that the log had no newer version than the one in force at the given time.
    void noteProof(TimePoint at);

    /// Returns the configuration in force, or nullptr before the first one.
    const FleetConfiguration *configuration() const { return m_configuration ? &*m_configuration : nullptr; }
    /// Returns the configuration in force as its author wrote it; empty before the first one.
    const std::string &text() const { return m_text; }
    /// Returns where the configuration in force came from.
    const std::string &source() const { return m_source; }
    /// Returns the version in force, or -1 before the first one.
    std::int64_t version() const { return m_configuration ? m_configuration->version : -1; }
    /// Returns the highest version that this process or one of its peers has.
    std::int64_t newestKnownVersion() const { return m_newerVersions.empty() ? version() : m_newerVersions.rbegin()->first; }
    /// Returns the time since the log last proved that there was no newer version, or std::nullopt if it never did.
    std::optional<Millis> proofAge(TimePoint now) const;
    /// Returns true when every version that must be in force now is known to be. Only then does a missing queue prove that there is none.
    bool isProven(TimePoint now) const;
    /// Returns true when a newer version has been known for longer than it may take to come into force, so that the one in force must not be used.
    bool isOutdated(TimePoint now) const;

private:
    const Millis m_applyWithin;
    std::optional<FleetConfiguration> m_configuration;
    std::string m_text;
    std::string m_source;
    /// Versions of peers that are newer than the one in force, with the time at which each became known.
    std::map<std::int64_t, TimePoint> m_newerVersions;
    std::optional<TimePoint> m_provenAt;
};

} // namespace marjoramhaven
