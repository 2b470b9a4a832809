#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "marjoramhaven/ledger/JobTable.h"
#include "marjoramhaven/ledger/LogRecord.h"

namespace marjoramhaven {

/// The state of one claimed key: the id of an unrepeatable request or task.
struct ClaimEntry {
    /// Nonce of the claim in effect; empty when there is none, as after a release.
    std::string nonce;
    /// Claimant: the leader's name for a task of a job, the entry process's random nonce prefix for a short request.
    std::string holder;
    /// Fingerprint of the claimed request; 0 when none was recorded.
    std::uint64_t fingerprint = 0;
    /// The recorded outcome; empty until the log holds one.
    std::optional<TaskEnd> end;
};

/// The claims on unrepeatable requests and tasks, as recorded in the log. Thread-safe.
class ClaimTable
{
public:
    /// Applies a claim. It takes effect only when the key has neither a claim in effect nor an outcome.
    void apply(const ClaimMade &record);
    /// Applies a release. It must carry the nonce of the claim in effect, and has no effect after the outcome is recorded.
    void apply(const ClaimReleased &record);
    /// Applies an outcome. The first one recorded for a key is final.
    void apply(const ClaimSettled &record);

    /// Returns the state of a key, or std::nullopt when the log holds no record about it.
    std::optional<ClaimEntry> claim(const std::string &key) const;
    /// Returns the number of known keys.
    std::size_t size() const;

private:
    mutable std::mutex m_lock;
    std::unordered_map<std::string, ClaimEntry> m_claims;
    /// Nonces of released claims, with their keys. A claim with such a nonce is ignored, whether it precedes or follows its release in the log.
    std::unordered_map<std::string, std::string> m_releasedNonces;
};

} // namespace marjoramhaven
