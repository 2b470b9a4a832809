#include "marjoramhaven/fleetnode/ConfigurationState.h"

#include <algorithm>

namespace marjoramhaven {

ConfigurationState::ConfigurationState(Millis applyWithin)
    : m_applyWithin(applyWithin)
{
}

bool ConfigurationState::apply(FleetConfiguration configuration, std::string text, std::string source)
{
    if (configuration.version <= version()) {
        return false;
    }
    m_configuration = std::move(configuration);
    m_text = std::move(text);
    m_source = std::move(source);
    m_newerVersions.erase(m_newerVersions.begin(), m_newerVersions.upper_bound(version()));
    return true;
}

void ConfigurationState::noteVersionOfPeer(std::int64_t version, TimePoint now)
{
    if (version > this->version()) {
        m_newerVersions.try_emplace(version, now);
    }
}

bool ConfigurationState::isProven(TimePoint now) const
{
    const auto age = proofAge(now);
    return m_configuration && m_newerVersions.empty() && age && *age <= m_applyWithin;
}

bool ConfigurationState::isOutdated(TimePoint now) const
{
    return !m_newerVersions.empty() && now - m_newerVersions.begin()->second > m_applyWithin;
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
