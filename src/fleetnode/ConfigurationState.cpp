#include "marjoramhaven/fleetnode/ConfigurationState.h"

#include <algorithm>

namespace marjoramhaven {

bool ConfigurationState::apply(FleetConfiguration configuration, std::string text, std::string source)
{
    if (configuration.version <= version()) {
        return false;
    }
    m_configuration = std::move(configuration);
    m_text = std::move(text);
    m_source = std::move(source);
    noteVersionOfPeer(version());
    return true;
}

void ConfigurationState::noteVersionOfPeer(std::int64_t version)
{
    m_newestKnownVersion = std::max(m_newestKnownVersion, version);
}

void ConfigurationState::noteProof(TimePoint at)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, at) : at;
}

std::optional<Millis> ConfigurationState::proofAge(TimePoint now) const
{
    return m_provenAt ? std::optional(std::chrono::duration_cast<Millis>(now - *m_provenAt)) : std::nullopt;
}

} // namespace marjoramhaven
