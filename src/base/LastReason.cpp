#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {
std::string &reasonOfThread()
{
    thread_local std::string reason;
    return reason;
}
} // namespace

void setLastReason(std::string reason)
{
    reasonOfThread() = std::move(reason);
}

const std::string &lastReason()
{
    return reasonOfThread();
}

} // namespace marjoramhaven
