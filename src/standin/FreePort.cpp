#include "marjoramhaven/standin/FreePort.h"

#include <QDir>
#include <QLockFile>
#include <QTcpServer>
#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

namespace marjoramhaven {

namespace {
constexpr int FirstPort = 15'000;
constexpr int PortCount = 15'000;

// Returns true if this program now holds the reservation of a port.
bool reserve(int port)
{
    static std::mutex mutex;
    static std::vector<std::unique_ptr<QLockFile>> reservations;
    auto lock = std::make_unique<QLockFile>(portLockPath(port));
    if (!lock->tryLock()) {
        return false;
    }
    const std::lock_guard<std::mutex> guard(mutex);
    reservations.push_back(std::move(lock));
    return true;
}

} // namespace

QString portLockPath(int port)
{
    return QDir::temp().filePath(QStringLiteral("marjoramhaven-port-%1.lock").arg(port));
}

int freePort()
{
    static std::atomic<int> next {static_cast<int>(std::random_device {}() % PortCount)};
    for (int i = 0; i < PortCount; ++i) {
        const int port = FirstPort + next++ % PortCount;
        QTcpServer server;
        if (server.listen(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(port)) && reserve(port)) {
            return port;
        }
    }
    return 0;
}

} // namespace marjoramhaven
