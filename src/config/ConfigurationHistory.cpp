#include "marjoramhaven/config/ConfigurationHistory.h"

#include <QJsonDocument>
#include <algorithm>
#include <xxhash.h>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/MergePatch.h"

namespace marjoramhaven {

namespace {
constexpr std::size_t RefusalsKept = 1000;
constexpr std::size_t VersionsKept = 500;
} // namespace

std::uint64_t configurationHash(std::uint64_t before, const QJsonObject &document)
{
    const QByteArray bytes = jsonBytes(document);
    return XXH64(bytes.constData(), static_cast<std::size_t>(bytes.size()), before);
}

ConfigurationHistory::ConfigurationHistory()
{
    ConfigurationVersion initial;
    initial.document = Configuration::initialDocument();
    initial.hash = configurationHash(0, initial.document);
    Findings findings;
    push(std::move(initial), Configuration::read(Configuration::initialDocument(), findings));
}

const ConfigurationVersion *ConfigurationHistory::findById(const std::string &patchId) const
{
    const auto it = std::find_if(m_versions.begin(), m_versions.end(), [&](const auto &version) {
        return version.number > 0 && version.patch.id == patchId;
    });
    return it == m_versions.end() ? nullptr : &*it;
}

void ConfigurationHistory::push(ConfigurationVersion version, std::shared_ptr<const Configuration> typed)
{
    m_versions.push_back(std::move(version));
    m_typed = std::move(typed);
    if (m_versions.size() > VersionsKept) {
        m_versions.erase(m_versions.begin());
    }
}

PatchVerdict ConfigurationHistory::applyFromLog(const ConfigurationPatch &patch, std::int64_t offset)
{
    const std::lock_guard guard(m_lock);
    PatchVerdict verdict;
    if (const auto *known = findById(patch.id)) {
        verdict.state = PatchState::Accepted;
        verdict.version = known->number;
        return verdict;
    }
    const auto earlier = std::find_if(m_refused.begin(), m_refused.end(), [&](const auto &it) {
        return it.first == patch.id;
    });
    if (earlier != m_refused.end()) {
        return earlier->second;
    }
    const auto &now = m_versions.back();
    verdict.version = now.number;
    std::shared_ptr<const Configuration> typed;
    ConfigurationVersion next;
    // A record older than the newest version was decided before this process learnt of that version from a peer.
    if (patch.base != now.number || offset <= now.offset) {
        verdict.findings.add(
            "/base", "the patch was written against version " + std::to_string(patch.base) + ", but version " + std::to_string(now.number) + " is in force");
    } else {
        next.document = applyMergePatch(now.document, patch.patch);
        typed = Configuration::read(next.document, verdict.findings);
    }
    if (!typed) {
        m_refused.emplace_back(patch.id, verdict);
        if (m_refused.size() > RefusalsKept) {
            m_refused.erase(m_refused.begin());
        }
        return verdict;
    }
    next.number = now.number + 1;
    next.offset = offset;
    next.hash = configurationHash(now.hash, next.document);
    next.patch = patch;
    verdict.state = PatchState::Accepted;
    verdict.version = next.number;
    push(std::move(next), std::move(typed));
    return verdict;
}

bool ConfigurationHistory::adopt(const ConfigurationVersion &version)
{
    const std::lock_guard guard(m_lock);
    const auto &now = m_versions.back();
    if (version.number != now.number + 1) {
        setLastReason("not the next version");
        return false;
    }
    const auto document = applyMergePatch(now.document, version.patch.patch);
    Findings findings;
    auto typed = Configuration::read(document, findings);
    if (!typed || configurationHash(now.hash, document) != version.hash) {
        setLastReason("the hash does not agree with the version before");
        return false;
    }
    ConfigurationVersion next = version;
    next.document = document;
    push(std::move(next), std::move(typed));
    return true;
}

bool ConfigurationHistory::restore(const ConfigurationVersion &version)
{
    const std::lock_guard guard(m_lock);
    if (version.number <= m_versions.back().number) {
        setLastReason("not a later version");
        return false;
    }
    Findings findings;
    auto typed = Configuration::read(version.document, findings);
    if (!typed) {
        setLastReason("the document is not valid: " + findings.toString());
        return false;
    }
    m_versions.clear();
    push(version, std::move(typed));
    return true;
}

std::shared_ptr<const Configuration> ConfigurationHistory::configuration() const
{
    const std::lock_guard guard(m_lock);
    return m_typed;
}

ConfigurationVersion ConfigurationHistory::current() const
{
    const std::lock_guard guard(m_lock);
    return m_versions.back();
}

std::int64_t ConfigurationHistory::number() const
{
    const std::lock_guard guard(m_lock);
    return m_versions.back().number;
}

std::vector<ConfigurationVersion> ConfigurationHistory::since(std::int64_t number, std::size_t limit) const
{
    const std::lock_guard guard(m_lock);
    std::vector<ConfigurationVersion> out;
    for (const auto &it : m_versions) {
        if (it.number > number && out.size() < limit) {
            out.push_back(it);
        }
    }
    return out;
}

std::optional<ConfigurationVersion> ConfigurationHistory::version(std::int64_t number) const
{
    const std::lock_guard guard(m_lock);
    for (const auto &it : m_versions) {
        if (it.number == number) {
            return it;
        }
    }
    setLastReason("version " + std::to_string(number) + " is not known here");
    return std::nullopt;
}

std::optional<PatchVerdict> ConfigurationHistory::verdict(const std::string &patchId) const
{
    const std::lock_guard guard(m_lock);
    if (const auto *known = findById(patchId)) {
        PatchVerdict out;
        out.state = PatchState::Accepted;
        out.version = known->number;
        return out;
    }
    for (const auto &[id, verdict] : m_refused) {
        if (id == patchId) {
            return verdict;
        }
    }
    return std::nullopt;
}

} // namespace marjoramhaven
