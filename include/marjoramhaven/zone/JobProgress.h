#pragma once

#include <map>
#include <string>

#include "marjoramhaven/ledger/JobSpec.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// State of a task that has no recorded end, as its zone's leader sees it.
enum class TaskPhase {
    /// The leader is still recovering: the task may run on a worker that has not reported its inventory yet.
    AwaitingRecovery,
    /// Waits in the scheduler's queue.
    Queued,
    /// Waits for the end of its restart delay.
    Delayed,
    /// Has a worker, and waits until the log holds the claim that an unrepeatable task needs before its start.
    Claiming,
    /// The start was sent to a worker.
    Running,
    /// Ended; the record of the end is being appended to the log.
    Recording,
};

template<>
struct EnumTable<TaskPhase> {
    static constexpr EnumName<TaskPhase> Rows[] = {
        {TaskPhase::AwaitingRecovery, "unseen"},
        {TaskPhase::Queued, "queued"},
        {TaskPhase::Delayed, "delayed"},
        {TaskPhase::Claiming, "claiming"},
        {TaskPhase::Running, "running"},
        {TaskPhase::Recording, "recording"},
    };
};

/// State of one task of an open job.
struct TaskProgress {
    TaskPhase phase = TaskPhase::Queued;
    std::string worker;
    AttemptId attempt;
    int failures = 0;
    /// True when an earlier attempt ran, or a former leader may have started one. Such a task is never reported as not run.
    bool mayHaveRun = false;
    /// When a delayed task returns to the queue, or an unrecorded claim is abandoned.
    TimePoint due {};
    TimePoint startedAt {};
    std::string claimNonce;
};

/// State of an open job, kept by the leader of its home zone.
struct JobProgress {
    JobSpec spec;
    bool cancelled = false;
    /// Tasks without a recorded end, by task index.
    std::map<int, TaskProgress> tasks;
};

} // namespace marjoramhaven
