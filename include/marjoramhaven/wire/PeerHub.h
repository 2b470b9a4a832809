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

/// The name and listening address of another process.
struct PeerAddress {
    std::string name;
    std::string host;
    int port = 0;
};

/// The name and zone of a process.
struct PeerInfo {
    std::string name;
    std::string zone;
};

/// Keeps the links (TCP connections) to other processes. Connects to the known peers, retrying with exponential backoff and jitter, and accepts
/// connections from any peer.
class PeerHub : public QObject
{
    Q_OBJECT

public:
    /// `self` is sent to peers in the HelloMessage; `seed` seeds the random numbers for the jitter of retries.
    PeerHub(PeerInfo self, std::uint64_t seed, QObject *parent = nullptr);
    ~PeerHub() override;

    /// Starts to listen for peers. Returns the port, or 0 after setting lastReason() when listening failed.
    int listenOn(const std::string &host, int port);
    /// Adds peers to dial, or updates their addresses. Peers that are not in the list stay known.
    void addPeers(std::vector<PeerAddress> peers);
    /// Removes a peer from those to dial. An open link to it stays.
    void removePeer(const std::string &peer);
    /// Closes the link to a peer, if there is one. A peer that is known is dialled again.
    void closeLink(const std::string &peer);
    /// Dials the known peers without a link whose retry is due. Must be called at least every 100 ms.
    void tick(TimePoint now);
    /// Sends a message to a peer. Returns false when there is no open link, or when more than 8 MiB wait to be sent, which closes the link.
    bool send(const std::string &peer, const PeerMessage &message);
    /// Closes all links and the listening socket without emitting signals.
    void shutDown();
    /// Returns the peers with an open link.
    std::vector<PeerInfo> linkedPeers() const;
    /// Returns the number of bytes sent and received on all links, including framing.
    std::int64_t bytes() const { return m_bytes; }

Q_SIGNALS:
    /// A link to a peer was opened and the peer has introduced itself.
    void peerUp(const std::string &name, const std::string &zone);
    /// The link to a peer was closed.
    void peerDown(const std::string &name);
    /// Bytes arrived from a peer, complete messages or parts of one.
    void bytesReceived(const std::string &from);
    /// A message arrived from a peer.
    void received(const std::string &from, const marjoramhaven::PeerMessage &message);

private:
    struct Link;
    struct Dial;

    void openLink(QTcpSocket *socket);
    void handleBytes(QTcpSocket *socket);
    void handleHello(Link &link, const HelloMessage &hello);
    void removeLink(QTcpSocket *socket);
    void dial(Dial &dial, TimePoint now);

    PeerInfo m_self;
    Log m_log {"peer"};
    QTcpServer m_server;
    std::map<QTcpSocket *, std::unique_ptr<Link>> m_links;
    std::map<std::string, Link *> m_linksByName;
    std::map<std::string, Dial> m_dials;
    std::int64_t m_bytes = 0;
    std::mt19937_64 m_random;
};

} // namespace marjoramhaven
