#include <boost/test/unit_test.hpp>

#include <QEventLoop>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "marjoramhaven/http/HttpClient.h"
#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/http/PooledHttpClient.h"
#include "support/ScriptedServer.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

bool waitFor(const std::function<bool()> &condition)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < 20'000) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return condition();
}

// A server that answers with the path of the request: /slow after 100 ms, every other path at once.
class EchoServer
{
public:
    EchoServer()
        : server(
            [this](const HttpRequest &request, const HttpRespond &respond) {
                ++requestCount;
                HttpResponse response;
                response.body = QByteArray::fromStdString(request.path);
                if (request.path == "/slow") {
                    QTimer::singleShot(100, &server, [respond, response]() {
                        respond(response);
                    });
                } else {
                    respond(response);
                }
            },
            HttpLimits {1000, 300, 300, 10})
    {
        port = server.listenOn(QHostAddress(QHostAddress::LocalHost), 0);
    }

    int requestCount = 0;
    HttpServer server;
    int port = 0;
};

// Calls one server through a pool, one call at a time.
class PooledCaller
{
public:
    explicit PooledCaller(int port, Millis idleTimeout = IdleConnectionTimeout)
        : m_httpClient(m_context, 2, idleTimeout)
    {
        outgoing.method = "POST";
        outgoing.host = "127.0.0.1";
        outgoing.port = port;
        outgoing.target = "/x";
        outgoing.body = "{}";
        outgoing.timeout = Millis(5000);
    }

    CallResult call()
    {
        CallResult out;
        QEventLoop loop;
        m_httpClient.call(outgoing, [&](const CallResult &result) {
            out = result;
            loop.quit();
        });
        loop.exec();
        return out;
    }

    OutgoingCall outgoing;

private:
    QObject m_context;
    PooledHttpClient m_httpClient;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    EchoServer echo;
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(echo.port));
    socket.write("GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /fast HTTP/1.1\r\nHost: x\r\n\r\n");
    QByteArray got;
    BOOST_TEST(waitFor([&]() {
        got += socket.readAll();
        return got.contains("/slow") && got.contains("/fast");
    }));
    BOOST_TEST(got.indexOf("/slow") < got.indexOf("/fast"));
}

// Guards against a process that ends when nothing is in flight, and takes responses with it that it has not written to their connections yet.
BOOST_AUTO_TEST_CASE(aResponseIsInFlightUntilItIsWritten)
{
    std::vector<HttpRespond> waiting;
    HttpServer server(
        [&waiting](const HttpRequest & /*request*/, const HttpRespond &respond) {
            waiting.push_back(respond);
        },
        HttpLimits {});
    const auto port = server.listenOn(QHostAddress(QHostAddress::LocalHost), 0);
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(port));
    socket.write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(waitFor([&]() {
        return waiting.size() == 1;
    }));
    BOOST_TEST(server.inFlight() == 1);
    HttpResponse response;
    response.body = "answer";
    waiting.front()(response);
    BOOST_TEST(server.inFlight() == 1);
    QByteArray got;
    BOOST_TEST(waitFor([&]() {
        got += socket.readAll();
        return got.endsWith("answer");
    }));
    BOOST_TEST(server.inFlight() == 0);
}

BOOST_AUTO_TEST_CASE(aPostIsSentOnlyOnceWhenTheServerClosesTheConnection)
{
    // This server reads requests and closes the connection without a response.
    QTcpServer closingServer;
    int posts = 0;
    QObject::connect(&closingServer, &QTcpServer::newConnection, &closingServer, [&]() {
        auto *socket = closingServer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, &posts]() {
            posts += static_cast<int>(socket->readAll().count("POST "));
            socket->disconnectFromHost();
        });
    });
    closingServer.listen(QHostAddress(QHostAddress::LocalHost), 0);
    HttpClient client;
    int answers = 0;
    bool answered = true;
    client.call("POST", QStringLiteral("http://127.0.0.1:%1/x").arg(closingServer.serverPort()), "{\"a\":1}", Millis(2000), [&](const HttpResult &answer) {
        ++answers;
        answered = answer.hasResponse;
    });
    BOOST_TEST(waitFor([&]() {
        return answers == 1;
    }));
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < 300) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    BOOST_TEST(posts == 1);
    BOOST_TEST(answers == 1);
    BOOST_TEST(!answered);
}

BOOST_AUTO_TEST_CASE(concurrentCallsMayExceedTheConnectionLimitOfOneManager)
{
    std::vector<HttpRespond> waiting;
    HttpServer server(
        [&](const HttpRequest &, const HttpRespond &respond) {
            waiting.push_back(respond);
        },
        HttpLimits());
    const int port = server.listenOn(QHostAddress(QHostAddress::LocalHost), 0);
    HttpClient client;
    int answers = 0;
    for (int i = 0; i < 20; ++i) {
        client.call("GET", QStringLiteral("http://127.0.0.1:%1/").arg(port), {}, Millis(10'000), [&](const HttpResult &answer) {
            answers += answer.hasResponse ? 1 : 0;
        });
    }
    BOOST_TEST(waitFor([&]() {
        return waiting.size() == 20U;
    }));
    for (const auto &it : waiting) {
        it(HttpResponse::json(200, {}));
    }
    BOOST_TEST(waitFor([&]() {
        return answers == 20;
    }));
}

BOOST_AUTO_TEST_CASE(incompleteOversizedAndMalformedRequestsAreAborted)
{
    EchoServer echo;
    QTcpSocket incomplete;
    incomplete.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(echo.port));
    incomplete.write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\nabc");
    QTcpSocket oversized;
    oversized.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(echo.port));
    oversized.write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 64000000\r\n\r\n" + QByteArray(5000, 'x'));
    QTcpSocket malformed;
    malformed.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(echo.port));
    malformed.write(QByteArray("\x01\x02\x03\r\n\r\n"));
    BOOST_TEST(waitFor([&]() {
        return incomplete.state() == QAbstractSocket::UnconnectedState && oversized.state() == QAbstractSocket::UnconnectedState
            && malformed.state() == QAbstractSocket::UnconnectedState;
    }));
    BOOST_TEST(echo.requestCount == 0);
    // The server still answers other clients.
    HttpClient client;
    int status = 0;
    client.call("GET", QStringLiteral("http://127.0.0.1:%1/fast").arg(echo.port), {}, Millis(5000), [&](const HttpResult &answer) {
        status = answer.status;
    });
    BOOST_TEST(waitFor([&]() {
        return status == 200;
    }));
}

BOOST_AUTO_TEST_CASE(aCallThatMayHaveReachedTheServerIsNotReportedAsUnsent)
{
    // The server answers the first request, aborts the connection after reading the second, and no longer listens when that call is sent once more.
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    int requests = 0;
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&]() {
        auto *socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&, socket]() {
            socket->readAll();
            if (++requests == 1) {
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            } else {
                server.close();
                socket->abort();
            }
        });
    });
    QObject context;
    PooledHttpClient httpClient(context, 2);
    OutgoingCall call;
    call.method = "POST";
    call.host = "127.0.0.1";
    call.port = server.serverPort();
    call.target = "/x";
    call.body = "{}";
    call.timeout = Millis(2000);
    std::vector<CallResult> results;
    const auto callAndWait = [&]() {
        QEventLoop loop;
        httpClient.call(call, [&](const CallResult &result) {
            results.push_back(result);
            loop.quit();
        });
        loop.exec();
    };
    callAndWait();
    callAndWait();
    BOOST_TEST(results[0].hasResponse);
    BOOST_TEST(results[0].sendings == 1);
    BOOST_TEST(!results[1].hasResponse);
    BOOST_TEST(!results[1].isUnsent());
    BOOST_TEST(results[1].sendings == 1);
    // No server listens any more, so the request can't have reached one.
    callAndWait();
    BOOST_TEST(results[2].isUnsent());
    BOOST_TEST(results[2].sendings == 0);
}

// Guards against calls of unknown outcome: a request was sent on a connection that the server had closed while it was idle.
BOOST_AUTO_TEST_CASE(connectionThatTheServerClosedWhileIdleIsNotUsedAgain)
{
    ScriptedServer server({{.closesAfterwards = true}, {}});
    PooledCaller caller(server.port());
    caller.outgoing.mayResend = false;
    BOOST_TEST(caller.call().hasResponse);
    BOOST_TEST(waitFor([&]() {
        return server.closedCount() == 1;
    }));
    const auto second = caller.call();
    BOOST_TEST(second.hasResponse, second.error);
    BOOST_TEST(second.sendings == 1);
    BOOST_TEST(server.connectionCount() == 2);
}

// Guards against a response that is taken for that to a later request: the server sent more than one response to a request.
BOOST_AUTO_TEST_CASE(bytesBehindAResponseAreNotTheResponseToTheNextRequest)
{
    const std::string strayResponse = "HTTP/1.1 299 X\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server({{.strayBytes = strayResponse}, {}});
    PooledCaller caller(server.port());
    BOOST_TEST(caller.call().status == 200);
    const auto second = caller.call();
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.sendings == 1);
    BOOST_TEST(server.requestCount() == 2);
}

// Guards against requests that are lost on a connection that a network has dropped while it was idle, without telling the ends.
BOOST_AUTO_TEST_CASE(connectionIsClosedWhenItHasBeenIdleForTheTimeout)
{
    ScriptedServer server({});
    PooledCaller caller(server.port(), Millis(300));
    BOOST_TEST(caller.call().hasResponse);
    BOOST_TEST(caller.call().hasResponse);
    BOOST_TEST(server.connectionCount() == 1);
    BOOST_TEST(waitFor([&]() {
        return server.closedCount() == 1;
    }));
    BOOST_TEST(caller.call().hasResponse);
    BOOST_TEST(server.connectionCount() == 2);
}

// Guards against calls of unknown outcome: a request of which the server can have only a part was counted as sent.
BOOST_AUTO_TEST_CASE(requestThatWasNotWrittenCompletelyCountsAsUnsent)
{
    // More than the buffers of both ends hold, so that the request can't be written before the server has read a part of it.
    constexpr std::size_t LargeBodyBytes = 64ULL << 20;
    ScriptedServer server({{}, {.isResetAtFirstBytes = true}, {503}});
    PooledCaller caller(server.port());
    BOOST_TEST(caller.call().hasResponse);
    caller.outgoing.mayResend = false;
    caller.outgoing.timeout = Millis(10'000);
    caller.outgoing.body.assign(LargeBodyBytes, 'x');
    const auto repeated = caller.call();
    BOOST_TEST(repeated.status == 503, repeated.error);
    BOOST_TEST(repeated.sendings == 1);
    BOOST_TEST(server.connectionCount() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
