#pragma once

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QHostAddress>
#include <QJsonObject>
#include <QList>
#include <QPointer>
#include <QTcpSocket>
#include <QUrl>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

class QTcpServer;

namespace marjoramhaven {

/// A request as it is passed to the handler.
struct HttpRequest {
    std::string method;
    /// The decoded path without the query.
    std::string path;
    /// The non-empty segments of the path.
    std::vector<std::string> parts;
    QUrl url;
    QByteArray body;
    /// The value of the `traceparent` header; empty when there is none.
    std::string traceparent;
    QList<std::pair<QByteArray, QByteArray>> headers;

    /// Returns the value of a header, ignoring the case of its name; empty when the request has no such header.
    QByteArray header(const QByteArray &name) const;
};

/// The response to a request.
struct HttpResponse {
    int status = 200;
    QByteArray body;
    QByteArray type = "application/json";
    std::vector<std::pair<QByteArray, QByteArray>> headers;

    /// Creates a response with a JSON body.
    static HttpResponse json(int status, const QJsonObject &object);
    /// Creates a response with problem details (RFC 9457).
    static HttpResponse problem(int status, const std::string &title, const std::string &detail);
};

/// Sends the response to a request. The handler may call it now or later, once, on the server's thread.
using HttpRespond = std::function<void(HttpResponse)>;
/// Handles a request. It is called on the server's thread for each complete request.
using HttpHandler = std::function<void(const HttpRequest &, HttpRespond)>;

/// Limits on the size and duration of requests and on the number of connections.
struct HttpLimits {
    /// Maximum size of a request including its header, in bytes.
    qint64 requestBytes = 1 << 20;
    /// Time from the first byte of a request until it must be complete, in milliseconds.
    int requestMs = 10'000;
    /// Time after which a connection without a request in progress is closed, in milliseconds.
    int idleMs = 60'000;
    /// Maximum number of open connections; further ones are closed at once.
    int connections = 1000;
};

/// An HTTP server with asynchronous handlers. Responses are sent on each connection in the order of its requests.
///
/// QHttpServer writes responses as they become ready, so that pipelined requests can get each other's responses.
class HttpServer : public QAbstractHttpServer
{
    Q_OBJECT

public:
    HttpServer(HttpHandler handler, HttpLimits limits, QObject *parent = nullptr);
    ~HttpServer() override;

    /// Starts to listen on an address; port 0 lets the system choose a port. Returns the port, or 0 after setting lastReason() when listening failed.
    int listenOn(const QHostAddress &address, int port);
    /// Stops accepting connections; existing connections stay open.
    void stopListening();
    /// Returns the number of requests whose responses have not been passed to the operating system yet.
    int inFlight() const;

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct PendingResponse;
    struct Connection;

    void trackConnection(QTcpSocket *socket);
    void flush(QTcpSocket *socket);
    static void write(QTcpSocket *socket, const QHttpServerRequest &request, const HttpResponse &response);

    HttpHandler m_handler;
    HttpLimits m_limits;
    QTcpServer *m_listener = nullptr;
    /// Requests that the handler has not responded to.
    int m_unanswered = 0;
    std::unordered_map<QTcpSocket *, std::unique_ptr<Connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
