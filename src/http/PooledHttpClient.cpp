#include "marjoramhaven/http/PooledHttpClient.h"

#include <QMetaObject>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include "PooledConnection.h"
#include "marjoramhaven/telemetry/Log.h"

namespace marjoramhaven {

namespace asio = boost::asio;

// The I/O thread, which owns the connections. All members run on it, except submit() and the delivery of results.
class PooledHttpClient::Loop : public ConnectionOwner
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

    ~Loop() override
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
    // The connection pool of one server and the calls that wait for a free connection.
    struct Host {
        std::vector<std::shared_ptr<PooledConnection>> idle;
        std::deque<std::shared_ptr<PendingCall>> waiting;
        int open = 0;
    };

    // Completed calls that are to be delivered on the context's thread. Shared, because a queued delivery may run after the loop is destroyed.
    struct CompletionQueue {
        std::mutex lock;
        std::vector<std::pair<std::shared_ptr<PendingCall>, CallResult>> finished;
    };

    void dispatch(const std::shared_ptr<PendingCall> &pending);
    std::shared_ptr<PooledConnection> takeUsableIdle(Host &host);
    void startWaitingCalls(Host &host, const HostKey &key);
    void closeIdle(const std::shared_ptr<PooledConnection> &connection) override;
    void release(const std::shared_ptr<PooledConnection> &connection, bool reusable) override;
    void deliver(const std::shared_ptr<PendingCall> &pending, CallResult result) override;

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
            connection = std::make_shared<PooledConnection>(m_io, *this, key);
            ++host.open;
        }
        host.waiting.pop_front();
        connection->run(pending);
    }
}

// Returns an idle connection that can carry a call, or null. Closes those that can't.
std::shared_ptr<PooledConnection> PooledHttpClient::Loop::takeUsableIdle(Host &host)
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

void PooledHttpClient::Loop::closeIdle(const std::shared_ptr<PooledConnection> &connection)
{
    auto &host = m_hosts[connection->key()];
    if (std::erase(host.idle, connection) > 0) {
        connection->close();
        --host.open;
    }
}

void PooledHttpClient::Loop::release(const std::shared_ptr<PooledConnection> &connection, bool reusable)
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
