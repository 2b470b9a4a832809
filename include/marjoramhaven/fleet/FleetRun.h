#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetWorker.h"

namespace marjoramhaven {

/// Why a run is being stopped.
enum class StopReason {
    None,
    Cancelled,
    /// Another run has completed the task, or the job has ended.
    NotNeeded,
    /// Its worker is draining.
    WorkerDraining,
    /// Another member of its gang ended.
    GangBroken,
    /// Its start request was not answered; the stop ensures that the worker can't start it later.
    Unanswered,
    /// It made no progress.
    Stuck,
    /// A task of higher priority needs its resources.
    Preempted,
    /// A worker reported a run that the planner does not know.
    Orphaned,
    /// Its worker is slow, and the rest of the task takes less time elsewhere.
    SlowWorker,
};

template<>
struct EnumTable<StopReason> {
    static constexpr EnumName<StopReason> Rows[] = {
        {StopReason::None, "none"},
        {StopReason::Cancelled, "cancelled"},
        {StopReason::NotNeeded, "not-needed"},
        {StopReason::WorkerDraining, "leaving"},
        {StopReason::GangBroken, "gang-broken"},
        {StopReason::Unanswered, "unanswered"},
        {StopReason::Stuck, "stuck"},
        {StopReason::Preempted, "preempted"},
        {StopReason::Orphaned, "foreign"},
        {StopReason::SlowWorker, "slow-worker"},
    };
};

/// State of a run between the decision to start it and its end.
enum class RunState {
    /// The decision to start it is not stored yet, and no request was sent.
    Planned,
    /// The start request is in flight.
    Starting,
    /// The start request was not answered: the run may be running, or may start later.
    Unconfirmed,
    /// The worker has confirmed the run.
    Running,
    /// The run was restored from an earlier planner's records, and its worker has not listed it yet.
    Inherited,
};

/// One run of a task on a worker.
struct FleetRun {
    RunKey key;
    std::string worker;
    std::int64_t workerStartedUnixMs = 0;
    RunState state = RunState::Planned;
    /// When the run entered this state.
    TimePoint stateSince {};
    /// Position among the planner's own events at which the run entered this state. Only a list that was requested after it can prove that the run is gone.
    std::int64_t stateSequence = 0;
    /// Whether the worker has listed the run. An answer to the start request alone does not tell which incarnation of the worker gave it.
    bool isListed = false;
    /// True if the run was placed, or found, while a late request may have granted its worker a longer lease than its leaders did.
    bool mayHoldLateLease = false;
    /// True until the worker has listed the run and no start request without an answer is left, which its next incarnation might carry out. Not used for
    /// long-running tasks.
    bool mayStartLate = false;
    /// When the worker confirmed the start request; unset if it has not.
    std::optional<TimePoint> startAnsweredAt;
    /// How often the planner has sent the start request.
    int startSendings = 0;
    /// When the planner first learned that a start request was not answered; unset if each was.
    std::optional<TimePoint> firstUnansweredAt;
    /// How often the worker has refused a repetition of the start request.
    int startRefusals = 0;
    /// The start request is sent again no earlier than this, while its outcome is not known.
    TimePoint nextStartAt {};
    /// The start request is not sent again after this.
    TimePoint repeatStartUntil {};
    std::string checkpoint;
    /// Checkpoint with which the run started; empty if it started from the beginning.
    std::string startedFromCheckpoint;
    /// The worker's clock when it confirmed the start, in milliseconds; 0 if that is not known.
    std::int64_t startedClockMs = 0;
    /// The run's duration is compared with that of others again no earlier than this.
    TimePoint nextSpeedCheckAt {};
    /// Progress in percent as the worker last reported it; 100 for a long-running task that is fully serving.
    int percent = 0;
    TimePoint percentChangedAt {};
    /// The worker's clock in its first list with this percentage, in milliseconds; 0 before the first list.
    std::int64_t percentChangedClockMs = 0;
    /// See RunningRunInfo::usage.
    double usage = 0;
    /// Speed limit that the worker last confirmed, in percent of full speed.
    int speedPercent = 100;
    /// False if another speed limit may be in force: the last request was not confirmed, or an earlier planner may have sent some.
    bool isSpeedKnown = true;
    /// Until this time the worker may still carry out an earlier request for another speed limit.
    TimePoint speedUncertainUntil {};
    TimePoint speedChangedAt {};
    bool isThrottleInFlight = false;
    StopReason stopReason = StopReason::None;
    bool isStopInFlight = false;
    bool isStopAnswered = false;
    /// Position among the planner's own events of the answer to the stop request.
    std::int64_t stopAnsweredSequence = 0;
    TimePoint stopAnsweredAt {};
    TimePoint nextStopAt {};
};

} // namespace marjoramhaven
