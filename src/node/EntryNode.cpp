#include "marjoramhaven/node/EntryNode.h"

#include <QThread>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {
// The readiness check reports "not ready" for this long before new work is rejected, so that the load balancer stops sending callers first.
constexpr Millis NotReadyNotice {1000};
constexpr Millis PollInterval {20};

void sleepFor(Millis ms)
{
    QThread::msleep(static_cast<unsigned long>(ms.count()));
}
} // namespace

EntryNode::EntryNode(Settings settings)
    : m_settings(std::move(settings))
    , m_shared(m_settings.name)
{
    m_shared.tracer.setEnabled(!m_settings.traceCollectorUrl.empty());
    m_decisionContext.moveToThread(&m_decisionThread);
    m_httpContext.moveToThread(&m_httpThread);
    m_decisionThread.setObjectName(QLatin1String("decide"));
    m_httpThread.setObjectName(QLatin1String("front"));
    m_decisionThread.start();
    m_httpThread.start();
}

EntryNode::~EntryNode()
{
    runOnThreadOf(&m_httpContext, [this]() {
        if (m_api) {
            m_api->shutDown();
        }
        return true;
    });
    runOnThreadOf(&m_decisionContext, [this]() {
        if (m_core) {
            m_core->shutDown();
        }
        return true;
    });
    for (auto *thread : {&m_httpThread, &m_decisionThread}) {
        thread->quit();
        thread->wait();
    }
}

bool EntryNode::runOnThreadOf(QObject *target, const std::function<bool()> &function)
{
    bool out = false;
    QMetaObject::invokeMethod(
        target,
        [&]() {
            out = function();
        },
        Qt::BlockingQueuedConnection);
    return out;
}

std::unique_ptr<EntryNode> EntryNode::start(const Settings &settings)
{
    std::unique_ptr<EntryNode> node(new EntryNode(settings));
    std::string reason;
    const bool coreStarted = runOnThreadOf(&node->m_decisionContext, [&]() {
        node->m_core = std::make_unique<NodeCore>(node->m_settings, node->m_shared);
        const bool ok = node->m_core->start();
        reason = ok ? "" : lastReason();
        return ok;
    });
    const bool apiStarted = coreStarted && runOnThreadOf(&node->m_httpContext, [&]() {
                                node->m_api = std::make_unique<NodeApi>(node->m_settings, *node->m_core, node->m_shared);
                                const bool ok = node->m_api->start() != 0;
                                reason = ok ? "" : lastReason();
                                return ok;
                            });
    if (!apiStarted) {
        setLastReason(reason);
        return nullptr;
    }
    return node;
}

void EntryNode::recoverFromError(const std::string &reason)
{
    QMetaObject::invokeMethod(
        &m_decisionContext,
        [this, reason]() {
            m_core->recoverFromError(reason);
        },
        Qt::QueuedConnection);
}

bool EntryNode::stop()
{
    const auto deadline = monotonicNow() + m_settings.shutdownTimeout;
    m_shared.draining = true;
    sleepFor(std::min(NotReadyNotice, m_settings.shutdownTimeout));
    m_shared.refusing = true;
    runOnThreadOf(&m_decisionContext, [this]() {
        m_core->resignLeadership();
        return true;
    });
    bool idle = false;
    while (!idle && monotonicNow() < deadline) {
        sleepFor(PollInterval);
        idle = runOnThreadOf(&m_httpContext,
                             [this]() {
                                 return m_api->inFlight() == 0;
                             })
            && runOnThreadOf(&m_decisionContext, [this]() {
                   return m_core->isFlushed();
               });
    }
    return idle;
}

} // namespace marjoramhaven
