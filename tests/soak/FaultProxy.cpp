#include "FaultProxy.h"

#include <QHostAddress>
#include <QPointer>
#include <QTimer>
#include <algorithm>

namespace marjoramhaven::test {

FaultProxy::FaultProxy(int targetPort)
    : m_targetPort(targetPort)
{
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
    const auto &fault = pipe->isToTarget ? m_toTarget : m_toCaller;
    const auto bytes = pipe->from->readAll();
    pipe->isDropping = pipe->isDropping || fault.isSilent;
    if (pipe->isDropping) {
        return;
    }
    const auto now = monotonicNow();
    if (fault.delay.count() == 0 && pipe->lastDue <= now) {
        if (pipe->to->isOpen()) {
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
