#include "marjoramhaven/standin/FreePort.h"

#include <QTcpServer>
#include <atomic>
#include <random>

namespace marjoramhaven {

namespace {
constexpr int FirstPort = 15'000;
constexpr int PortCount = 15'000;
} // namespace

int freePort()
{
    static std::atomic<int> next {static_cast<int>(std::random_device {}() % PortCount)};
    for (int i = 0; i < PortCount; ++i) {
        const int port = FirstPort + next++ % PortCount;
        QTcpServer server;
        if (server.listen(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(port))) {
            return port;
        }
    }
    return 0;
}

} // namespace marjoramhaven
