#pragma once

#include <QThread>
#include <functional>
#include <memory>

#include "marjoramhaven/config/Settings.h"
#include "marjoramhaven/node/NodeApi.h"
#include "marjoramhaven/node/NodeCore.h"

namespace marjoramhaven {

/// The work of one entry process: a decision thread that runs NodeCore, and an HTTP thread that runs NodeApi.
class EntryNode
{
public:
    /// Starts a node. Returns null, with a last reason, when it can't listen on its addresses.
    static std::unique_ptr<EntryNode> start(const Settings &settings);
    /// Stops at once and drops all work in flight, like a killed process.
    ~EntryNode();

    /// Shuts down gracefully: reports "not ready" to the load balancer, then rejects new work, gives up leadership, and waits for requests in flight and
    /// queued log records.
    ///
    /// Blocks for at most about `Settings::shutdownTimeout`. Returns true when all of them completed in time.
    bool stop();
    /// Lets the decision thread discard its state after an event handler of this process has thrown an exception. Callable from any thread.
    void recoverFromError(const std::string &reason);
    /// Returns the state that the node's threads share. Callable from any thread.
    NodeSharedState &shared() { return m_shared; }
    const Settings &settings() const { return m_settings; }

private:
    explicit EntryNode(Settings settings);

    /// Runs a function on the thread that the object lives in, and blocks until it returns.
    static bool runOnThreadOf(QObject *target, const std::function<bool()> &function);

    Settings m_settings;
    NodeSharedState m_shared;
    QThread m_decisionThread;
    QThread m_httpThread;
    /// Objects that live in the two threads; functions are invoked on the threads through them.
    QObject m_decisionContext;
    QObject m_httpContext;
    std::unique_ptr<NodeCore> m_core;
    std::unique_ptr<NodeApi> m_api;
};

} // namespace marjoramhaven
