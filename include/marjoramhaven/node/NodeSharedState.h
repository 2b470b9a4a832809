#pragma once

#include <QMetaObject>
#include <QObject>
#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "marjoramhaven/ledger/ReplicatedState.h"
#include "marjoramhaven/telemetry/Metrics.h"
#include "marjoramhaven/telemetry/Trace.h"
#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven {

/// The state of a node that its status resource and metrics report.
struct NodeStatus {
    /// Leader of this node's zone; empty when none is known.
    std::string leader;
    /// Highest leadership epoch of the zone that this node knows.
    std::int64_t epoch = 0;
    bool isLeading = false;
    /// Names of the peers with an open link.
    std::vector<std::string> peers;
    /// Counts of the zone; set only while this node leads it.
    ZoneCounts zone;
    /// Log offset to read next.
    std::int64_t logOffset = 0;
    /// True while the last append or the last read of the log failed.
    bool logFailing = false;
    /// Number of log records that are queued or in flight.
    std::size_t appendsPending = 0;
};

/// The state that the threads of one node share. Each member does its own locking.
class NodeSharedState
{
public:
    /// Takes the node's name, which is the service name in traces.
    explicit NodeSharedState(const std::string &name);

    /// Returns a copy of the latest published status.
    NodeStatus status() const;
    /// Publishes a new status.
    void setStatus(NodeStatus status);

    /// State derived from the log. Only the decision thread applies records; its parts are safe to read from any thread.
    ReplicatedState replicatedState;
    Metrics metrics;
    Tracer tracer;
    /// True once the process reports "not ready", so that the load balancer sends it no more callers.
    std::atomic<bool> draining {false};
    /// True once the process rejects new jobs and requests.
    std::atomic<bool> refusing {false};

private:
    mutable std::mutex m_lock;
    NodeStatus m_status;
};

/// Queues a function for execution on the thread that the object lives in.
template<typename F>
void postTo(QObject *target, F function)
{
    QMetaObject::invokeMethod(target, std::move(function), Qt::QueuedConnection);
}

} // namespace marjoramhaven
