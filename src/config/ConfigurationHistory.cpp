#include "marjoramhaven/config/ConfigurationHistory.h"

#include <QJsonDocument>
#include <algorithm>
#include <xxhash.h>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/MergePatch.h"

namespace marjoramhaven {

namespace {
constexpr std::size_t MaxRefusals = 1000;
constexpr std::size_t MaxVersions = 500;
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

void ConfigurationHistory::push(ConfigurationVersion version, std::shared_ptr<const Configuration> parsed)
{
    m_versions.push_back(std::move(version));
    m_parsed = std::move(parsed);
    if (m_versions.size() > MaxVersions) {
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
    const auto refused = std::find_if(m_refused.begin(), m_refused.end(), [&](const auto &it) {
        return it.first == patch.id;
    });
    if (refused != m_refused.end()) {
        return refused->second;
    }
    const auto &latest = m_versions.back();
    verdict.version = latest.number;
    std::shared_ptr<const Configuration> parsed;
    ConfigurationVersion next;
    // A record at or before the offset of the latest version can arrive here when that version came from a peer before this process had read the log
    // up to it. Processes that read the log in time have refused the record (accepted patches are found by their id above), so it is refused here too.
    if (patch.base != latest.number || offset <= latest.offset) {
        verdict.findings.add(
            "/base", "the patch was written against version " + std::to_string(patch.base) + ", but version " + std::to_string(latest.number) + " is in force");
    } else {
        next.document = applyMergePatch(latest.document, patch.patch);
        parsed = Configuration::read(next.document, verdict.findings);
    }
    if (!parsed) {
        m_refused.emplace_back(patch.id, verdict);
        if (m_refused.size() > MaxRefusals) {
            m_refused.erase(m_refused.begin());
        }
        return verdict;
    }
    next.number = latest.number + 1;
    next.offset = offset;
    next.hash = configurationHash(latest.hash, next.document);
    next.patch = patch;
    verdict.state = PatchState::Accepted;
    verdict.version = next.number;
    push(std::move(next), std::move(parsed));
    return verdict;
}

bool ConfigurationHistory::appendVersion(const ConfigurationVersion &version)
{
    const std::lock_guard guard(m_lock);
    const auto &latest = m_versions.back();
    if (version.number != latest.number + 1) {
        setLastReason("the version is not the next one after the version in force");
        return false;
    }
    const auto document = applyMergePatch(latest.document, version.patch.patch);
    Findings findings;
    auto parsed = Configuration::read(document, findings);
    if (!parsed || configurationHash(latest.hash, document) != version.hash) {
        setLastReason("the version is invalid, or its hash does not match the hash computed from the version before");
        return false;
    }
    ConfigurationVersion next = version;
    next.document = document;
    push(std::move(next), std::move(parsed));
    return true;
}

bool ConfigurationHistory::restore(const ConfigurationVersion &version)
{
    const std::lock_guard guard(m_lock);
    if (version.number <= m_versions.back().number) {
        setLastReason("the version is not later than the version in force");
        return false;
    }
    Findings findings;
    auto parsed = Configuration::read(version.document, findings);
    if (!parsed) {
        setLastReason("the document of the version is invalid: " + findings.toString());
        return false;
    }
    m_versions.clear();
    push(version, std::move(parsed));
    return true;
}

std::shared_ptr<const Configuration> ConfigurationHistory::configuration() const
{
    const std::lock_guard guard(m_lock);
    return m_parsed;
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
    setLastReason("version " + std::to_string(number) + " is not among the versions that this process keeps");
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
