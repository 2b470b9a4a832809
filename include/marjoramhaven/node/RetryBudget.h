#pragma once

#include <string>
#include <unordered_map>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Bounds retries to a share of first tries, per key, so that retries can't multiply a load.
///
/// Each first try adds a fraction of a token up to a cap; each retry takes a whole one.
class RetryBudget
{
public:
    /// Tokens that a first try adds, and the most that are kept.
    RetryBudget(double tokensPerFirstAttempt, double maxTokens);

    /// Counts a first try.
    void onFirstAttempt(const std::string &key);
    /// Takes a retry; false when the budget is used up.
    bool consumeRetry(const std::string &key);

private:
    double m_tokensPerFirstAttempt;
    double m_maxTokens;
    std::unordered_map<std::string, double> m_tokens;
};

} // namespace marjoramhaven
