#include "PooledConnection.h"

#include <cerrno>
#include <sys/socket.h>

namespace marjoramhaven {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Larger than any response that is asked for, and small enough for the memory of a small VM.
constexpr std::uint64_t MaxResponseBytes = 8ULL << 20;

} // namespace

PooledConnection::PooledConnection(boost::asio::io_context &io, ConnectionOwner &owner, HostKey key)
    : m_owner(owner)
    , m_key(std::move(key))
    , m_socket(io)
    , m_timer(io)
{
}

void PooledConnection::run(std::shared_ptr<PendingCall> pending)
{
    m_pending = std::move(pending);
    m_isReused = m_isConnected;
    m_hasResponseBytes = false;
    m_sendings = 0;
    armTimer(m_pending->deadline);
    prepareRequest();
    if (m_isConnected) {
        send();
    } else {
        connect();
    }
}

bool PooledConnection::isUsable()
{
    char next = 0;
    const auto n = ::recv(m_socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void PooledConnection::waitIdle(Millis idleTimeout)
{
    m_timer.expires_after(idleTimeout);
    m_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &ec) {
        // A timeout that has expired may still be reported after the connection was used again.
        if (!ec && self->m_pending == nullptr && self->m_timer.expiry() <= std::chrono::steady_clock::now()) {
            self->m_owner.closeIdle(self);
        }
    });
}

void PooledConnection::close()
{
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void PooledConnection::armTimer(std::chrono::steady_clock::time_point at)
{
    m_timer.expires_at(at);
    m_timer.async_wait([self = this->shared_from_this(), pending = m_pending](const boost::system::error_code &ec) {
        // A limit that was replaced after it had expired may still be reported.
        if (!ec && self->m_pending == pending && self->m_timer.expiry() <= std::chrono::steady_clock::now()) {
            self->fail(self->m_hasResponseBytes ? "the response stalled" : "timeout");
        }
    });
}

void PooledConnection::prepareRequest()
{
    const auto &call = m_pending->call;
    m_request = {};
    m_request.method_string(call.method);
    m_request.target(call.target);
    m_request.version(11);
    m_request.set(http::field::host, m_key.first + ":" + std::to_string(m_key.second));
    for (const auto &[name, value] : call.headers) {
        m_request.set(name, value);
    }
    if (!call.body.empty()) {
        m_request.set(http::field::content_type, call.contentType);
    }
    m_request.body() = call.body;
    if (!call.body.empty() || call.method != "GET") {
        m_request.content_length(call.body.size());
    }
}

void PooledConnection::connect()
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_key.first, ec);
    if (ec) {
        fail("the host must be an IP address, found " + m_key.first);
        return;
    }
    const asio::ip::tcp::endpoint to(address, static_cast<unsigned short>(m_key.second));
    m_socket.async_connect(to, [self = this->shared_from_this(), pending = m_pending](const boost::system::error_code &error) {
        if (self->m_pending != pending) {
            return;
        }
        if (error) {
            self->fail(error.message());
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_isConnected = true;
        self->send();
    });
}

void PooledConnection::send()
{
    // A process that stood still may get here before the timer that ends the call is handled.
    if (monotonicNow() > m_pending->sendBy) {
        fail("the time limit had passed when the request was to be sent");
        return;
    }
    ++m_sendings;
    http::async_write(m_socket, m_request, [self = this->shared_from_this(), pending = m_pending](const boost::system::error_code &ec, std::size_t) {
        if (self->m_pending != pending) {
            return;
        }
        if (ec) {
            // No server can carry out a request of which it has only a part.
            --self->m_sendings;
            self->failOrResend(ec.message());
            return;
        }
        self->receive();
    });
}

void PooledConnection::receive()
{
    m_parser.emplace();
    m_parser->body_limit(MaxResponseBytes);
    receiveSome();
}

void PooledConnection::receiveSome()
{
    const auto received = [self = this->shared_from_this(), pending = m_pending](const boost::system::error_code &ec, std::size_t n) {
        if (self->m_pending == pending) {
            self->handleReceived(ec, n);
        }
    };
    http::async_read_some(m_socket, m_buffer, *m_parser, received);
}

void PooledConnection::handleReceived(const boost::system::error_code &ec, std::size_t n)
{
    m_hasResponseBytes = m_hasResponseBytes || n > 0 || m_buffer.size() > 0;
    if (ec) {
        failOrResend(ec.message());
    } else if (m_parser->is_done()) {
        succeed();
    } else {
        if (m_pending->call.stallTimeout) {
            armTimer(std::chrono::steady_clock::now() + *m_pending->call.stallTimeout);
        }
        receiveSome();
    }
}

void PooledConnection::succeed()
{
    CallResult result;
    result.hasResponse = true;
    result.status = static_cast<int>(m_parser->get().result_int());
    // Bytes behind the response belong to no request.
    const bool keepAlive = m_parser->get().keep_alive() && m_buffer.size() == 0;
    result.body = std::move(m_parser->get().body());
    finish(std::move(result), keepAlive);
}

void PooledConnection::failOrResend(const std::string &reason)
{
    const bool maySend = m_sendings == 0 || m_pending->call.mayResend;
    if (!m_isReused || m_hasResponseBytes || !maySend) {
        fail(reason);
        return;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_buffer.consume(m_buffer.size());
    m_isReused = false;
    m_isConnected = false;
    connect();
}

void PooledConnection::fail(const std::string &reason)
{
    CallResult result;
    result.error = reason;
    finish(std::move(result), false);
}

void PooledConnection::finish(CallResult result, bool keepAlive)
{
    result.sendings = m_sendings;
    const auto pending = std::move(m_pending);
    m_pending = nullptr;
    m_timer.cancel();
    if (!keepAlive) {
        close();
    }
    m_owner.deliver(pending, std::move(result));
    m_owner.release(this->shared_from_this(), keepAlive);
}

} // namespace marjoramhaven
