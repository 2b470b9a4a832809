#include "StoryTimes.h"

namespace marjoramhaven {

namespace {

StoryPhase phaseBefore(const StoryLine &line)
{
    if (line.event == "submit" || line.event == "job_known") {
        return StoryPhase::Stored;
    }
    if (line.event == "advice") {
        return StoryPhase::Advice;
    }
    if (line.event == "run_placed") {
        return StoryPhase::Room;
    }
    if (line.event == "planner_open" || line.event == "planner_end" || line.event == "planner_ready") {
        return StoryPhase::Takeover;
    }
    if (line.event == "run_not_started" || line.event == "start_refused") {
        return StoryPhase::StartNotSent;
    }
    const bool isLost = line.event == "run_lost" || line.event == "run_stop" || (line.event == "run_ended" && line.end != "done");
    return isLost ? StoryPhase::RunLost : StoryPhase::Running;
}

} // namespace

std::map<StoryPhase, std::int64_t> timesOf(const std::vector<StoryLine> &lines)
{
    std::map<StoryPhase, std::int64_t> out;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        out[phaseBefore(lines[i])] += lines[i].atMs - lines[i - 1].atMs;
    }
    return out;
}

} // namespace marjoramhaven
