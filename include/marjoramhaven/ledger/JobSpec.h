#pragma once

#include <QJsonObject>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Findings.h"
#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/config/Configuration.h"

namespace marjoramhaven {

/// The kinds of work a caller can submit.
enum class JobKind {
    /// Long-running replicas that are replaced when they end.
    Service,
    /// Many independent tasks that may wait.
    Batch,
    /// Tasks that all start together or not at all.
    AllAtOnce,
    /// One task whose result the caller waits for on the line.
    ShortRequest,
};

template<>
struct EnumTable<JobKind> {
    static constexpr EnumName<JobKind> Rows[] = {
        {JobKind::Service, "service"},
        {JobKind::Batch, "batch"},
        {JobKind::AllAtOnce, "all-at-once"},
        {JobKind::ShortRequest, "short"},
    };
};

/// What a caller submits: a job, or a short request.
struct JobSpec {
    std::string id;
    std::string team;
    std::string urgency;
    JobKind kind = JobKind::Batch;
    /// Reservation of each task.
    Resources resources;
    int tasks = 1;
    /// False when a task must run at most once.
    bool repeatable = true;
    /// The zone to run in; the zone of the entry process when empty.
    std::string zone;
    /// Time a short request may take until its answer.
    Millis deadline {10000};
    /// Passed to the worker untouched.
    QJsonObject work;

    /// As JSON, with every member.
    QJsonObject toJson() const;
    /// Reads and checks one submission; what is wrong becomes findings.
    static JobSpec fromJson(const QJsonObject &object, Findings &findings);
    /// Checks the names a submission uses against the configuration in force.
    void checkAgainst(const Configuration &configuration, Findings &findings) const;
    /// Equal for equal submissions, whatever the order of their members and the zone they came through.
    std::uint64_t fingerprint() const;
};

} // namespace marjoramhaven
