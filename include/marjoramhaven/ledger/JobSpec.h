#pragma once

#include <QJsonObject>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Findings.h"
#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/config/Configuration.h"

namespace marjoramhaven {

/// The kinds of work that a caller can submit.
enum class JobKind {
    /// Long-running replicas, each replaced when it ends.
    Service,
    /// Independent tasks that may wait in the backlog.
    Batch,
    /// A gang: its tasks start all together or not at all.
    Gang,
    /// One task whose result is returned in the HTTP response to the submission.
    ShortRequest,
};

template<>
struct EnumTable<JobKind> {
    static constexpr EnumName<JobKind> Rows[] = {
        {JobKind::Service, "service"},
        {JobKind::Batch, "batch"},
        {JobKind::Gang, "all-at-once"},
        {JobKind::ShortRequest, "short"},
    };
};

/// A submission of a caller: a job, or a short request.
struct JobSpec {
    std::string id;
    std::string team;
    std::string urgency;
    JobKind kind = JobKind::Batch;
    /// Resources reserved for each task.
    Resources resources;
    int tasks = 1;
    /// False when a task must run at most once, so that it is never retried after a start of unknown outcome.
    bool repeatable = true;
    /// Zone to run in. When empty, the entry process that receives the submission fills in its own zone.
    std::string zone;
    /// Time limit of a short request, from its receipt until its answer.
    Millis deadline {10000};
    /// Passed to the worker unchanged.
    QJsonObject work;

    /// Returns the JSON form, which holds every member.
    QJsonObject toJson() const;
    /// Reads and validates a submission. Each violation is added to the findings.
    static JobSpec fromJson(const QJsonObject &object, Findings &findings);
    /// Checks that the configuration in force defines the team and the urgency class of the submission.
    void checkAgainst(const Configuration &configuration, Findings &findings) const;
    /// Returns a hash that is equal for equal submissions, independent of the order of their JSON members and of the zone.
    std::uint64_t fingerprint() const;
};

} // namespace marjoramhaven
