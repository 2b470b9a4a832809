#pragma once

#include <QJsonObject>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

/// How one task came out.
enum class TaskOutcome {
    Done,
    Failed,
    /// It did not run and never will.
    NotRun,
    /// It may have run; it is not started again.
    Unknown,
    /// It ran and was stopped before its end.
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

/// A job was accepted; the first record with its id counts.
struct JobAccepted {
    JobSpec spec;
    std::string homeZone;
};

/// A caller asked to cancel a job.
struct JobCancelled {
    std::string jobId;
};

/// A task of a job came to its end; the first record for a task counts.
struct TaskEnded {
    std::string jobId;
    int index = 0;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// An entry process claims the one dispatch of an unrepeatable request or task; the first claim counts.
struct ClaimMade {
    std::string key;
    std::string nonce;
    std::string holder;
    std::uint64_t fingerprint = 0;
};

/// The holder of a claim gives it up; nothing ran under it.
struct ClaimReleased {
    std::string key;
    std::string nonce;
};

/// How a claimed request came out.
struct ClaimSettled {
    std::string key;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// The version in force, written again before the log's retention drops the patches that led to it.
struct ConfigurationSnapshot {
    ConfigurationVersion version;
    /// The writer had folded every record before this offset.
    std::int64_t appliedUpTo = 0;
};

/// One record of the log. A record that can't be read is skipped by every reader alike.
using LogRecord = std::variant<ConfigurationPatch, JobAccepted, JobCancelled, TaskEnded, ClaimMade, ClaimReleased, ClaimSettled, ConfigurationSnapshot>;

/// The record as it stands in the log.
QJsonObject toJson(const LogRecord &record);

/// Reads a record; nothing, with a last reason, when it is not one of ours.
std::optional<LogRecord> logRecordFromJson(const QJsonObject &object);

/// The version as it travels between processes.
QJsonObject toJson(const ConfigurationVersion &version);

/// Reads a version as it travels between processes.
ConfigurationVersion configurationVersionFromJson(const QJsonObject &object);

} // namespace marjoramhaven
