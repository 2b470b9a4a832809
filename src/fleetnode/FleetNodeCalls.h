#pragma once

#include <functional>
#include <string>

#include "marjoramhaven/fleetnode/FleetNode.h"

namespace marjoramhaven {

/// Factor by which heartbeats are rarer on links where neither end runs the planner.
inline constexpr int NonPlannerHeartbeatFactor = 5;
/// Prefix of the keys in the leadership topic under which processes register the addresses where they listen for peers.
inline constexpr char NodeKeyPrefix[] = "node/";

/// A client's query that waits for the planner's answer.
struct FleetNode::PendingQuery {
    std::uint64_t call = 0;
    FleetQueryMessage message;
    TimePoint deadline;
    TimePoint nextSendAt {};
    std::function<void(const FleetQueryResponseMessage *)> done;
};

/// A call to the advisor that a peer makes for the planner of this process.
struct FleetNode::AdviceCall {
    /// The peer that calls the advisor.
    std::string process;
    TimePoint deadline;
    std::function<void(const AdviceResponse &)> done;
};

/// A client's record that the planner is asked to store, and that this process appends itself if the planner can't.
struct FleetNode::StoreCall {
    /// State of one of the two ways to store the record.
    enum class Part {
        NotStarted,
        UnderWay,
        /// Not stored this way, and never will be.
        Refused,
        /// Ended without an answer: the record may be stored, now or later.
        Unknown,
    };

    KeyedRecord record;
    TimePoint deadline;
    /// When this process appends the record itself if the planner has not answered.
    TimePoint directStoreAt;
    RecordWriter::Done done;
    bool isAnswered = false;
    /// What the planner was asked, and what this process appends itself. Each settles only its own part.
    Part planner = Part::NotStarted;
    Part direct = Part::NotStarted;
    /// The process whose planner was asked.
    std::string peer;

    /// Returns true while one of the parts may have stored the record, or may still store it.
    bool mayBeStored() const { return isOpen(planner) || isOpen(direct); }
    static bool isOpen(Part part) { return part == Part::UnderWay || part == Part::Unknown; }
};

/// Returns the record with which this process registers itself and claims leadership. Each call generates a new incarnation id.
LeadershipRecord ownLeadershipRecord(const FleetNodeSettings &settings);

} // namespace marjoramhaven
