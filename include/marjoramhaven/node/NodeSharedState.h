#pragma once

#include <QMetaObject>
#include <QObject>
#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "marjoramhaven/ledger/LogFold.h"
#include "marjoramhaven/telemetry/Metrics.h"
#include "marjoramhaven/telemetry/Trace.h"
#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven {

/// What a node shows of itself on its status page.
struct NodeStatus {
    std::string leader;
    std::int64_t epoch = 0;
    bool leading = false;
    std::vector<std::string> peers;
    ZoneCounts zone;
    std::int64_t logOffset = 0;
    bool logFailing = false;
    std::size_t appendsPending = 0;
};

/// What the threads of one node share. Each part has its own lock.
class NodeSharedState
{
public:
    explicit NodeSharedState(const std::string &name);

    NodeStatus status() const;
    void setStatus(NodeStatus status);

    /// Only the decision thread folds into it; the ledgers in it are safe to read from any thread.
    LogFold fold;
    Metrics metrics;
    Tracer tracer;
    /// True once the process should get no further callers from the balancer.
    std::atomic<bool> draining {false};
    /// True once new work is refused.
    std::atomic<bool> refusing {false};

private:
    mutable std::mutex m_lock;
    NodeStatus m_status;
};

/// Runs a function on the thread of an object, later.
template<typename F>
void postTo(QObject *target, F function)
{
    QMetaObject::invokeMethod(target, std::move(function), Qt::QueuedConnection);
}

} // namespace marjoramhaven
