#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"

class QNetworkReply;

namespace marjoramhaven {

/// How a call went.
struct HttpAnswer {
    /// False when no whole answer came: the call may or may not have taken effect.
    bool answered = false;
    int status = 0;
    QByteArray body;
    std::string error;
    /// Seconds from a Retry-After header; 0 when there is none.
    int retryAfterSeconds = 0;
};

/// Calls HTTP servers. Never sends a body twice; opens as many connections to a host as its calls need.
///
/// Qt sends a POST again by itself when the peer closes the connection without an answer. A body that can be read
/// only once prevents it. Belongs to the thread that made it.
class HttpClient : public QObject
{
    Q_OBJECT

public:
    using Done = std::function<void(const HttpAnswer &)>;

    explicit HttpClient(QObject *parent = nullptr);

    /// Sends a request; an empty body sends none. Calls back exactly once, unless the client is destroyed first.
    void call(const QByteArray &method, const QString &url, const QByteArray &body, Millis timeout, Done done, const std::string &traceparent = {});
    /// Ends all calls without calling back, and takes no more.
    void shutDown();
    /// Calls that wait for their answer.
    int inFlight() const { return m_inFlight; }
    /// Bytes of bodies sent and received since the start.
    std::int64_t bodyBytes() const { return m_bodyBytes; }

private:
    struct Lane {
        std::unique_ptr<QNetworkAccessManager> manager;
        std::map<QString, int> busy;
    };

    Lane &laneFor(const QString &host);
    void finish(QNetworkReply *reply, const Done &done);

    std::vector<std::unique_ptr<Lane>> m_lanes;
    int m_inFlight = 0;
    std::int64_t m_bodyBytes = 0;
    bool m_isShutDown = false;
};

} // namespace marjoramhaven
