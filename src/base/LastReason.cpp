#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {
thread_local std::string t_reason;
}

void setLastReason(std::string reason)
{
    reasonOfThread() = std::move(reason);
}

const std::string &lastReason()
{
    return reasonOfThread();
}

} // namespace marjoramhaven
