#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// A response that stops for this long is on a connection that has broken without a sign.
inline constexpr Millis ResponseStallTimeout {1500};

/// A kept-alive connection is closed when it has been idle for this long, before a network drops it without a sign.
inline constexpr Millis IdleConnectionTimeout {10'000};

/// A request to an HTTP server that is given by IP address and port.
struct OutgoingCall {
    std::string method;
    /// The server's IP address.
    std::string host;
    int port = 0;
    /// Path and query.
    std::string target;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    /// Whether the request is sent once more on a new connection when a kept-alive connection turns out to be closed. Set it to false for requests
    /// that are not idempotent.
    bool mayResend = true;
    /// Time limit for the whole call: waiting for a free connection, connecting, sending, and receiving the response.
    Millis timeout {1000};
    /// When the request was decided on. If set, the request is not sent later than `timeout` after that, even if the process stood still in between; the call
    /// then fails as unsent. Otherwise the same holds from when the call is made.
    std::optional<TimePoint> decidedAt {};
    /// If set, `timeout` ends when the first bytes of the response arrive. From then on the call fails only when no further bytes arrive for this long. For
    /// responses whose size is not known beforehand, which take long on a slow link although nothing is wrong.
    std::optional<Millis> stallTimeout;
};

/// The result of a call.
struct CallResult {
    /// True when a complete response was received. When false, it is unknown whether the call took effect, unless isUnsent() is true.
    bool hasResponse = false;
    /// How often the request may have been sent completely. When it was sent twice, the response is that to the second sending, and the first may have been
    /// carried out.
    int sendings = 0;
    int status = 0;
    std::string body;
    /// Why there is no response.
    std::string error;

    /// Returns whether the request certainly never reached the server.
    bool isUnsent() const { return sendings == 0; }
    /// Returns whether an earlier sending of the request, whose response was lost, may have been carried out. A refusal then does not say that nothing was
    /// done.
    bool mayHaveBeenCarriedOutBefore() const { return sendings > 1; }
};

/// An HTTP client with a pool of kept-alive connections for each server and its own I/O thread. It needs a fraction of the processor time of
/// QNetworkAccessManager, on which HttpClient is built.
class PooledHttpClient
{
public:
    using Done = std::function<void(const CallResult &)>;

    /// Opens at most `connectionsPerHost` connections to each server, and closes those that have been idle for `idleTimeout`. Results are delivered on the
    /// thread of `context`, which must outlive this object.
    explicit PooledHttpClient(QObject &context, int connectionsPerHost, Millis idleTimeout = IdleConnectionTimeout);
    ~PooledHttpClient();
    PooledHttpClient(const PooledHttpClient &) = delete;
    PooledHttpClient &operator=(const PooledHttpClient &) = delete;

    /// Sends a request and calls `done` exactly once, unless this object is destroyed first. Calls wait in arrival order while all connections
    /// to the server are in use. Thread-safe.
    void call(OutgoingCall call, Done done);

private:
    class Loop;
    std::unique_ptr<Loop> m_loop;
};

} // namespace marjoramhaven
