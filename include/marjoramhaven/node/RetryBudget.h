#pragma once

#include <string>
#include <unordered_map>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Limits the retries of each key to a fraction of its first attempts, so that retries can't multiply the load of an outage.
///
/// A token bucket per key: each first attempt adds a fraction of a token up to a maximum, and each retry takes one token. A new key starts with the maximum.
class RetryBudget
{
public:
    /// Sets the tokens that one first attempt adds, and the maximum that a key can hold.
    RetryBudget(double tokensPerFirstAttempt, double maxTokens);

    /// Adds the tokens of a first attempt.
    void onFirstAttempt(const std::string &key);
    /// Takes one token for a retry. Returns false when less than one is left; the caller must not retry then.
    bool consumeRetry(const std::string &key);

private:
    double m_tokensPerFirstAttempt;
    double m_maxTokens;
    std::unordered_map<std::string, double> m_tokens;
};

} // namespace marjoramhaven
