#include "marjoramhaven/node/NodeSharedState.h"

namespace marjoramhaven {

NodeSharedState::NodeSharedState(const std::string &name)
    : tracer(name)
{
}

NodeStatus NodeSharedState::status() const
{
    const std::lock_guard guard(m_lock);
    return m_status;
}

void NodeSharedState::setStatus(NodeStatus status)
{
    const std::lock_guard guard(m_lock);
    m_status = std::move(status);
}

} // namespace marjoramhaven
