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
    /// Chosen by the sender; a second record with the same id changes nothing.
    std::string id;
    /// The version the patch was written against.
    std::int64_t base = 0;
    std::string author;
    QJsonObject patch;
};

/// What became of a patch.
enum class PatchState {
    Accepted,
    Refused,
};

template<>
struct EnumTable<PatchState> {
    static constexpr EnumName<PatchState> Rows[] = {{PatchState::Accepted, "accepted"}, {PatchState::Refused, "refused"}};
};

/// The verdict on a patch: the same in every process that folds the same records.
struct PatchVerdict {
    PatchState state = PatchState::Refused;
    /// The new version when accepted, else the version in force when it was refused.
    std::int64_t version = 0;
    Findings findings;
};

/// An accepted version with the patch that made it.
struct ConfigurationVersion {
    std::int64_t number = 0;
    /// Chained over the hash before and the document, so that equal numbers mean equal histories.
    std::uint64_t hash = 0;
    /// Offset of the record in the log.
    std::int64_t offset = -1;
    ConfigurationPatch patch;
    QJsonObject document;
};

/// The chain of accepted versions. It only grows; any process that reads the same log holds the same chain.
///
/// Safe to use from several threads.
class ConfigurationHistory
{
public:
    ConfigurationHistory();

    /// Folds a patch read from the log at an offset.
    PatchVerdict applyFromLog(const ConfigurationPatch &patch, std::int64_t offset);
    /// Takes a version learnt from a peer or snapshot. False, with a last reason, unless it is the next one and its hash agrees.
    bool adopt(const ConfigurationVersion &version);
    /// Replaces the chain by a later version out of a snapshot. False when the version in force is not earlier.
    bool restore(const ConfigurationVersion &version);

    /// The typed form of the version in force; never null.
    std::shared_ptr<const Configuration> configuration() const;
    /// The version in force.
    ConfigurationVersion current() const;
    /// Number of the version in force.
    std::int64_t number() const;
    /// Accepted versions above a number, oldest first, at most `limit` of them.
    std::vector<ConfigurationVersion> since(std::int64_t number, std::size_t limit) const;
    /// One version, or nothing when it is unknown here.
    std::optional<ConfigurationVersion> version(std::int64_t number) const;
    /// The verdict on a patch id seen in the log, or nothing.
    std::optional<PatchVerdict> verdict(const std::string &patchId) const;

private:
    const ConfigurationVersion *findById(const std::string &patchId) const;
    void push(ConfigurationVersion version, std::shared_ptr<const Configuration> typed);

    mutable std::mutex m_lock;
    std::vector<ConfigurationVersion> m_versions;
    std::shared_ptr<const Configuration> m_typed;
    std::vector<std::pair<std::string, PatchVerdict>> m_refused;
};

/// Hash of a version: chained over the hash before it and its document.
std::uint64_t configurationHash(std::uint64_t before, const QJsonObject &document);

} // namespace marjoramhaven
