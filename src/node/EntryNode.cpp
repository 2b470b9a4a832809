#include "marjoramhaven/node/EntryNode.h"

#include <QThread>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {
// The balancer sees "not ready" for this long before new work is refused.
constexpr Millis TellBalancerFor {1000};
constexpr Millis PollEvery {20};

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
    m_coreAnchor.moveToThread(&m_coreThread);
    m_frontAnchor.moveToThread(&m_frontThread);
    m_coreThread.setObjectName(QLatin1String("decide"));
    m_frontThread.setObjectName(QLatin1String("front"));
    m_coreThread.start();
    m_frontThread.start();
}

EntryNode::~EntryNode()
{
    callIn(&m_frontAnchor, [this]() {
        if (m_api) {
            m_api->shutDown();
        }
        return true;
    });
    callIn(&m_coreAnchor, [this]() {
        if (m_core) {
            m_core->shutDown();
        }
        return true;
    });
    for (auto *thread : {&m_frontThread, &m_coreThread}) {
        thread->quit();
        thread->wait();
    }
}

bool EntryNode::callIn(QObject *target, const std::function<bool()> &function)
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
    const bool coreStarted = callIn(&node->m_coreAnchor, [&]() {
        node->m_core = std::make_unique<NodeCore>(node->m_settings, node->m_shared);
        const bool ok = node->m_core->start();
        reason = ok ? "" : lastReason();
        return ok;
    });
    const bool frontStarted = coreStarted && callIn(&node->m_frontAnchor, [&]() {
                                  node->m_api = std::make_unique<NodeApi>(node->m_settings, *node->m_core, node->m_shared);
                                  const bool ok = node->m_api->start() != 0;
                                  reason = ok ? "" : lastReason();
                                  return ok;
                              });
    if (!frontStarted) {
        setLastReason(reason);
        return nullptr;
    }
    return node;
}

bool EntryNode::stop()
{
    const auto deadline = monotonicNow() + m_settings.stopWithin;
    m_shared.draining = true;
    sleepFor(std::min(TellBalancerFor, m_settings.stopWithin));
    m_shared.refusing = true;
    callIn(&m_coreAnchor, [this]() {
        m_core->retire();
        return true;
    });
    bool idle = false;
    while (!idle && monotonicNow() < deadline) {
        sleepFor(PollEvery);
        idle = callIn(&m_frontAnchor,
                      [this]() {
                          return m_api->inFlight() == 0;
                      })
            && callIn(&m_coreAnchor, [this]() {
                   return m_core->isFlushed();
               });
    }
    return idle;
}

} // namespace marjoramhaven
