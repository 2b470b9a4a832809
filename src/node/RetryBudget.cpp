#include "marjoramhaven/node/RetryBudget.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
// Bounds the memory: when this many keys are held, all budgets are reset to the maximum.
constexpr std::size_t MaxKeys = 10'000;
} // namespace

RetryBudget::RetryBudget(double tokensPerFirstAttempt, double maxTokens)
    : m_tokensPerFirstAttempt(tokensPerFirstAttempt)
    , m_maxTokens(maxTokens)
{
}

void RetryBudget::onFirstAttempt(const std::string &key)
{
    if (m_tokens.size() >= MaxKeys) {
        m_tokens.clear();
    }
    auto [it, isNew] = m_tokens.try_emplace(key, m_maxTokens);
    it->second = std::min(m_maxTokens, it->second + m_tokensPerFirstAttempt);
}

bool RetryBudget::consumeRetry(const std::string &key)
{
    const auto it = m_tokens.find(key);
    if (it == m_tokens.end() || it->second < 1) {
        return false;
    }
    it->second -= 1;
    return true;
}

} // namespace marjoramhaven
