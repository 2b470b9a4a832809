#include "marjoramhaven/wire/PeerHub.h"

#include <QHostAddress>
#include <QTcpSocket>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {
constexpr Millis InitialBackoff {100};
constexpr int MaxBackoffDoublings = 4;
// Of two peers, the one with the greater name waits this long before it dials, at the start and after a lost link, so that they don't dial each
// other at the same time.
constexpr Millis DialDelayOfGreaterName {600};
constexpr qint64 MaxUnsentBytes = 8 << 20;
} // namespace

// An open socket. Its peer is unknown until the HelloMessage arrives.
struct PeerHub::Link {
    QTcpSocket *socket = nullptr;
    FrameReader reader;
    PeerInfo peer;
};

// The connection attempts to one known peer.
struct PeerHub::Dial {
    PeerAddress address;
    TimePoint nextAt {};
    int failures = 0;
    QTcpSocket *socket = nullptr;
};

PeerHub::PeerHub(PeerInfo self, std::uint64_t seed, QObject *parent)
    : QObject(parent)
    , m_self(std::move(self))
    , m_random(seed)
{
    connect(&m_server, &QTcpServer::newConnection, this, [this]() {
        while (auto *socket = m_server.nextPendingConnection()) {
            openLink(socket);
        }
    });
}

PeerHub::~PeerHub() = default;

void PeerHub::shutDown()
{
    m_server.close();
    for (auto &[name, it] : m_dials) {
        if (it.socket != nullptr) {
            disconnect(it.socket, nullptr, this, nullptr);
            it.socket->abort();
        }
    }
    for (auto &[socket, link] : m_links) {
        disconnect(socket, nullptr, this, nullptr);
        socket->abort();
        socket->deleteLater();
    }
    m_dials.clear();
    m_linksByName.clear();
    m_links.clear();
}

int PeerHub::listenOn(const std::string &host, int port)
{
    if (!m_server.listen(QHostAddress(toQt(host)), static_cast<quint16>(port))) {
        setLastReason("can't listen for peer connections: " + m_server.errorString().toStdString());
        return 0;
    }
    return m_server.serverPort();
}

void PeerHub::addPeers(std::vector<PeerAddress> peers)
{
    for (auto &it : peers) {
        auto &dial = m_dials[it.name];
        if (dial.address.host != it.host || dial.address.port != it.port) {
            dial.nextAt = {};
            dial.failures = 0;
        }
        dial.address = std::move(it);
    }
}

void PeerHub::removePeer(const std::string &peer)
{
    const auto it = m_dials.find(peer);
    if (it == m_dials.end()) {
        return;
    }
    auto *socket = it->second.socket;
    m_dials.erase(it);
    if (socket != nullptr && !m_links.contains(socket)) {
        socket->abort();
        socket->deleteLater();
    }
}

void PeerHub::closeLink(const std::string &peer)
{
    const auto it = m_linksByName.find(peer);
    if (it != m_linksByName.end()) {
        it->second->socket->abort();
    }
}

void PeerHub::openLink(QTcpSocket *socket)
{
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    auto link = std::make_unique<Link>();
    link->socket = socket;
    m_links[socket] = std::move(link);
    connect(socket, &QTcpSocket::readyRead, this, [this, socket]() {
        handleBytes(socket);
    });
    connect(socket, &QTcpSocket::disconnected, this, [this, socket]() {
        removeLink(socket);
    });
    const auto hello = encodeFrame(HelloMessage {WireVersion, m_self.name, m_self.zone});
    m_bytes += hello.size();
    socket->write(hello);
}

void PeerHub::dial(Dial &dial, TimePoint now)
{
    const auto backoff = InitialBackoff * (1 << std::min(dial.failures, MaxBackoffDoublings));
    dial.nextAt = now + backoff + Millis(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(backoff.count())));
    ++dial.failures;
    auto *socket = new QTcpSocket(this);
    dial.socket = socket;
    connect(socket, &QTcpSocket::connected, this, [this, socket]() {
        openLink(socket);
    });
    connect(socket, &QTcpSocket::errorOccurred, this, [this, socket]() {
        if (!m_links.contains(socket)) {
            socket->deleteLater();
        }
    });
    connect(socket, &QObject::destroyed, this, [this, socket]() {
        for (auto &[name, it] : m_dials) {
            if (it.socket == socket) {
                it.socket = nullptr;
            }
        }
    });
    socket->connectToHost(QHostAddress(toQt(dial.address.host)), static_cast<quint16>(dial.address.port));
}

void PeerHub::tick(TimePoint now)
{
    for (auto &[name, it] : m_dials) {
        if (m_linksByName.contains(name)) {
            it.failures = 0;
            it.nextAt = now + (m_self.name < name ? Millis(0) : DialDelayOfGreaterName);
            continue;
        }
        if (it.nextAt == TimePoint {} && m_self.name > name) {
            it.nextAt = now + DialDelayOfGreaterName;
        }
        if (now < it.nextAt) {
            continue;
        }
        if (it.socket != nullptr && !m_links.contains(it.socket)) {
            it.socket->abort();
            it.socket->deleteLater();
            it.socket = nullptr;
        }
        dial(it, now);
    }
}

bool PeerHub::send(const std::string &peer, const PeerMessage &message)
{
    const auto it = m_linksByName.find(peer);
    if (it == m_linksByName.end()) {
        return false;
    }
    auto *socket = it->second->socket;
    if (socket->bytesToWrite() > MaxUnsentBytes) {
        socket->abort();
        return false;
    }
    const auto frame = encodeFrame(message);
    m_bytes += frame.size();
    socket->write(frame);
    return true;
}

std::vector<PeerInfo> PeerHub::linkedPeers() const
{
    std::vector<PeerInfo> out;
    for (const auto &[name, link] : m_linksByName) {
        out.push_back(link->peer);
    }
    return out;
}

void PeerHub::handleBytes(QTcpSocket *socket)
{
    const QByteArray bytes = socket->readAll();
    m_bytes += bytes.size();
    auto &link = *m_links.at(socket);
    if (!link.peer.name.empty()) {
        Q_EMIT bytesReceived(link.peer.name);
    }
    const auto messages = link.reader.feed(bytes);
    if (!messages) {
        m_log.warn("closed the link to a peer: " + lastReason());
        socket->abort();
        return;
    }
    for (const auto &it : *messages) {
        const auto found = m_links.find(socket);
        if (found == m_links.end()) {
            return;
        }
        if (const auto *hello = std::get_if<HelloMessage>(&it)) {
            handleHello(*found->second, *hello);
        } else if (!found->second->peer.name.empty()) {
            Q_EMIT received(found->second->peer.name, it);
        }
    }
}

void PeerHub::handleHello(Link &link, const HelloMessage &hello)
{
    if (hello.name.empty() || hello.name == m_self.name) {
        m_log.warn("closed the link to a peer that sent an empty name or the name of this process");
        link.socket->abort();
        return;
    }
    link.peer = {hello.name, hello.zone};
    const auto previous = m_linksByName.find(hello.name);
    if (previous != m_linksByName.end()) {
        // A new link from a peer replaces its older one, which may be dead without this process having noticed.
        auto *socket = previous->second->socket;
        m_linksByName.erase(previous);
        Q_EMIT peerDown(hello.name);
        socket->abort();
    }
    m_linksByName[hello.name] = &link;
    m_log.info("opened a link to peer " + hello.name + " in zone " + hello.zone);
    Q_EMIT peerUp(hello.name, hello.zone);
}

void PeerHub::removeLink(QTcpSocket *socket)
{
    const auto it = m_links.find(socket);
    if (it == m_links.end()) {
        return;
    }
    const auto name = it->second->peer.name;
    const auto current = m_linksByName.find(name);
    const bool wasLinked = current != m_linksByName.end() && current->second == it->second.get();
    if (wasLinked) {
        m_linksByName.erase(current);
    }
    m_links.erase(it);
    socket->deleteLater();
    if (wasLinked) {
        m_log.info("lost the link to peer " + name);
        Q_EMIT peerDown(name);
    }
}

} // namespace marjoramhaven
