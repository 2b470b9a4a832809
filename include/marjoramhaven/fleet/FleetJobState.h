#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJob.h"
#include "marjoramhaven/fleet/FleetTask.h"

namespace marjoramhaven {

/// Changes of one job's stored progress.
struct JobProgress {
    /// Parts to write, to be stored in this order.
    std::vector<JobRecord> records;
    /// Keys of parts to delete, after the records are stored.
    std::vector<std::string> deletedKeys;
};

/// Returns the stored form of an active run of a task.
using RunLocator = std::function<RunRecord(const FleetTaskId &, std::int64_t attempt)>;
/// Returns the stored form of the start requests of a task that were not answered and may still be carried out.
using GivenUpStartLocator = std::function<std::vector<GivenUpStartRecord>(const FleetTaskId &)>;

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
    /// Returns the whole progress in one record, as a successor has to find it. The locators are called for each active run and for each task that isn't done;
    /// without the second one, there are no start requests without an answer.
    JobRecord record(const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp = {}) const;
    /// Notes that the stored form of a task has changed.
    void markChanged(const FleetTaskId &task);
    /// Notes that the stored form of all tasks of a step has changed.
    void markStepChanged(int occurrence, int step);
    /// Notes that the whole progress has to be stored again.
    void markAllChanged();
    /// Returns true if takeProgress() has something to store.
    bool hasChanges() const;
    /// Returns what has changed in the stored progress since the last call.
    JobProgress takeProgress(const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp = {});

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
    JobRecord partRecord(int part, const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp) const;
    static void appendRow(std::vector<TaskRecord> &rows, const FleetTask &task, const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp);

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
