#include "marjoramhaven/http/PooledHttpClient.h"

#include <QMetaObject>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <deque>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <thread>

#include "marjoramhaven/telemetry/Log.h"

namespace marjoramhaven {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Larger than any response that is asked for, and small enough for the memory of a small VM.
constexpr std::uint64_t MaxResponseBytes = 8ULL << 20;

// A call that has not completed yet.
struct PendingCall {
    OutgoingCall call;
    PooledHttpClient::Done done;
    std::chrono::steady_clock::time_point deadline;
    // The request is not sent after this, whichever time the timers of the I/O thread count.
    TimePoint sendBy {};
};

} // namespace

// The I/O thread, which owns the connections. All members run on it, except submit() and the delivery of results.
class PooledHttpClient::Loop
{
public:
    Loop(QObject &context, int connectionsPerHost, Millis idleTimeout)
        : m_context(context)
        , m_connectionsPerHost(connectionsPerHost)
        , m_idleTimeout(idleTimeout)
        , m_guard(asio::make_work_guard(m_io))
        , m_thread([this]() {
            run();
        })
    {
    }

    ~Loop()
    {
        m_io.stop();
        m_thread.join();
        const std::lock_guard<std::mutex> lock(m_completions->lock);
        m_completions->finished.clear();
    }

    // Runs the I/O until it is stopped. A handler that throws leaves its connection to the time limit of its call, which closes it.
    void run()
    {
        while (!m_io.stopped()) {
            try {
                m_io.run();
            } catch (const std::exception &ec) {
                m_log.error(std::string("a handler of the HTTP client failed: ") + ec.what());
            }
        }
    }

    void submit(std::shared_ptr<PendingCall> pending)
    {
        asio::post(m_io, [this, pending = std::move(pending)]() {
            dispatch(pending);
        });
    }

private:
    class Connection;

    // The connection pool of one server and the calls that wait for a free connection.
    struct Host {
        std::vector<std::shared_ptr<Connection>> idle;
        std::deque<std::shared_ptr<PendingCall>> waiting;
        int open = 0;
    };

    // Completed calls that are to be delivered on the context's thread. Shared, because a queued delivery may run after the loop is destroyed.
    struct CompletionQueue {
        std::mutex lock;
        std::vector<std::pair<std::shared_ptr<PendingCall>, CallResult>> finished;
    };

    using HostKey = std::pair<std::string, int>;

    void dispatch(const std::shared_ptr<PendingCall> &pending);
    std::shared_ptr<Connection> takeUsableIdle(Host &host);
    void closeIdle(const std::shared_ptr<Connection> &connection);
    void release(const std::shared_ptr<Connection> &connection, bool reusable);
    void startWaitingCalls(Host &host, const HostKey &key);
    void deliver(const std::shared_ptr<PendingCall> &pending, CallResult result);

    QObject &m_context;
    const int m_connectionsPerHost;
    const Millis m_idleTimeout;
    const Log m_log {"http"};
    asio::io_context m_io {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::map<HostKey, Host> m_hosts;
    std::shared_ptr<CompletionQueue> m_completions = std::make_shared<CompletionQueue>();
    std::thread m_thread;
};

// A kept-alive connection, which carries one call at a time.
class PooledHttpClient::Loop::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Loop &loop, HostKey key)
        : m_loop(loop)
        , m_key(std::move(key))
        , m_socket(loop.m_io)
        , m_timer(loop.m_io)
    {
    }

    const HostKey &key() const { return m_key; }

    void run(std::shared_ptr<PendingCall> pending)
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

    // Returns whether an idle connection can carry a call: the server has neither closed it nor sent bytes that belong to no response.
    bool isUsable()
    {
        char next = 0;
        const auto n = ::recv(m_socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    // Has the loop close the connection if no call uses it before the idle timeout.
    void waitIdle(Millis idleTimeout)
    {
        m_timer.expires_after(idleTimeout);
        m_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &ec) {
            // A timeout that has expired may still be reported after the connection was used again.
            if (!ec && self->m_pending == nullptr && self->m_timer.expiry() <= std::chrono::steady_clock::now()) {
                self->m_loop.closeIdle(self);
            }
        });
    }

    void close()
    {
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

private:
    // Replaces the time limit of the pending call.
    void armTimer(std::chrono::steady_clock::time_point at)
    {
        m_timer.expires_at(at);
        m_timer.async_wait([self = this->shared_from_this(), pending = m_pending](const boost::system::error_code &ec) {
            // A limit that was replaced after it had expired may still be reported.
            if (!ec && self->m_pending == pending && self->m_timer.expiry() <= std::chrono::steady_clock::now()) {
                self->fail(self->m_hasResponseBytes ? "the response stalled" : "timeout");
            }
        });
    }

    void prepareRequest()
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

    void connect()
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

    void send()
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

    void receive()
    {
        m_parser.emplace();
        m_parser->body_limit(MaxResponseBytes);
        receiveSome();
    }

    void receiveSome()
    {
        const auto received = [self = this->shared_from_this(), pending = m_pending](const boost::system::error_code &ec, std::size_t n) {
            if (self->m_pending == pending) {
                self->handleReceived(ec, n);
            }
        };
        http::async_read_some(m_socket, m_buffer, *m_parser, received);
    }

    void handleReceived(const boost::system::error_code &ec, std::size_t n)
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

    void succeed()
    {
        CallResult result;
        result.hasResponse = true;
        result.status = static_cast<int>(m_parser->get().result_int());
        // Bytes behind the response belong to no request.
        const bool keepAlive = m_parser->get().keep_alive() && m_buffer.size() == 0;
        result.body = std::move(m_parser->get().body());
        finish(std::move(result), keepAlive);
    }

    // Sends the request once more on a new connection when the failed one was kept alive from an earlier call: the server may have closed it while
    // it was idle. Fails the call when response bytes have arrived, or when it was sent completely and must not be sent twice.
    void failOrResend(const std::string &reason)
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

    void fail(const std::string &reason)
    {
        CallResult result;
        result.error = reason;
        finish(std::move(result), false);
    }

    void finish(CallResult result, bool keepAlive)
    {
        result.sendings = m_sendings;
        const auto pending = std::move(m_pending);
        m_pending = nullptr;
        m_timer.cancel();
        if (!keepAlive) {
            close();
        }
        m_loop.deliver(pending, std::move(result));
        m_loop.release(this->shared_from_this(), keepAlive);
    }

    Loop &m_loop;
    HostKey m_key;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<PendingCall> m_pending;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    beast::flat_buffer m_buffer;
    bool m_isConnected = false;
    bool m_isReused = false;
    bool m_hasResponseBytes = false;
    // How often the pending call was sent, on this or an earlier connection.
    int m_sendings = 0;
};

void PooledHttpClient::Loop::dispatch(const std::shared_ptr<PendingCall> &pending)
{
    const HostKey key {pending->call.host, pending->call.port};
    auto &host = m_hosts[key];
    host.waiting.push_back(pending);
    startWaitingCalls(host, key);
}

void PooledHttpClient::Loop::startWaitingCalls(Host &host, const HostKey &key)
{
    while (!host.waiting.empty()) {
        const auto pending = host.waiting.front();
        if (pending->deadline <= std::chrono::steady_clock::now()) {
            host.waiting.pop_front();
            CallResult expired;
            expired.error = "no connection became free within the time limit of the call";
            deliver(pending, expired);
            continue;
        }
        auto connection = takeUsableIdle(host);
        if (connection == nullptr && host.open >= m_connectionsPerHost) {
            return;
        }
        if (connection == nullptr) {
            connection = std::make_shared<Connection>(*this, key);
            ++host.open;
        }
        host.waiting.pop_front();
        connection->run(pending);
    }
}

// Returns an idle connection that can carry a call, or null. Closes those that can't.
std::shared_ptr<PooledHttpClient::Loop::Connection> PooledHttpClient::Loop::takeUsableIdle(Host &host)
{
    while (!host.idle.empty()) {
        const auto connection = host.idle.back();
        host.idle.pop_back();
        if (connection->isUsable()) {
            return connection;
        }
        connection->close();
        --host.open;
    }
    return nullptr;
}

void PooledHttpClient::Loop::closeIdle(const std::shared_ptr<Connection> &connection)
{
    auto &host = m_hosts[connection->key()];
    if (std::erase(host.idle, connection) > 0) {
        connection->close();
        --host.open;
    }
}

void PooledHttpClient::Loop::release(const std::shared_ptr<Connection> &connection, bool reusable)
{
    auto &host = m_hosts[connection->key()];
    if (reusable) {
        host.idle.push_back(connection);
        connection->waitIdle(m_idleTimeout);
    } else {
        --host.open;
    }
    startWaitingCalls(host, connection->key());
}

void PooledHttpClient::Loop::deliver(const std::shared_ptr<PendingCall> &pending, CallResult result)
{
    const std::lock_guard<std::mutex> lock(m_completions->lock);
    m_completions->finished.emplace_back(pending, std::move(result));
    if (m_completions->finished.size() > 1) {
        return;
    }
    QMetaObject::invokeMethod(
        &m_context,
        [completions = m_completions]() {
            std::vector<std::pair<std::shared_ptr<PendingCall>, CallResult>> batch;
            {
                const std::lock_guard<std::mutex> inner(completions->lock);
                batch.swap(completions->finished);
            }
            for (auto &[finished, outcome] : batch) {
                finished->done(outcome);
            }
        },
        Qt::QueuedConnection);
}

PooledHttpClient::PooledHttpClient(QObject &context, int connectionsPerHost, Millis idleTimeout)
    : m_loop(std::make_unique<Loop>(context, connectionsPerHost, idleTimeout))
{
}

PooledHttpClient::~PooledHttpClient() = default;

void PooledHttpClient::call(OutgoingCall call, Done done)
{
    auto pending = std::make_shared<PendingCall>();
    pending->deadline = std::chrono::steady_clock::now() + call.timeout;
    pending->sendBy = call.decidedAt.value_or(monotonicNow()) + call.timeout;
    pending->call = std::move(call);
    pending->done = std::move(done);
    m_loop->submit(std::move(pending));
}

} // namespace marjoramhaven
