#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"

namespace marjoramhaven {

/// What a job waited for between two lines of its story.
enum class StoryPhase {
    /// Until its acceptance was stored and known to the planner.
    Stored,
    Advice,
    /// Until a worker that may run it had room.
    Room,
    /// Its tasks ran, from the decision to place them.
    Running,
    /// A run ended as failed, stopped or lapsed, and its task had to start again.
    RunLost,
    /// A decision to start was not carried out.
    StartNotSent,
    /// Another process took over planning.
    Takeover,
};

template<>
struct EnumTable<StoryPhase> {
    static constexpr EnumName<StoryPhase> Rows[] = {
        {StoryPhase::Stored, "storing its acceptance"},
        {StoryPhase::Advice, "waiting for advice"},
        {StoryPhase::Room, "waiting for room on a worker that may run it"},
        {StoryPhase::Running, "running"},
        {StoryPhase::RunLost, "runs that failed, were stopped or were lost"},
        {StoryPhase::StartNotSent, "starts that were not carried out"},
        {StoryPhase::Takeover, "takeovers of planning"},
    };
};

/// One line of a job's story.
struct StoryLine {
    std::int64_t atMs = 0;
    /// The event's kind, and how a run ended when it tells that.
    std::string event;
    std::string end;
};

/// Divides the time between the first and the last line among phases, in milliseconds: each gap belongs to what its end tells of.
std::map<StoryPhase, std::int64_t> timesOf(const std::vector<StoryLine> &lines);

} // namespace marjoramhaven
