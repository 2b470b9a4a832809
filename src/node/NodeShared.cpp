#include "marjoramhaven/node/NodeShared.h"

namespace marjoramhaven {

NodeShared::NodeShared(const std::string &name)
    : tracer(name)
{
}

NodeStatus NodeShared::status() const
{
    const std::lock_guard guard(m_lock);
    return m_status;
}

void NodeShared::setStatus(NodeStatus status)
{
    const std::lock_guard guard(m_lock);
    m_status = std::move(status);
}

} // namespace marjoramhaven
