#include "marjoramhaven/node/RetryBudget.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr std::size_t MostKeys = 10'000;
}

RetryBudget::RetryBudget(double perTry, double most)
    : m_perTry(perTry)
    , m_most(most)
{
}

void RetryBudget::onTry(const std::string &key)
{
    if (m_tokens.size() >= MostKeys) {
        m_tokens.clear();
    }
    auto [it, isNew] = m_tokens.try_emplace(key, m_most);
    it->second = std::min(m_most, it->second + m_perTry);
}

bool RetryBudget::takeRetry(const std::string &key)
{
    const auto it = m_tokens.find(key);
    if (it == m_tokens.end() || it->second < 1) {
        return false;
    }
    it->second -= 1;
    return true;
}

} // namespace marjoramhaven
