#pragma once

#include <functional>
#include <string>

#include "marjoramhaven/fleetnode/FleetNode.h"

namespace marjoramhaven {

/// Links on which neither end plans beat this many times more slowly.
inline constexpr int NonPlannerHeartbeatFactor = 5;
/// Keys of the leadership stream under which processes tell where they listen.
inline constexpr char NodeKeyPrefix[] = "node/";

/// A caller's question that waits for the planner's answer.
struct FleetNode::PendingQuery {
    std::uint64_t call = 0;
    FleetQueryMessage message;
    TimePoint deadline;
    TimePoint nextSendAt {};
    std::function<void(const FleetQueryAnswerMessage *)> done;
};

/// A call for advice that a peer makes for the planner of this process.
struct FleetNode::AdviceCall {
    std::string process;
    TimePoint deadline;
    std::function<void(const AdviceAnswer &)> done;
};

/// A record that the planner is asked to store.
struct FleetNode::StoreCall {
    KeyedRecord record;
    TimePoint deadline;
    /// When this process stores it itself, for want of an answer.
    TimePoint directStoreAt;
    RecordWriter::Done done;
    bool isAnswered = false;
    /// True while the planner may have stored it, or may still do so.
    bool mayBeStored = false;
    bool isDirectStoreStarted = false;
    /// True while the planner may still answer.
    bool isAwaitingPlanner = false;
    /// True when this process could not send it itself, so that only the planner's answer is left.
    bool isDirectRefused = false;
    /// The planner that was asked.
    std::string peer;
};

/// What a process registers of itself and claims with; each start has its own incarnation.
LeadershipRecord ownLeadershipRecord(const FleetNodeSettings &settings);

} // namespace marjoramhaven
