#include "marjoramhaven/zone/ShortRequestTable.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr Millis ResultRetention {60'000};
constexpr std::size_t MaxRetainedBytes = 8 << 20;
// Estimated memory that a retained result takes beyond its key and text.
constexpr std::size_t PerResultOverheadBytes = 128;
} // namespace

void ShortRequestTable::add(const std::string &key, ActiveRequest active)
{
    m_active[key] = std::move(active);
}

void ShortRequestTable::remove(const std::string &key)
{
    m_active.erase(key);
}

const ShortRequestTable::ActiveRequest *ShortRequestTable::active(const std::string &key) const
{
    const auto it = m_active.find(key);
    return it == m_active.end() ? nullptr : &it->second;
}

void ShortRequestTable::setCheckAt(const std::string &key, TimePoint at)
{
    const auto it = m_active.find(key);
    if (it != m_active.end()) {
        it->second.checkAt = at;
    }
}

int ShortRequestTable::heldInClass(const std::string &urgency) const
{
    return static_cast<int>(std::count_if(m_held.begin(), m_held.end(), [&](const HeldRequest &it) {
        return it.spec.urgency == urgency;
    }));
}

void ShortRequestTable::retainResult(const std::string &key, const TaskEnd &end, TimePoint now)
{
    const auto bytes = key.size() + end.result.size() + PerResultOverheadBytes;
    if (!m_results.try_emplace(key, end).second) {
        return;
    }
    m_retained.push_back({key, now + ResultRetention});
    m_retainedBytes += bytes;
    expire(now);
}

const TaskEnd *ShortRequestTable::result(const std::string &key) const
{
    const auto it = m_results.find(key);
    return it == m_results.end() ? nullptr : &it->second;
}

void ShortRequestTable::expire(TimePoint now)
{
    while (!m_retained.empty() && (now >= m_retained.front().until || m_retainedBytes > MaxRetainedBytes)) {
        const auto it = m_results.find(m_retained.front().key);
        if (it != m_results.end()) {
            m_retainedBytes -= it->first.size() + it->second.result.size() + PerResultOverheadBytes;
            m_results.erase(it);
        }
        m_retained.pop_front();
    }
}

} // namespace marjoramhaven
