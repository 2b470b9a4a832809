#pragma once

#include <map>
#include <string>

#include "marjoramhaven/ledger/JobSpec.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// Where a task stands with the leader.
enum class TaskPhase {
    /// It may run where no session is open yet.
    AwaitingRecovery,
    /// Not placed; in the scheduler's queue.
    Queued,
    /// Waits until a restart is due.
    Delayed,
    /// Placed; the claim that an unrepeatable task needs is being recorded.
    Claiming,
    /// Given to a worker.
    Running,
    /// Ended; the record of it is on its way to the log.
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

/// One task of an open job.
struct TaskProgress {
    TaskPhase phase = TaskPhase::Queued;
    std::string worker;
    AttemptId attempt;
    int failures = 0;
    /// True when an earlier attempt ran, or a former leader may have started one: it is never told as not run.
    bool mayHaveRun = false;
    /// When a delayed task is queued again, or a pending claim is given up.
    TimePoint due {};
    TimePoint startedAt {};
    std::string claimNonce;
};

/// An open job as its home zone's leader sees it.
struct JobProgress {
    JobSpec spec;
    bool cancelled = false;
    /// Tasks that have no recorded end, by index.
    std::map<int, TaskProgress> tasks;
};

} // namespace marjoramhaven
