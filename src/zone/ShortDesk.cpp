#include "marjoramhaven/zone/ShortDesk.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr Millis KeepResultsFor {60'000};
constexpr std::size_t KeepResultBytes = 8 << 20;
constexpr std::size_t KeptOverhead = 128;
} // namespace

void ShortDesk::add(const std::string &key, Active active)
{
    m_active[key] = std::move(active);
}

void ShortDesk::remove(const std::string &key)
{
    m_active.erase(key);
}

const ShortDesk::Active *ShortDesk::active(const std::string &key) const
{
    const auto it = m_active.find(key);
    return it == m_active.end() ? nullptr : &it->second;
}

void ShortDesk::lookUpLater(const std::string &key, TimePoint at)
{
    const auto it = m_active.find(key);
    if (it != m_active.end()) {
        it->second.lookUpAt = at;
    }
}

int ShortDesk::heldInClass(const std::string &urgency) const
{
    return static_cast<int>(std::count_if(m_held.begin(), m_held.end(), [&](const Held &it) {
        return it.spec.urgency == urgency;
    }));
}

void ShortDesk::keepResult(const std::string &key, const TaskEnd &end, TimePoint now)
{
    const auto bytes = key.size() + end.result.size() + KeptOverhead;
    if (!m_results.try_emplace(key, end).second) {
        return;
    }
    m_kept.push_back({key, now + KeepResultsFor});
    m_keptBytes += bytes;
    expire(now);
}

const TaskEnd *ShortDesk::result(const std::string &key) const
{
    const auto it = m_results.find(key);
    return it == m_results.end() ? nullptr : &it->second;
}

void ShortDesk::expire(TimePoint now)
{
    while (!m_kept.empty() && (now >= m_kept.front().until || m_keptBytes > KeepResultBytes)) {
        const auto it = m_results.find(m_kept.front().key);
        if (it != m_results.end()) {
            m_keptBytes -= it->first.size() + it->second.result.size() + KeptOverhead;
            m_results.erase(it);
        }
        m_kept.pop_front();
    }
}

} // namespace marjoramhaven
