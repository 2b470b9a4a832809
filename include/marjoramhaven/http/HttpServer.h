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

/// One request as a handler sees it.
struct HttpRequest {
    std::string method;
    /// The path without query, decoded, and its parts.
    std::string path;
    std::vector<std::string> parts;
    QUrl url;
    QByteArray body;
    std::string traceparent;
    QList<std::pair<QByteArray, QByteArray>> headers;

    /// The value of a header, whatever the case of its name; empty when there is none.
    QByteArray header(const QByteArray &name) const;
};

/// The answer to one request.
struct HttpResponse {
    int status = 200;
    QByteArray body;
    QByteArray type = "application/json";
    std::vector<std::pair<QByteArray, QByteArray>> headers;

    /// A JSON answer.
    static HttpResponse json(int status, const QJsonObject &object);
    /// Problem details (RFC 9457).
    static HttpResponse problem(int status, const std::string &title, const std::string &detail);
};

/// Sends the answer; may be called later, once, on the server's thread.
using HttpRespond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpRespond)>;

/// Bounds on what a client may send and how long it may take.
struct HttpLimits {
    /// Largest request, with its header, in bytes.
    qint64 requestBytes = 1 << 20;
    /// A request must be complete within this many milliseconds of its first byte.
    int requestMs = 10'000;
    /// A connection without a request in progress is closed after this many milliseconds.
    int idleMs = 60'000;
    int connections = 1000;
};

/// An HTTP server whose handlers answer later, while answers leave each connection in the order of its requests.
///
/// Qt's own server writes answers as they become ready, so that pipelined requests get each other's answers.
class HttpServer : public QAbstractHttpServer
{
    Q_OBJECT

public:
    HttpServer(HttpHandler handler, HttpLimits limits, QObject *parent = nullptr);
    ~HttpServer() override;

    /// Listens on an address; port 0 lets the system choose. Gives the port, or 0 with a last reason.
    int listenOn(const QHostAddress &address, int port);
    /// Accepts no further connections; those that exist go on.
    void stopListening();
    /// Requests that wait for their answer.
    int inFlight() const { return m_inFlight; }

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    struct Pending;
    struct Connection;

    void guard(QTcpSocket *socket);
    void flush(QTcpSocket *socket);
    static void write(QTcpSocket *socket, const QHttpServerRequest &request, const HttpResponse &response);

    HttpHandler m_handler;
    HttpLimits m_limits;
    QTcpServer *m_listener = nullptr;
    int m_inFlight = 0;
    std::unordered_map<QTcpSocket *, std::unique_ptr<Connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramhaven
