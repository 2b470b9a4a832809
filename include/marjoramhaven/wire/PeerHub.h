#pragma once

#include <QObject>
#include <QTcpServer>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/telemetry/Log.h"
#include "marjoramhaven/wire/FrameCodec.h"

class QTcpSocket;

namespace marjoramhaven {

/// Where another entry process listens.
struct PeerAddress {
    std::string name;
    std::string host;
    int port = 0;
};

/// A peer with an open link.
struct PeerInfo {
    std::string name;
    std::string zone;
};

/// The links to other entry processes: dials the known ones, accepts unknown ones, and dials again with back-off.
class PeerHub : public QObject
{
    Q_OBJECT

public:
    PeerHub(PeerInfo self, std::uint64_t seed, QObject *parent = nullptr);
    ~PeerHub() override;

    /// Listens for peers; gives the port, or 0 with a last reason.
    int listenOn(const std::string &host, int port);
    /// Names the peers to dial.
    void setPeers(std::vector<PeerAddress> peers);
    /// Forgets a peer, so that it is not dialled any more; an open link stays.
    void forgetPeer(const std::string &peer);
    /// Closes the link to a peer, if there is one; it is dialled again when it is known.
    void closeLink(const std::string &peer);
    /// Dials what is not linked; call at least every 100 ms.
    void tick(TimePoint now);
    /// Sends to a peer; false when there is no open link.
    bool send(const std::string &peer, const PeerMessage &message);
    /// Closes all links and the listening socket without telling anyone.
    void shutDown();
    /// Peers with an open link.
    std::vector<PeerInfo> linked() const;
    /// Bytes sent and received on all links, framing included.
    std::int64_t bytes() const { return m_bytes; }

Q_SIGNALS:
    void peerUp(const std::string &name, const std::string &zone);
    void peerDown(const std::string &name);
    void received(const std::string &from, const marjoramhaven::PeerMessage &message);

private:
    struct Link;
    struct Dial;

    void attach(QTcpSocket *socket);
    void handleBytes(QTcpSocket *socket);
    void handleHello(Link &link, const HelloMessage &hello);
    void drop(QTcpSocket *socket);
    void dial(Dial &dial, TimePoint now);

    PeerInfo m_self;
    Log m_log {"peer"};
    QTcpServer m_server;
    std::map<QTcpSocket *, std::unique_ptr<Link>> m_links;
    std::map<std::string, Link *> m_byName;
    std::map<std::string, Dial> m_dials;
    std::int64_t m_bytes = 0;
    std::mt19937_64 m_random;
};

} // namespace marjoramhaven
