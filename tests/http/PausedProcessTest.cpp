#include <boost/test/unit_test.hpp>

#include <QObject>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

#include "marjoramhaven/http/PooledHttpClient.h"

using namespace marjoramhaven;

namespace {

constexpr Millis CallTimeout {600};
// The kernel repeats a connection request that was dropped after about a second, whether the process is paused or not.
constexpr int ConnectedWithinMs = 5000;
constexpr int SettleMs = 300;

sockaddr_in loopback(in_port_t port)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = port;
    return out;
}

bool isReadable(int fd, int withinMs)
{
    pollfd it {fd, POLLIN, 0};
    return poll(&it, 1, withinMs) == 1;
}

// A listener whose queue is full, so that the kernel drops further connection requests until the queue is emptied.
class FullListener
{
public:
    FullListener()
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = loopback(0);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(bind(m_fd, reinterpret_cast<sockaddr *>(&address), size) == 0);
        BOOST_REQUIRE(listen(m_fd, 0) == 0);
        BOOST_REQUIRE(getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_port = address.sin_port;
        constexpr std::size_t MaxFillers = 8;
        bool isAnswered = true;
        while (isAnswered && m_fillers.size() < MaxFillers) {
            isAnswered = fill();
        }
    }

    ~FullListener()
    {
        close(m_fd);
        closeFillers();
    }

    int port() const { return ntohs(m_port); }

    // Closes the connections that fill the queue on the side that opened them.
    void closeFillers()
    {
        for (const auto fd : m_fillers) {
            close(fd);
        }
        m_fillers.clear();
    }

    // Makes room in the queue.
    void empty()
    {
        closeFillers();
        while (isReadable(m_fd, 0)) {
            close(accept(m_fd, nullptr, nullptr));
        }
    }

    // Returns the next connection, or -1 if there is none in time.
    int acceptWithin(int ms) const { return isReadable(m_fd, ms) ? accept(m_fd, nullptr, nullptr) : -1; }

private:
    // Opens one more connection. Returns false if its request was dropped.
    bool fill()
    {
        m_fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        const auto address = loopback(m_port);
        connect(m_fillers.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        pollfd it {m_fillers.back(), POLLOUT, 0};
        constexpr int AnsweredWithinMs = 100;
        return poll(&it, 1, AnsweredWithinMs) == 1;
    }

    int m_fd = -1;
    in_port_t m_port = 0;
    std::vector<int> m_fillers;
};

// Starts a process that calls the listener and waits for its end.
pid_t startCaller(FullListener &listener)
{
    const auto out = fork();
    if (out == 0) {
        listener.closeFillers();
        QObject context;
        PooledHttpClient httpClient(context, 1);
        OutgoingCall call;
        call.method = "POST";
        call.host = "127.0.0.1";
        call.port = listener.port();
        call.target = "/";
        call.body = "{}";
        call.timeout = CallTimeout;
        httpClient.call(std::move(call), [](const CallResult & /*result*/) {});
        while (true) {
            pause();
        }
    }
    return out;
}

} // namespace

// Processes that stand still for a while and go on.
BOOST_AUTO_TEST_SUITE(PausedProcesses)

// Guards against a request that is sent after its time limit: a paused leader's call, decided before the pause, reached a worker that had started again.
BOOST_AUTO_TEST_CASE(callWhoseConnectionIsReadyAfterItsTimeLimitIsNotSent)
{
    FullListener listener;
    const auto caller = startCaller(listener);
    BOOST_REQUIRE(caller > 0);
    usleep(SettleMs * 1000);
    kill(caller, SIGSTOP);
    int status = 0;
    waitpid(caller, &status, WUNTRACED);
    BOOST_REQUIRE(WIFSTOPPED(status));
    listener.empty();
    const auto connection = listener.acceptWithin(ConnectedWithinMs);
    usleep(static_cast<useconds_t>(CallTimeout.count()) * 1000);
    kill(caller, SIGCONT);
    std::array<char, 256> buf {};
    const auto received = connection >= 0 && isReadable(connection, ConnectedWithinMs) ? recv(connection, buf.data(), buf.size(), 0) : -1;
    kill(caller, SIGKILL);
    waitpid(caller, &status, 0);
    close(connection);
    BOOST_REQUIRE(connection >= 0);
    BOOST_TEST(received == 0);
}

BOOST_AUTO_TEST_SUITE_END()
