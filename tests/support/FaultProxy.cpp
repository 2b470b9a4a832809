#include "FaultProxy.h"

#include <QHostAddress>
#include <QPointer>
#include <QTimer>
#include <algorithm>

namespace marjoramhaven::test {

namespace {

constexpr int SendIntervalMs = 5;
constexpr qint64 WindowBytes = 64 << 10;
constexpr qint64 SegmentBytes = 2 << 10;
constexpr int MillisPerSecond = 1000;

// Returns true if a socket is connected or on the way to be, so that bytes for it are kept.
bool isWritable(const QTcpSocket &socket)
{
    const auto state = socket.state();
    return socket.isOpen() && state != QAbstractSocket::UnconnectedState && state != QAbstractSocket::ClosingState;
}

} // namespace

FaultProxy::FaultProxy(int targetPort)
    : m_targetPort(targetPort)
{
    m_sendTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_sendTimer, &QTimer::timeout, this, [this]() {
        sendWithinBandwidth();
    });
    m_server.listen(QHostAddress::LocalHost, 0);
    connect(&m_server, &QTcpServer::newConnection, this, [this]() {
        accept();
    });
}

FaultProxy::~FaultProxy()
{
    for (auto *it : m_server.findChildren<QTcpSocket *>()) {
        it->disconnect();
    }
}

void FaultProxy::setFaults(const LinkFault &toTarget, const LinkFault &toCaller)
{
    m_toTarget = toTarget;
    m_toCaller = toCaller;
}

void FaultProxy::setBandwidthToCaller(std::int64_t bytesPerSecond)
{
    m_bytesPerSecond = bytesPerSecond;
    m_allowance = 0;
    m_allowanceAt = monotonicNow();
    m_sendTimer.start(SendIntervalMs);
}

// Gives each connection a segment in turn, as a link does that all of them share. A connection that was closed by its caller takes no bandwidth any more.
void FaultProxy::sendWithinBandwidth()
{
    const auto now = monotonicNow();
    const auto elapsedMs = (now - m_allowanceAt).count();
    m_allowanceAt = now;
    m_allowance = m_bytesPerSecond == 0 ? WindowBytes << 10 : std::min<std::int64_t>(WindowBytes, m_allowance + m_bytesPerSecond * elapsedMs / MillisPerSecond);
    bool hasSent = true;
    while (hasSent && m_allowance > 0) {
        hasSent = false;
        for (const auto &it : m_limitedPipes) {
            const auto pipe = it.lock();
            if (!pipe || !pipe->from->isOpen() || m_allowance <= 0) {
                continue;
            }
            const auto bytes = pipe->from->read(SegmentBytes);
            if (bytes.isEmpty()) {
                continue;
            }
            hasSent = true;
            pipe->isDropping = pipe->isDropping || m_toCaller.isSilent || m_isCut;
            if (!pipe->isDropping && isWritable(*pipe->to)) {
                m_allowance -= bytes.size();
                pipe->to->write(bytes);
            }
        }
    }
    std::erase_if(m_limitedPipes, [](const auto &it) {
        return it.expired();
    });
    std::rotate(m_limitedPipes.begin(), m_limitedPipes.begin() + (m_limitedPipes.empty() ? 0 : 1), m_limitedPipes.end());
}

void FaultProxy::resetConnections()
{
    for (auto *it : m_server.findChildren<QTcpSocket *>()) {
        it->abort();
    }
}

void FaultProxy::accept()
{
    while (auto *caller = m_server.nextPendingConnection()) {
        auto *target = new QTcpSocket(&m_server);
        connectPipe(caller, target, true);
        connectPipe(target, caller, false);
        target->connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(m_targetPort));
    }
}

void FaultProxy::connectPipe(QTcpSocket *from, QTcpSocket *to, bool isToTarget)
{
    const auto pipe = std::make_shared<Pipe>(Pipe {from, to, isToTarget, false, {}});
    if (!isToTarget) {
        m_limitedPipes.push_back(pipe);
        from->setReadBufferSize(WindowBytes);
    }
    connect(from, &QTcpSocket::readyRead, to, [this, pipe]() {
        forward(pipe);
    });
    connect(from, &QTcpSocket::disconnected, to, [pipe]() {
        pipe->to->disconnectFromHost();
        pipe->from->deleteLater();
    });
    connect(from, &QTcpSocket::errorOccurred, to, [pipe]() {
        pipe->to->abort();
    });
}

void FaultProxy::forward(const std::shared_ptr<Pipe> &pipe)
{
    if (!pipe->isToTarget && m_bytesPerSecond > 0) {
        return;
    }
    const auto &fault = pipe->isToTarget ? m_toTarget : m_toCaller;
    const auto bytes = pipe->from->readAll();
    pipe->isDropping = pipe->isDropping || fault.isSilent || m_isCut;
    if (pipe->isDropping) {
        return;
    }
    const auto now = monotonicNow();
    if (fault.delay.count() == 0 && pipe->lastDue <= now) {
        if (isWritable(*pipe->to)) {
            pipe->to->write(bytes);
        }
        return;
    }
    // Keeps the bytes in order, also when the delay has been shortened since the previous write.
    pipe->lastDue = std::max(pipe->lastDue, now + fault.delay);
    const QPointer<QTcpSocket> to(pipe->to);
    QTimer::singleShot(static_cast<int>((pipe->lastDue - now).count()) + 1, Qt::PreciseTimer, this, [to, bytes]() {
        if (to && to->isOpen()) {
            to->write(bytes);
        }
    });
}

} // namespace marjoramhaven::test
