#pragma once

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven::test {

/// What a proxy does to the bytes of one direction.
struct LinkFault {
    Millis delay {0};
    /// Bytes are lost, and a connection that lost any stays silent for good.
    bool isSilent = false;
};

/// Carries TCP connections on 127.0.0.1 to one port, and harms them when told to.
class FaultProxy : public QObject
{
    Q_OBJECT

public:
    explicit FaultProxy(int targetPort);
    ~FaultProxy() override;

    int port() const { return m_server.serverPort(); }
    void setFaults(const LinkFault &toTarget, const LinkFault &toCaller);
    void heal() { setFaults({}, {}); }
    /// Resets all connections that are open now.
    void resetAll();

private:
    struct Pipe {
        QTcpSocket *from = nullptr;
        QTcpSocket *to = nullptr;
        bool isToTarget = false;
        bool isLost = false;
        TimePoint lastDue {};
    };

    void accept();
    void carry(const std::shared_ptr<Pipe> &pipe);
    void connectPipe(QTcpSocket *from, QTcpSocket *to, bool isToTarget);

    QTcpServer m_server;
    const int m_targetPort;
    LinkFault m_toTarget;
    LinkFault m_toCaller;
};

} // namespace marjoramhaven::test
