#include "SilencingProxy.h"

#include <QHostAddress>

namespace marjoramhaven::review {

SilencingProxy::SilencingProxy(int targetPort)
    : m_targetPort(targetPort)
{
    m_server.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this]() {
        accept();
    });
}

SilencingProxy::~SilencingProxy()
{
    for (auto *it : m_server.findChildren<QTcpSocket *>()) {
        it->disconnect();
    }
}

int SilencingProxy::silenceOpenChannels()
{
    int out = 0;
    for (const auto &it : m_channels) {
        if (const auto channel = it.lock()) {
            channel->isSilent = true;
            ++out;
        }
    }
    return out;
}

void SilencingProxy::accept()
{
    while (auto *caller = m_server.nextPendingConnection()) {
        auto *target = new QTcpSocket(&m_server);
        const auto channel = std::make_shared<Channel>(Channel {caller, target, false});
        m_channels.push_back(channel);
        connectDirection(channel, caller, target);
        connectDirection(channel, target, caller);
        target->connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(m_targetPort));
    }
}

// A silent channel passes on neither bytes nor its end.
void SilencingProxy::connectDirection(const std::shared_ptr<Channel> &channel, QTcpSocket *from, QTcpSocket *to)
{
    QObject::connect(from, &QTcpSocket::readyRead, to, [channel, from, to]() {
        const auto bytes = from->readAll();
        if (!channel->isSilent) {
            to->write(bytes);
        }
    });
    QObject::connect(from, &QTcpSocket::disconnected, to, [channel, to]() {
        if (!channel->isSilent) {
            to->disconnectFromHost();
        }
    });
}

} // namespace marjoramhaven::review
