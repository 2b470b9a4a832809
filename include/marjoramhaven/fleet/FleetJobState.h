#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// One task as the planner believes it to be.
struct FleetTask {
    FleetTaskId id;
    /// Number of the newest run; numbers are never used twice.
    std::int64_t lastAttempt = 0;
    /// Attempts whose runs ended as failed; a worker may list an end more than once.
    std::set<std::int64_t> failedAttempts;
    bool isDone = false;
    /// Where the next run resumes; empty for the beginning.
    std::string checkpoint;
    /// Runs that may exist on workers.
    std::vector<std::int64_t> activeAttempts;
    /// Not started before this instant.
    TimePoint notBefore {};
    /// Workers on which a run failed.
    std::set<std::string> failedOn;

    bool isWaiting(TimePoint now) const { return !isDone && activeAttempts.empty() && notBefore <= now; }
};

/// One step of one occurrence of a job.
struct FleetStep {
    std::vector<FleetTask> tasks;
    int doneCount = 0;
    /// When its tasks were first allowed to start, or last began to wait again.
    TimePoint readySince {};
    /// Room is made for it again no sooner than this.
    TimePoint nextPreemptAt {};
    /// Advice was asked for before the step could begin.
    bool isAdvicePrefetched = false;

    bool isDone() const { return doneCount == static_cast<int>(tasks.size()); }
};

/// One repetition of a job; a plain job has a single one.
struct FleetOccurrence {
    std::vector<FleetStep> steps;

    bool isDone() const;
    /// True when all steps that a step waits for are done.
    bool isReady(const StepSpec &step) const;
};

/// One accepted job as the planner believes it to be.
class FleetJob
{
public:
    FleetJob(FleetJobRequest request, TimePoint acceptedAt);

    const FleetJobRequest &request() const { return m_request; }
    const std::string &id() const { return m_request.id; }
    const StepSpec &spec(int step) const { return m_request.steps[static_cast<std::size_t>(step)]; }
    TimePoint acceptedAt() const { return m_acceptedAt; }
    /// The job earns its full worth when it completes by this instant.
    TimePoint softDeadline() const { return m_softDeadline; }
    /// Its longest criticalPath of work by its own estimates.
    Millis criticalPath() const { return m_criticalPath; }
    /// Processor work of all its steps by its own estimates, in core-milliseconds.
    double workCoreMs() const { return m_workCoreMs; }

    std::map<int, FleetOccurrence> &occurrences() { return m_occurrences; }
    const std::map<int, FleetOccurrence> &occurrences() const { return m_occurrences; }
    /// The occurrence of a number, made when it is missing.
    FleetOccurrence &occurrence(int number);
    /// The task, or none when the job has no such task or has let go of its tasks.
    FleetTask *find(const FleetTaskId &id);
    FleetStep *findStep(int occurrence, int step);

    /// Takes over what was stored of the job.
    void restore(const JobRecord &record);
    /// What is to be stored of the job; needs the worker of each active run.
    using RunLocator = std::function<std::pair<std::string, std::int64_t>(const FleetTaskId &, std::int64_t attempt)>;
    JobRecord record(const RunLocator &locateRun) const;

    /// True when every occurrence is done.
    bool hasFinishedAllOccurrences() const;
    /// Forgets tasks that are no longer needed once the job has ended.
    void releaseTasks();

    FleetJobState state = FleetJobState::Queued;
    /// The state that is stored and may be told to callers.
    FleetJobState storedState = FleetJobState::Queued;
    bool isCancelRequested = false;
    /// The policy of its queue in the configuration in force, which must outlive the job's use of it; none while no configuration has the queue.
    const QueuePolicy *currentQueue = nullptr;
    /// True when there is something new to store.
    bool isDirty = false;
    TimePoint endedAt {};

    /// True when no further task may start.
    bool isEnded() const { return state == FleetJobState::Completed || state == FleetJobState::Failed || state == FleetJobState::Cancelled; }

private:
    FleetJobRequest m_request;
    TimePoint m_acceptedAt;
    TimePoint m_softDeadline;
    Millis m_criticalPath {0};
    double m_workCoreMs = 0;
    std::map<int, FleetOccurrence> m_occurrences;
};

} // namespace marjoramhaven
