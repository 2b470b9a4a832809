#include "marjoramhaven/ledger/ClaimTable.h"

namespace marjoramhaven {

void ClaimTable::apply(const ClaimMade &record)
{
    const std::lock_guard guard(m_lock);
    if (m_releasedNonces.contains(record.nonce)) {
        return;
    }
    auto &entry = m_claims[record.key];
    if (entry.nonce.empty() && !entry.end) {
        entry.nonce = record.nonce;
        entry.holder = record.holder;
        entry.fingerprint = record.fingerprint;
    }
}

void ClaimTable::apply(const ClaimReleased &record)
{
    const std::lock_guard guard(m_lock);
    // A retried append may have put the claim into the log a second time, after its release.
    m_releasedNonces.emplace(record.nonce, record.key);
    const auto it = m_claims.find(record.key);
    if (it != m_claims.end() && it->second.nonce == record.nonce && !it->second.end) {
        it->second.nonce.clear();
        it->second.holder.clear();
    }
}

void ClaimTable::apply(const ClaimSettled &record)
{
    const std::lock_guard guard(m_lock);
    auto &entry = m_claims[record.key];
    if (!entry.end) {
        entry.end = TaskEnd {record.outcome, record.result};
    }
}

std::optional<ClaimEntry> ClaimTable::claim(const std::string &key) const
{
    const std::lock_guard guard(m_lock);
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return std::nullopt;
    }
    return it->second;
}

std::size_t ClaimTable::size() const
{
    const std::lock_guard guard(m_lock);
    return m_claims.size();
}

} // namespace marjoramhaven
