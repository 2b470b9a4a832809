#include "marjoramhaven/zone/FollowerProofs.h"

#include <algorithm>

namespace marjoramhaven {

void FollowerProofs::setListed(const std::set<std::string> &names)
{
    m_listed = names;
}

void FollowerProofs::confirm(const std::string &name, TimePoint at)
{
    auto &proof = m_proofs[name];
    if (!proof.first) {
        proof.first = at;
    }
    proof.last = std::max(proof.last, at);
}

bool FollowerProofs::allFollowedAt(TimePoint at) const
{
    return std::all_of(m_listed.begin(), m_listed.end(), [&](const auto &name) {
        const auto it = m_proofs.find(name);
        return it != m_proofs.end() && it->second.first && it->second.last >= at;
    });
}

std::optional<TimePoint> FollowerProofs::allFollowSince() const
{
    TimePoint since {};
    for (const auto &name : m_listed) {
        const auto it = m_proofs.find(name);
        if (it == m_proofs.end() || !it->second.first) {
            return std::nullopt;
        }
        since = std::max(since, *it->second.first);
    }
    return since;
}

} // namespace marjoramhaven
