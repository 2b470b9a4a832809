#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// One call to an HTTP server that is named by IP number and port.
struct OutgoingCall {
    std::string method;
    std::string host;
    int port = 0;
    /// Path and query.
    std::string target;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    /// A call that finds its kept-alive connection closed is sent once more; only for idempotent calls.
    bool mayResend = true;
    /// Bounds the whole call: waiting for a connection, sending and the answer.
    Millis timeout {1000};
};

/// How a call ended.
struct CallResult {
    /// False when no whole answer came: the call may or may not have taken effect.
    bool isAnswered = false;
    /// True when the call surely never reached the server.
    bool isUnsent = false;
    int status = 0;
    std::string body;
    /// Why there is no answer.
    std::string error;
};

/// Calls HTTP servers over kept-alive connections, on a thread of its own, at a fraction of the processor time of Qt's network access.
class HttpCaller
{
public:
    using Done = std::function<void(const CallResult &)>;

    /// Results are delivered on the thread of the context, which must outlive the caller.
    explicit HttpCaller(QObject &context, int connectionsPerHost);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Sends a call; calls back exactly once, unless the caller is destroyed first.
    void call(OutgoingCall call, Done done);

private:
    class Loop;
    std::unique_ptr<Loop> m_loop;
};

} // namespace marjoramhaven
