#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "marjoramhaven/http/PooledHttpClient.h"

namespace marjoramhaven {

/// IP address and port of a server.
using HostKey = std::pair<std::string, int>;

/// A call that has not completed yet.
struct PendingCall {
    OutgoingCall call;
    PooledHttpClient::Done done;
    std::chrono::steady_clock::time_point deadline;
    /// The request is not sent after this, whichever time the timers of the I/O thread count.
    TimePoint sendBy {};
};

class PooledConnection;

/// Owns connections and takes the results of their calls.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;

    /// Closes a connection that no call has used for too long.
    virtual void closeIdle(const std::shared_ptr<PooledConnection> &connection) = 0;
    /// Takes a connection back after a call; it can carry another one if it is reusable, and is closed otherwise.
    virtual void release(const std::shared_ptr<PooledConnection> &connection, bool reusable) = 0;
    /// Takes the result of a call.
    virtual void deliver(const std::shared_ptr<PendingCall> &pending, CallResult result) = 0;
};

/// A kept-alive connection, which carries one call at a time. All members run on the thread of its I/O context.
class PooledConnection : public std::enable_shared_from_this<PooledConnection>
{
public:
    PooledConnection(boost::asio::io_context &io, ConnectionOwner &owner, HostKey key);

    const HostKey &key() const { return m_key; }
    /// Carries out a call and gives its result and then itself to the owner. Connects first if needed. No other call may be under way.
    void run(std::shared_ptr<PendingCall> pending);
    /// Returns whether an idle connection can carry a call: the server has neither closed it nor sent bytes that belong to no response.
    bool isUsable();
    /// Has the owner close the connection if no call uses it before the idle timeout.
    void waitIdle(Millis idleTimeout);
    /// Closes the connection at once.
    void close();

private:
    // Replaces the time limit of the pending call.
    void armTimer(std::chrono::steady_clock::time_point at);
    void prepareRequest();
    void connect();
    void send();
    void receive();
    void receiveSome();
    void handleReceived(const boost::system::error_code &ec, std::size_t n);
    void succeed();
    // Sends the request once more on a new connection when the failed one was kept alive from an earlier call: the server may have closed it while
    // it was idle. Fails the call when response bytes have arrived, or when it was sent completely and must not be sent twice.
    void failOrResend(const std::string &reason);
    void fail(const std::string &reason);
    void finish(CallResult result, bool keepAlive);

    ConnectionOwner &m_owner;
    HostKey m_key;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<PendingCall> m_pending;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::flat_buffer m_buffer;
    bool m_isConnected = false;
    bool m_isReused = false;
    bool m_hasResponseBytes = false;
    // How often the pending call was sent, on this or an earlier connection.
    int m_sendings = 0;
};

} // namespace marjoramhaven
