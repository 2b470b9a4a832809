#pragma once

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <memory>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven::test {

/// Fault that a proxy applies to one direction of its connections.
struct LinkFault {
    Millis delay {0};
    /// Drops all bytes. A connection that has lost bytes in a direction carries none in that direction any more, also after the fault has ended.
    bool isSilent = false;
};

/// TCP proxy on 127.0.0.1 in front of one port, which can delay, drop and reset connections and limit the bandwidth that they share.
class FaultProxy : public QObject
{
    Q_OBJECT

public:
    explicit FaultProxy(int targetPort);
    ~FaultProxy() override;

    int port() const { return m_server.serverPort(); }
    void setFaults(const LinkFault &toTarget, const LinkFault &toCaller);
    void clearFaults() { setFaults({}, {}); }
    /// Drops all bytes in both directions while true, whatever the faults are.
    void setCut(bool isCut) { m_isCut = isCut; }
    /// Limits the bytes per second that all connections together carry from the target to the callers. 0 lifts the limit. Delay is not applied to such bytes.
    void setBandwidthToCaller(std::int64_t bytesPerSecond);
    /// Resets all open connections.
    void resetConnections();

private:
    struct Pipe {
        QTcpSocket *from = nullptr;
        QTcpSocket *to = nullptr;
        bool isToTarget = false;
        bool isDropping = false;
        TimePoint lastDue {};
    };

    void accept();
    void forward(const std::shared_ptr<Pipe> &pipe);
    void sendWithinBandwidth();
    void connectPipe(QTcpSocket *from, QTcpSocket *to, bool isToTarget);

    QTcpServer m_server;
    const int m_targetPort;
    LinkFault m_toTarget;
    LinkFault m_toCaller;
    bool m_isCut = false;
    std::int64_t m_bytesPerSecond = 0;
    /// Bytes that may be sent now, and since when they have been counted.
    std::int64_t m_allowance = 0;
    TimePoint m_allowanceAt {};
    QTimer m_sendTimer;
    /// Connections with limited bandwidth, in the order of their turns.
    std::vector<std::weak_ptr<Pipe>> m_limitedPipes;
};

} // namespace marjoramhaven::test
