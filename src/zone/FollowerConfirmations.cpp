#include "marjoramhaven/zone/FollowerConfirmations.h"

#include <algorithm>

namespace marjoramhaven {

void FollowerConfirmations::setListedProcesses(const std::set<std::string> &names)
{
    m_listed = names;
}

void FollowerConfirmations::confirm(const std::string &name, TimePoint at)
{
    auto &confirmation = m_confirmations[name];
    if (!confirmation.first) {
        confirmation.first = at;
    }
    confirmation.last = std::max(confirmation.last, at);
}

bool FollowerConfirmations::allConfirmedSince(TimePoint at) const
{
    return std::all_of(m_listed.begin(), m_listed.end(), [&](const auto &name) {
        const auto it = m_confirmations.find(name);
        return it != m_confirmations.end() && it->second.first && it->second.last >= at;
    });
}

std::optional<TimePoint> FollowerConfirmations::firstConfirmedByAll() const
{
    TimePoint since {};
    for (const auto &name : m_listed) {
        const auto it = m_confirmations.find(name);
        if (it == m_confirmations.end() || !it->second.first) {
            return std::nullopt;
        }
        since = std::max(since, *it->second.first);
    }
    return since;
}

} // namespace marjoramhaven
