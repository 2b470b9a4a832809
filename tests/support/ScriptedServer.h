#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <deque>
#include <stdexcept>
#include <string>

namespace marjoramhaven::test {

/// What a ScriptedServer does when it has read a request.
struct ScriptedAnswer {
    /// Status of the response. 0 resets the connection instead: the request was carried out, and its answer is lost.
    int status = 200;
    std::string body = "{}";
    /// Bytes sent behind the response, which belong to no response.
    std::string strayBytes = {};
    /// Closes the connection once the response is sent, without announcing it in the response.
    bool closesAfterwards = false;
    /// Resets the connection when the first bytes of the request arrive.
    bool isResetAtFirstBytes = false;
};

/// An HTTP server on 127.0.0.1 that answers the requests that it gets, on whatever connections, with the answers of a script in turn.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::deque<ScriptedAnswer> script)
        : m_script(std::move(script))
    {
        if (!m_server.listen(QHostAddress::LocalHost)) {
            throw std::runtime_error("cannot listen on 127.0.0.1");
        }
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this]() {
            accept(m_server.nextPendingConnection());
        });
    }

    int port() const { return m_server.serverPort(); }
    /// Number of requests that were read completely.
    int requestCount() const { return m_requestCount; }
    /// Number of connections that were opened.
    int connectionCount() const { return m_connectionCount; }
    /// Number of connections that have ended.
    int closedCount() const { return m_closedCount; }

private:
    void accept(QTcpSocket *socket)
    {
        ++m_connectionCount;
        QObject::connect(socket, &QTcpSocket::disconnected, &m_server, [this]() {
            ++m_closedCount;
        });
        QObject::connect(socket, &QTcpSocket::readyRead, &m_server, [this, socket, received = QByteArray()]() mutable {
            if (!m_script.empty() && m_script.front().isResetAtFirstBytes) {
                m_script.pop_front();
                socket->abort();
                return;
            }
            received += socket->readAll();
            if (isComplete(received)) {
                received.clear();
                answer(*socket);
            }
        });
    }

    static bool isComplete(const QByteArray &request)
    {
        const auto headerEnd = request.indexOf("\r\n\r\n");
        if (headerEnd < 0) {
            return false;
        }
        const QByteArray lengthField = "content-length: ";
        const auto field = request.left(headerEnd).toLower().indexOf(lengthField);
        if (field < 0) {
            return true;
        }
        const auto valueAt = field + lengthField.size();
        const auto length = request.mid(valueAt, request.indexOf("\r\n", valueAt) - valueAt).toLongLong();
        return request.size() >= headerEnd + 4 + length;
    }

    void answer(QTcpSocket &socket)
    {
        ++m_requestCount;
        const auto next = m_script.empty() ? ScriptedAnswer {} : m_script.front();
        if (!m_script.empty()) {
            m_script.pop_front();
        }
        if (next.status == 0) {
            socket.abort();
            return;
        }
        const auto head = "HTTP/1.1 " + std::to_string(next.status) + " X\r\nContent-Length: " + std::to_string(next.body.size()) + "\r\n\r\n";
        socket.write(QByteArray::fromStdString(head + next.body + next.strayBytes));
        if (next.closesAfterwards) {
            socket.disconnectFromHost();
        }
    }

    QTcpServer m_server;
    std::deque<ScriptedAnswer> m_script;
    int m_requestCount = 0;
    int m_connectionCount = 0;
    int m_closedCount = 0;
};

} // namespace marjoramhaven::test
