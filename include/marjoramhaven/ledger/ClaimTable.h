#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "marjoramhaven/ledger/JobLedger.h"
#include "marjoramhaven/ledger/LogRecord.h"

namespace marjoramhaven {

/// The state of one claimed key.
struct ClaimEntry {
    /// Nonce of the claim that counts; empty after a release.
    std::string nonce;
    std::string holder;
    std::uint64_t fingerprint = 0;
    /// Set when the outcome is recorded.
    std::optional<TaskEnd> end;
};

/// Claims of unrepeatable work, folded from the log. Safe to use from several threads.
class ClaimTable
{
public:
    /// Folds a claim: it counts when the key has none that counts.
    void apply(const ClaimMade &record);
    /// Folds a release: only the holder of the claim that counts can release it, and only before its outcome.
    void apply(const ClaimReleased &record);
    /// Folds an outcome; the first one counts.
    void apply(const ClaimSettled &record);

    /// The state of a key, or nothing when it was never claimed.
    std::optional<ClaimEntry> claim(const std::string &key) const;
    /// Number of keys known.
    std::size_t size() const;

private:
    mutable std::mutex m_lock;
    std::unordered_map<std::string, ClaimEntry> m_claims;
    /// Nonces whose release came before or after their claim; they never count again.
    std::unordered_map<std::string, std::string> m_releasedNonces;
};

} // namespace marjoramhaven
