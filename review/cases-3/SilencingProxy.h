#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <vector>

namespace marjoramhaven::review {

/// TCP proxy on 127.0.0.1 in front of one port. Its open channels can go silent for good, without a reset, while new ones work.
class SilencingProxy
{
public:
    explicit SilencingProxy(int targetPort);
    ~SilencingProxy();

    int port() const { return m_server.serverPort(); }
    /// Lets the channels that are open now carry no bytes any more, in either direction. Returns how many these are.
    int silenceOpenChannels();

private:
    struct Channel {
        QTcpSocket *caller = nullptr;
        QTcpSocket *target = nullptr;
        bool isSilent = false;
    };

    void accept();
    static void connectDirection(const std::shared_ptr<Channel> &channel, QTcpSocket *from, QTcpSocket *to);

    QTcpServer m_server;
    const int m_targetPort;
    std::vector<std::weak_ptr<Channel>> m_channels;
};

} // namespace marjoramhaven::review
