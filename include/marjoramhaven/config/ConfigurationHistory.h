#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/config/Configuration.h"

namespace marjoramhaven {

/// A patch as an operator sent it.
struct ConfigurationPatch {
    /// Idempotency key chosen by the sender: a second record with the same id has no effect.
    std::string id;
    /// Number of the version that the patch was written against.
    std::int64_t base = 0;
    std::string author;
    /// A JSON merge patch (RFC 7386).
    QJsonObject patch;
};

/// Whether a patch took effect.
enum class PatchState {
    Accepted,
    Refused,
};

template<>
struct EnumTable<PatchState> {
    static constexpr EnumName<PatchState> Rows[] = {{PatchState::Accepted, "accepted"}, {PatchState::Refused, "refused"}};
};

/// The verdict on a patch. It depends only on the log's records, so every process that applies the same records reaches the same verdict.
struct PatchVerdict {
    PatchState state = PatchState::Refused;
    /// The new version of an accepted patch, or the version that was in force when the patch was refused.
    std::int64_t version = 0;
    /// Why the patch was refused.
    Findings findings;
};

/// An accepted version of the configuration and the patch that produced it.
struct ConfigurationVersion {
    std::int64_t number = 0;
    /// Hash over the document, chained to the hash of the version before: processes with the same number and hash have the same history.
    std::uint64_t hash = 0;
    /// Offset of the patch's record in the log; -1 for version 0.
    std::int64_t offset = -1;
    ConfigurationPatch patch;
    /// The whole document of this version.
    QJsonObject document;
};

/// The accepted versions of the configuration, in order. Versions are only ever added, and every process that reads the same log has the same ones.
/// The newest 500 versions and the verdicts on the last 1000 refused patches are kept.
///
/// Thread-safe.
class ConfigurationHistory
{
public:
    ConfigurationHistory();

    /// Applies a patch that was read from the log at an offset, and returns the verdict on it.
    PatchVerdict applyFromLog(const ConfigurationPatch &patch, std::int64_t offset);
    /// Appends a version received from a peer or snapshot. Returns false and sets lastReason() unless it is the next version and its hash matches
    /// the one computed from the current version and the patch.
    bool appendVersion(const ConfigurationVersion &version);
    /// Replaces all versions by a later one from a peer or snapshot, which carries its whole document. Returns false and sets lastReason() when the version is
    /// not later than the one in force or its document is invalid.
    bool restore(const ConfigurationVersion &version);

    /// Returns the parsed configuration of the version in force; never null.
    std::shared_ptr<const Configuration> configuration() const;
    /// Returns the version in force.
    ConfigurationVersion current() const;
    /// Returns the number of the version in force.
    std::int64_t number() const;
    /// Returns the accepted versions above a number, oldest first, at most `limit` of them.
    std::vector<ConfigurationVersion> since(std::int64_t number, std::size_t limit) const;
    /// Returns one version. Returns std::nullopt and sets lastReason() when this process does not have it.
    std::optional<ConfigurationVersion> version(std::int64_t number) const;
    /// Returns the verdict on the patch with this id, or std::nullopt when no such patch is known.
    std::optional<PatchVerdict> verdict(const std::string &patchId) const;

private:
    const ConfigurationVersion *findById(const std::string &patchId) const;
    void push(ConfigurationVersion version, std::shared_ptr<const Configuration> parsed);

    mutable std::mutex m_lock;
    std::vector<ConfigurationVersion> m_versions;
    std::shared_ptr<const Configuration> m_parsed;
    std::vector<std::pair<std::string, PatchVerdict>> m_refused;
};

/// Computes the hash of a version from the hash of the version before and the document.
std::uint64_t configurationHash(std::uint64_t before, const QJsonObject &document);

} // namespace marjoramhaven
