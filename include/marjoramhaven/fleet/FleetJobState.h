#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// State of one task as the planner knows it.
struct FleetTask {
    FleetTaskId id;
    /// Attempt number of the newest run; attempt numbers are never reused.
    std::int64_t lastAttempt = 0;
    /// Attempt numbers of the newest failed runs. A set, because a worker may report the end of a run more than once.
    std::set<std::int64_t> failedAttempts;
    /// Number of the earlier failed runs, whose ends no worker reports any more.
    int olderFailures = 0;
    bool isDone = false;
    /// Checkpoint from which the next run resumes; empty to start from the beginning.
    std::string checkpoint;
    /// Attempt numbers of the runs that may exist on workers.
    std::vector<std::int64_t> activeAttempts;
    /// The next run starts no earlier than this.
    TimePoint notBefore {};
    /// Ids of the workers on which a run failed.
    std::set<std::string> failedOn;

    /// Records the failure of a run; does nothing if it is recorded already.
    void addFailure(std::int64_t attempt);
    /// Returns the number of failed runs.
    int failureCount() const { return olderFailures + static_cast<int>(failedAttempts.size()); }
    /// Returns true if the task needs a run and may start one now.
    bool isWaiting(TimePoint now) const { return !isDone && activeAttempts.empty() && notBefore <= now; }
};

/// One step of one occurrence of a job.
struct FleetStep {
    std::vector<FleetTask> tasks;
    int doneCount = 0;
    /// Durations of the finished runs on the clocks of their workers, in milliseconds.
    std::vector<double> durationsMs;
    /// Start of the current wait: when the step became ready, or when tasks of it last began to wait again.
    TimePoint readySince {};
    /// Other runs are preempted for this step again no earlier than this.
    TimePoint nextPreemptAt {};
    /// For a gang that waits: the workers that are held for it, chosen again after this time.
    std::vector<std::string> heldWorkers;
    TimePoint nextHoldAt {};
    /// True if advice was requested before the step became ready.
    bool isAdvicePrefetched = false;

    bool isDone() const { return doneCount == static_cast<int>(tasks.size()); }
    /// Returns true if each task of the step has an active run of this attempt.
    bool areAllActive(std::int64_t attempt) const;
};

/// One repetition of a job; a job that runs once has a single occurrence.
struct FleetOccurrence {
    std::vector<FleetStep> steps;

    bool isDone() const;
    /// Returns true if all steps that this step depends on are done.
    bool isReady(const StepSpec &step) const;
};

/// Changes of one job's stored progress.
struct JobProgress {
    /// Parts to write, to be stored in this order.
    std::vector<JobRecord> records;
    /// Keys of parts to delete, after the records are stored.
    std::vector<std::string> deletedKeys;
};

/// Returns the stored form of an active run of a task.
using RunLocator = std::function<RunRecord(const FleetTaskId &, std::int64_t attempt)>;

/// State of one accepted job as the planner knows it.
class FleetJob
{
public:
    /// Number of tasks in one part of the stored progress. It belongs to the stored format.
    static constexpr int TasksPerPart = 64;

    /// `tasksPerPart` is the number of tasks in one part of the stored progress.
    FleetJob(FleetJobRequest request, TimePoint acceptedAt, int tasksPerPart = TasksPerPart);

    const FleetJobRequest &request() const { return m_request; }
    const std::string &id() const { return m_request.id; }
    const StepSpec &spec(int step) const { return m_request.steps[static_cast<std::size_t>(step)]; }
    TimePoint acceptedAt() const { return m_acceptedAt; }
    /// Returns the time by which the job must complete to be on time, that is, to have its full value.
    TimePoint softDeadline() const { return m_softDeadline; }
    /// Returns the length of the job's critical path: the longest sum of estimated step durations along its dependencies.
    Millis criticalPath() const { return m_criticalPath; }
    /// Returns the estimated CPU work of all steps, in core-milliseconds.
    double workCoreMs() const { return m_workCoreMs; }

    std::map<int, FleetOccurrence> &occurrences() { return m_occurrences; }
    const std::map<int, FleetOccurrence> &occurrences() const { return m_occurrences; }
    /// Returns the occurrence with this number and creates it if it does not exist.
    FleetOccurrence &occurrence(int number);
    /// Returns the task, or nullptr if the job has no such task or has released its tasks.
    FleetTask *find(const FleetTaskId &id);
    /// Returns the step, or nullptr if the job has no such step or has released its tasks.
    FleetStep *findStep(int occurrence, int step);

    /// Creates the occurrences that are due and do not exist yet.
    void createDueOccurrences(std::int64_t nowUnixMs);

    /// Restores the job's state from one part of its stored progress. Part 0 must come first. Returns false if part 0 has replaced this part, which is then
    /// ignored.
    bool restore(const JobRecord &record);
    /// Makes the members of each gang agree once all parts are restored, since the parts of a change may not all have been stored.
    void alignGangs();
    /// Returns the whole progress in one record, as a successor has to find it; the locator is called for each active run.
    JobRecord record(const RunLocator &locateRun) const;
    /// Notes that the stored form of a task has changed.
    void markChanged(const FleetTaskId &task);
    /// Notes that the stored form of all tasks of a step has changed.
    void markStepChanged(int occurrence, int step);
    /// Notes that the whole progress has to be stored again.
    void markAllChanged();
    /// Returns true if takeProgress() has something to store.
    bool hasChanges() const;
    /// Returns what has changed in the stored progress since the last call.
    JobProgress takeProgress(const RunLocator &locateRun);

    /// Returns true if the last occurrence exists and all occurrences are done.
    bool hasFinishedAllOccurrences() const;
    /// Frees the tasks and the payload, which are not needed once the job has ended.
    void releaseTasks();

    FleetJobState state = FleetJobState::Queued;
    /// The state that is stored and may therefore be reported to callers.
    FleetJobState storedState = FleetJobState::Queued;
    bool isCancelRequested = false;
    /// True if a run of one of the tasks is known to have started. The state says less: it changes when a start is decided, which its worker may refuse.
    bool hasBegun = false;
    /// Policy of the job's queue in the configuration in force, which must outlive this pointer; nullptr while that configuration does not have the queue.
    const QueuePolicy *currentQueue = nullptr;
    TimePoint endedAt {};
    /// Set while the log refuses a record of the job: no runs start, and its progress is appended again at this time.
    std::optional<TimePoint> heldBackUntil;

    /// Returns true if the job is in a final state, in which no further task may start.
    bool isEnded() const { return state == FleetJobState::Completed || state == FleetJobState::Failed || state == FleetJobState::Cancelled; }

private:
    int partOf(const FleetTaskId &task) const;
    int partCount() const;
    JobRecord partRecord(int part, const RunLocator &locateRun) const;
    void appendRow(std::vector<TaskRecord> &rows, const FleetTask &task, const RunLocator &locateRun) const;

    FleetJobRequest m_request;
    const int m_tasksPerPart;
    /// For each step, the number of tasks in the steps before it.
    std::vector<int> m_stepOffsets;
    int m_tasksPerOccurrence = 0;
    /// Parts whose tasks have changed since the last takeProgress().
    std::set<int> m_changedParts;
    /// Parts other than 0 that the log may hold.
    std::set<int> m_storedParts;
    /// The state in the last record of part 0; `std::nullopt` before the first one.
    std::optional<FleetJobState> m_writtenState;
    /// True if the restored part 0 holds the tasks of all parts, as versions wrote it that stored the whole progress in one record.
    bool m_isRestoredWhole = false;
    bool m_isReleased = false;
    /// The lowest occurrence that createDueOccurrences() has not created.
    int m_nextOccurrence = 0;
    TimePoint m_acceptedAt;
    TimePoint m_softDeadline;
    Millis m_criticalPath {0};
    double m_workCoreMs = 0;
    std::map<int, FleetOccurrence> m_occurrences;
};

} // namespace marjoramhaven
