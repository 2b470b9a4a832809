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
/// Only stored states are reported to clients, so the states found here are as reliable as the planner's answers. A missing state does not mean that there is
/// no such job, since a job without progress may have been accepted.
class ProgressReader
{
public:
    explicit ProgressReader(StateLog &log);
    ~ProgressReader();

    /// Called after new records were read.
    std::function<void()> onUpdate;

    void start();
    /// Returns true once all progress that was stored at the start has been read.
    bool isLoaded() const { return m_follower.isLoaded(); }
    /// Returns the newest stored state of a job, or `std::nullopt` when no progress of the job is stored or has been read yet.
    std::optional<FleetJobState> stateOf(const std::string &job) const;

private:
    void handleRecords(const std::vector<KeyedRecord> &records);

    TopicFollower m_follower;
    std::map<std::string, FleetJobState> m_states;
};

} // namespace marjoramhaven
