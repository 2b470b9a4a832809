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

/// The result of a call.
struct HttpResult {
    /// True when a complete response was received. When false, it is unknown whether the call took effect.
    bool hasResponse = false;
    int status = 0;
    QByteArray body;
    /// Why there is no response.
    std::string error;
    /// Seconds from a Retry-After header; 0 when there is none.
    int retryAfterSeconds = 0;
};

/// An HTTP client on Qt's event loop. It never sends a request body twice, and opens as many connections to a host as it has concurrent calls.
///
/// QNetworkAccessManager by itself repeats a POST when the peer closes the connection without a response. The client prevents that by sending the body
/// from a device that can be read only once. An object may be used only on the thread that created it.
class HttpClient : public QObject
{
    Q_OBJECT

public:
    using Done = std::function<void(const HttpResult &)>;

    explicit HttpClient(QObject *parent = nullptr);

    /// Sends a request, without a body when `body` is empty. Calls `done` exactly once, unless the client is destroyed or shut down first.
    /// A non-empty `traceparent` is sent as the header of that name.
    void call(const QByteArray &method, const QString &url, const QByteArray &body, Millis timeout, Done done, const std::string &traceparent = {});
    /// Aborts all calls in progress without calling their callbacks, and ignores further calls.
    void shutDown();
    /// Returns the number of calls in progress.
    int inFlight() const { return m_inFlight; }
    /// Returns the total size of the bodies sent and received so far, in bytes.
    std::int64_t bodyBytes() const { return m_bodyBytes; }

private:
    // A network access manager and its number of active calls for each host.
    struct PooledManager {
        std::unique_ptr<QNetworkAccessManager> manager;
        std::map<QString, int> activeCalls;
    };

    PooledManager &managerFor(const QString &host);
    void finish(QNetworkReply *reply, const Done &done);

    std::vector<std::unique_ptr<PooledManager>> m_managers;
    int m_inFlight = 0;
    std::int64_t m_bodyBytes = 0;
    bool m_isShutDown = false;
};

} // namespace marjoramhaven
