#include "JobTimeline.h"

namespace marjoramhaven {

namespace {

JobPhase phaseEndingAt(const TimelineEvent &line)
{
    if (line.event == "submit" || line.event == "job_known") {
        return JobPhase::Stored;
    }
    if (line.event == "advice") {
        return JobPhase::Advice;
    }
    if (line.event == "run_placed") {
        return JobPhase::Room;
    }
    if (line.event == "planner_open" || line.event == "planner_end" || line.event == "planner_ready") {
        return JobPhase::Takeover;
    }
    if (line.event == "run_not_started" || line.event == "start_refused") {
        return JobPhase::StartNotSent;
    }
    const bool isLost = line.event == "run_lost" || line.event == "run_stop" || (line.event == "run_ended" && line.end != "done");
    return isLost ? JobPhase::RunLost : JobPhase::Running;
}

} // namespace

std::map<JobPhase, std::int64_t> phaseDurations(const std::vector<TimelineEvent> &lines)
{
    std::map<JobPhase, std::int64_t> out;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        out[phaseEndingAt(lines[i])] += lines[i].atMs - lines[i - 1].atMs;
    }
    return out;
}

} // namespace marjoramhaven
