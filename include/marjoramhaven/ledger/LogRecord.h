#pragma once

#include <QJsonObject>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

/// The outcome of one task.
enum class TaskOutcome {
    Done,
    Failed,
    /// The task did not run and never will.
    NotRun,
    /// The task may have run; it is not started again.
    Unknown,
    /// The task ran and was stopped before it finished.
    Stopped,
};

template<>
struct EnumTable<TaskOutcome> {
    static constexpr EnumName<TaskOutcome> Rows[] = {
        {TaskOutcome::Done, "done"},
        {TaskOutcome::Failed, "failed"},
        {TaskOutcome::NotRun, "not-run"},
        {TaskOutcome::Unknown, "unknown"},
        {TaskOutcome::Stopped, "stopped"},
    };
};

/// Records that a job was accepted. Only the first record with its id takes effect.
struct JobAccepted {
    JobSpec spec;
    /// The zone whose leader runs the job.
    std::string homeZone;
};

/// Records that a caller asked to cancel a job.
struct JobCancelled {
    std::string jobId;
};

/// Records that a task of a job ended. Only the first record for a task takes effect.
struct TaskEnded {
    std::string jobId;
    int index = 0;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// Records that an entry process claims the right to dispatch an unrepeatable request or task, once. The first claim of a key takes effect.
struct ClaimMade {
    /// Id of the request or task.
    std::string key;
    /// Identifies this claim among all claims of the key.
    std::string nonce;
    /// Claimant: the leader's name for a task of a job, the entry process's random nonce prefix for a short request.
    std::string holder;
    /// Fingerprint of the submission, which tells another submission under the same id from a repeated one.
    std::uint64_t fingerprint = 0;
};

/// Records that the holder of a claim gives it up. Nothing ran under the claim.
struct ClaimReleased {
    std::string key;
    std::string nonce;
};

/// Records the outcome of a claimed request.
struct ClaimSettled {
    std::string key;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// Records the configuration version in force. It is written again before the log's retention removes the patches that led to it.
struct ConfigurationSnapshot {
    ConfigurationVersion version;
    /// The writer had applied every record before this offset, and none from it onwards.
    std::int64_t appliedUpTo = 0;
};

/// One record of the log. A record that can't be decoded is skipped by every reader alike, so that all readers keep the same state.
using LogRecord = std::variant<ConfigurationPatch, JobAccepted, JobCancelled, TaskEnded, ClaimMade, ClaimReleased, ClaimSettled, ConfigurationSnapshot>;

/// Returns the JSON form of a record that is stored in the log.
QJsonObject toJson(const LogRecord &record);

/// Decodes a record. Returns std::nullopt, with a last reason, when the type is unknown or a field is not valid.
std::optional<LogRecord> logRecordFromJson(const QJsonObject &object);

/// Returns the JSON form of a configuration version that entry processes send each other and that snapshots in the log hold.
QJsonObject toJson(const ConfigurationVersion &version);

/// Decodes the JSON form of a configuration version. Missing members get their defaults.
ConfigurationVersion configurationVersionFromJson(const QJsonObject &object);

} // namespace marjoramhaven
