#pragma once

#include <QThread>
#include <functional>
#include <memory>

#include "marjoramhaven/config/Settings.h"
#include "marjoramhaven/node/NodeApi.h"
#include "marjoramhaven/node/NodeCore.h"

namespace marjoramhaven {

/// One entry process's worth of the system: a thread that decides and a thread that serves HTTP.
class EntryNode
{
public:
    /// Starts a node. Nothing, with a last reason, when it can't listen on its addresses.
    static std::unique_ptr<EntryNode> start(const Settings &settings);
    /// Ends at once, as a killed process does.
    ~EntryNode();

    /// Stops gracefully: the balancer and peers learn first, nothing in flight is cut off, at most for the settings' time.
    /// Blocks until it is over; true when nothing was cut off.
    bool stop();
    /// What the node shows of itself; safe from any thread.
    NodeSharedState &shared() { return m_shared; }
    const Settings &settings() const { return m_settings; }

private:
    explicit EntryNode(Settings settings);

    /// Runs on the object's thread and waits for the result.
    static bool runOnThreadOf(QObject *target, const std::function<bool()> &function);

    Settings m_settings;
    NodeSharedState m_shared;
    QThread m_decisionThread;
    QThread m_httpThread;
    QObject m_decisionContext;
    QObject m_httpContext;
    std::unique_ptr<NodeCore> m_core;
    std::unique_ptr<NodeApi> m_api;
};

} // namespace marjoramhaven
