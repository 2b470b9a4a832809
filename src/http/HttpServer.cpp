#include "marjoramhaven/http/HttpServer.h"

#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

const char *methodName(QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return "OTHER";
    }
}

HttpRequest requestOf(const QHttpServerRequest &from)
{
    HttpRequest out;
    out.method = methodName(from.method());
    out.url = from.url();
    out.path = out.url.path().toStdString();
    const auto parts = out.url.path().split(QLatin1Char('/'), Qt::SkipEmptyParts);
    for (const auto &it : parts) {
        out.parts.push_back(it.toStdString());
    }
    out.body = from.body();
    out.headers = from.headers();
    out.traceparent = out.header("traceparent").toStdString();
    return out;
}

} // namespace

QByteArray HttpRequest::header(const QByteArray &name) const
{
    for (const auto &[key, value] : headers) {
        if (key.compare(name, Qt::CaseInsensitive) == 0) {
            return value;
        }
    }
    return {};
}

HttpResponse HttpResponse::json(int status, const QJsonObject &object)
{
    HttpResponse out;
    out.status = status;
    out.body = jsonBytes(object);
    return out;
}

HttpResponse HttpResponse::problem(int status, const std::string &title, const std::string &detail)
{
    auto out = json(status, {{QLatin1String("title"), toQt(title)}, {QLatin1String("status"), status}, {QLatin1String("detail"), toQt(detail)}});
    out.type = "application/problem+json";
    return out;
}

// A request whose response has not been sent; the response is kept here until those of all earlier requests have been sent.
struct HttpServer::PendingResponse {
    std::optional<HttpResponse> response;
};

// The state of one connection.
struct HttpServer::Connection {
    const QHttpServerRequest *request = nullptr;
    std::list<std::shared_ptr<PendingResponse>> pending;
    qint64 requestBytes = 0;
    QTimer *timer = nullptr;
};

HttpServer::HttpServer(HttpHandler handler, HttpLimits limits, QObject *parent)
    : QAbstractHttpServer(parent)
    , m_handler(std::move(handler))
    , m_limits(limits)
{
}

HttpServer::~HttpServer()
{
    m_alive.reset();
    for (auto &[socket, connection] : m_connections) {
        disconnect(socket, nullptr, this, nullptr);
    }
}

int HttpServer::listenOn(const QHostAddress &address, int port)
{
    // Creates sockets on which the limits are enforced before QAbstractHttpServer reads from them.
    class Listener : public QTcpServer
    {
    public:
        explicit Listener(HttpServer &server)
            : m_server(server)
        {
        }

    protected:
        void incomingConnection(qintptr descriptor) override
        {
            auto *socket = new QTcpSocket(this);
            socket->setSocketDescriptor(descriptor);
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            if (static_cast<int>(m_server.m_connections.size()) >= m_server.m_limits.connections) {
                socket->abort();
                socket->deleteLater();
                return;
            }
            m_server.trackConnection(socket);
            addPendingConnection(socket);
        }

    private:
        HttpServer &m_server;
    };

    auto *listener = new Listener(*this);
    if (!listener->listen(address, static_cast<quint16>(port))) {
        setLastReason("can't listen on port " + std::to_string(port) + ": " + listener->errorString().toStdString());
        delete listener;
        return 0;
    }
    bind(listener);
    m_listener = listener;
    return listener->serverPort();
}

void HttpServer::stopListening()
{
    if (m_listener != nullptr) {
        m_listener->close();
    }
}

int HttpServer::inFlight() const
{
    const auto unwritten = std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) {
        return it.first->bytesToWrite() > 0;
    });
    return m_unanswered + static_cast<int>(unwritten);
}

void HttpServer::trackConnection(QTcpSocket *socket)
{
    auto connection = std::make_unique<Connection>();
    connection->timer = new QTimer(socket);
    connection->timer->setSingleShot(true);
    connection->timer->start(m_limits.idleMs);
    connect(connection->timer, &QTimer::timeout, socket, [this, socket]() {
        const auto it = m_connections.find(socket);
        if (it != m_connections.end() && it->second->pending.empty()) {
            socket->abort();
        }
    });
    connect(socket, &QTcpSocket::readyRead, this, [this, socket]() {
        const auto it = m_connections.find(socket);
        if (it == m_connections.end()) {
            return;
        }
        auto &state = *it->second;
        if (state.requestBytes == 0) {
            state.timer->start(m_limits.requestMs);
        }
        state.requestBytes += socket->bytesAvailable();
        if (state.requestBytes > m_limits.requestBytes) {
            socket->write("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            socket->flush();
            socket->abort();
        }
    });
    connect(socket, &QObject::destroyed, this, [this, socket]() {
        m_connections.erase(socket);
    });
    connect(socket, &QTcpSocket::disconnected, this, [this, socket]() {
        const auto it = m_connections.find(socket);
        if (it != m_connections.end()) {
            it->second->request = nullptr;
        }
    });
    m_connections.emplace(socket, std::move(connection));
}

bool HttpServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const auto it = m_connections.find(socket);
    if (it == m_connections.end()) {
        return false;
    }
    auto pending = std::make_shared<PendingResponse>();
    it->second->request = &request;
    it->second->requestBytes = 0;
    it->second->pending.push_back(pending);
    it->second->timer->stop();
    ++m_unanswered;
    const std::weak_ptr<bool> alive = m_alive;
    const QPointer<QTcpSocket> guardedSocket(socket);
    m_handler(requestOf(request), [this, alive, guardedSocket, pending](HttpResponse response) {
        if (alive.expired() || pending->response) {
            return;
        }
        --m_unanswered;
        pending->response = std::move(response);
        if (guardedSocket) {
            flush(guardedSocket);
        }
    });
    return true;
}

void HttpServer::flush(QTcpSocket *socket)
{
    const auto it = m_connections.find(socket);
    if (it == m_connections.end()) {
        return;
    }
    auto &connection = *it->second;
    while (!connection.pending.empty() && connection.pending.front()->response) {
        const auto first = connection.pending.front();
        connection.pending.pop_front();
        if (connection.request != nullptr) {
            write(socket, *connection.request, *first->response);
        }
    }
    if (connection.pending.empty()) {
        connection.timer->start(m_limits.idleMs);
    }
}

void HttpServer::write(QTcpSocket *socket, const QHttpServerRequest &request, const HttpResponse &response)
{
    auto responder = makeResponder(request, socket);
    responder.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(response.status));
    responder.writeHeader("Content-Type", response.type);
    responder.writeHeader("Content-Length", QByteArray::number(response.body.size()));
    for (const auto &[key, value] : response.headers) {
        responder.writeHeader(key, value);
    }
    responder.writeBody(response.body);
}

void HttpServer::missingHandler(const QHttpServerRequest & /*request*/, QTcpSocket *socket)
{
    socket->abort();
}

} // namespace marjoramhaven
