#include "NodeProcess.h"

#include <QFile>
#include <csignal>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/standin/FreePort.h"

namespace marjoramhaven::test {

namespace {

constexpr int ExitTimeoutMs = 8000;

// Returns the first of two adjacent free ports: one for other processes, the next for metrics.
int freePortPair()
{
    int first = freePort();
    for (int next = freePort(); next != first + 1; next = freePort()) {
        first = next;
    }
    return first;
}

} // namespace

NodeProcess::NodeProcess(const QString &folder, std::string name)
    : m_name(std::move(name))
    , m_program(folder + QLatin1String("/marjoramhaven"))
    , m_settingsFile(folder + toQt("/" + m_name + ".yaml"))
    , m_logFile(folder + toQt("/" + m_name + ".log"))
    , m_callerPort(freePort())
    , m_readinessPort(freePort())
    , m_peerPort(freePortPair())
{
}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        signal(SIGCONT);
        signal(SIGKILL);
        reap();
    }
}

void NodeProcess::writeSettings(int storePort, int advisorPort) const
{
    const auto address = [](int port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::string text = "node-name: " + m_name + "\nzone: z\nregion: r\nip: 127.0.0.1\nlisten:\n";
    text += "  frontend: " + address(m_callerPort) + "  readiness: " + address(m_readinessPort);
    text += "port-range:\n  - " + std::to_string(m_peerPort) + "\n  - " + std::to_string(m_peerPort + 1) + "\n";
    text += "limits:\n  cpu-share: 1\n  cores: 1\nadvisor: " + address(advisorPort) + "platform:\n  address: " + address(storePort);
    text += "bounds:\n  max-hold-ms: 10000\n  stop-ms: 200\n  grace-s: 4\n  status_s: 120\n";
    QFile file(m_settingsFile);
    file.open(QIODevice::WriteOnly);
    file.write(QByteArray::fromStdString(text));
}

void NodeProcess::start()
{
    if (m_isKilled) {
        m_interruptedAt = monotonicNow();
    }
    m_isKilled = false;
    m_isEndExpected = false;
    m_isPaused = false;
    m_process = std::make_unique<QProcess>();
    auto environment = QProcessEnvironment::systemEnvironment();
    environment.insert(QLatin1String("MARJORAMHAVEN_NODE_FILE"), m_settingsFile);
    m_process->setProcessEnvironment(environment);
    m_process->setStandardOutputFile(m_logFile, QIODevice::Append);
    m_process->setStandardErrorFile(m_logFile, QIODevice::Append);
    m_process->start(m_program, {QLatin1String("node")});
    m_process->waitForStarted();
}

void NodeProcess::signal(int number)
{
    m_isEndExpected = m_isEndExpected || number == SIGKILL || number == SIGTERM;
    if (number == SIGKILL || number == SIGSTOP || (number == SIGCONT && m_isPaused)) {
        m_interruptedAt = monotonicNow();
        m_isPaused = number == SIGSTOP;
        m_isKilled = m_isKilled || number == SIGKILL;
    }
    if (isRunning()) {
        ::kill(static_cast<pid_t>(m_process->processId()), number);
    }
}

bool NodeProcess::hasEndedUnexpectedly() const
{
    return m_process && m_process->state() == QProcess::NotRunning && !m_isEndExpected;
}

void NodeProcess::reap()
{
    if (m_process) {
        m_process->waitForFinished(ExitTimeoutMs);
    }
}

} // namespace marjoramhaven::test
