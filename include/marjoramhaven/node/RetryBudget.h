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
    RetryBudget(double perTry, double most);

    /// Counts a first try.
    void onTry(const std::string &key);
    /// Takes a retry; false when the budget is used up.
    bool takeRetry(const std::string &key);

private:
    double m_perTry;
    double m_most;
    std::unordered_map<std::string, double> m_tokens;
};

} // namespace marjoramhaven
