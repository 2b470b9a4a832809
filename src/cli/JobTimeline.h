#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"

namespace marjoramhaven {

/// What a job spent its time on between two events of its timeline.
enum class JobPhase {
    /// Until the job's acceptance was stored and received by the planner.
    Stored,
    Advice,
    /// Until a worker that may run the task had free capacity.
    Room,
    /// Tasks ran; counted from the decision to place them.
    Running,
    /// A run failed, was stopped or lost its lease, and its task had to start again.
    RunLost,
    /// A run was placed, but it was not started.
    StartNotSent,
    /// Another process took over as planner.
    Takeover,
};

template<>
struct EnumTable<JobPhase> {
    static constexpr EnumName<JobPhase> Rows[] = {
        {JobPhase::Stored, "storing its acceptance"},
        {JobPhase::Advice, "waiting for advice"},
        {JobPhase::Room, "waiting for room on a worker that may run it"},
        {JobPhase::Running, "running"},
        {JobPhase::RunLost, "runs that failed, were stopped or were lost"},
        {JobPhase::StartNotSent, "starts that were not carried out"},
        {JobPhase::Takeover, "takeovers of planning"},
    };
};

/// One event of a job's timeline.
struct TimelineEvent {
    std::int64_t atMs = 0;
    /// Name of the event.
    std::string event;
    /// How a run ended; empty for events that don't report the end of a run.
    std::string end;
};

/// Divides the time between the first and the last event among phases, in milliseconds. The event that ends an interval determines its phase.
std::map<JobPhase, std::int64_t> phaseDurations(const std::vector<TimelineEvent> &lines);

} // namespace marjoramhaven
