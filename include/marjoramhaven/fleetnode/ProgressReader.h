#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "marjoramhaven/fleet/FleetJob.h"
#include "marjoramhaven/fleet/StateLog.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"

namespace marjoramhaven {

/// Follows the progress that planners have stored, for a process that reaches the log but not the planner.
///
/// What is stored is what may be told to callers, so its answers are as true as the planner's. It can't tell that there is no such job, since a job without
/// progress may have been accepted.
class ProgressReader
{
public:
    explicit ProgressReader(StateLog &log);
    ~ProgressReader();

    /// Called when something new was read.
    std::function<void()> onUpdate;

    void start();
    /// True once everything that was stored at the start was read.
    bool isLoaded() const { return m_follower.isLoaded(); }
    /// The newest stored state of a job; none when nothing was stored of it, or nothing was read yet.
    std::optional<FleetJobState> stateOf(const std::string &job) const;

private:
    void handleRecords(const std::vector<KeyedRecord> &records);

    TopicFollower m_follower;
    std::map<std::string, FleetJobState> m_states;
};

} // namespace marjoramhaven
