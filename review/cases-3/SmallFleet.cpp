#include "SmallFleet.h"

#include <QFile>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/standin/FreePort.h"
#include "support/Events.h"

namespace marjoramhaven::review {

namespace {

constexpr int ExitTimeoutMs = 3000;
constexpr int ClientConnections = 8;
constexpr Millis ClientBudget {3000};
constexpr Millis ReadyWithin {10'000};
constexpr int StatusOk = 200;

// Returns the first of two adjacent free ports: one for other processes, the next for metrics.
int freePortPair()
{
    int first = freePort();
    for (int next = freePort(); next != first + 1; next = freePort()) {
        first = next;
    }
    return first;
}

std::string loopback(int port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

RoleProcess::RoleProcess(const QString &folder, std::string name, const QString &program)
    : m_name(std::move(name))
    , m_program(program)
    , m_settingsFile(folder + toQt("/" + m_name + ".yaml"))
    , m_logFile(folder + toQt("/" + m_name + ".log"))
    , m_clientPort(freePort())
    , m_readinessPort(freePort())
    , m_peerPort(freePortPair())
{
}

RoleProcess::~RoleProcess()
{
    if (m_process.state() == QProcess::Running) {
        signal(SIGCONT);
        signal(SIGKILL);
        m_process.waitForFinished(ExitTimeoutMs);
    }
}

void RoleProcess::writeSettings(const PlatformPorts &ports) const
{
    std::string text = "node-name: \"" + m_name + "\"\nrole: \"entry\"\nmachine-class: \"edge\"\nserves:\n  - \"edge\"\nip: \"127.0.0.1\"\n";
    text += "zone: \"z\"\nregion: \"r\"\nzones:\n  z: \"r\"\nlisten:\n  frontend: " + loopback(m_clientPort) + "  readiness: " + loopback(m_readinessPort);
    text += "port-range:\n  - " + std::to_string(m_peerPort) + "\n  - " + std::to_string(m_peerPort + 1) + "\n";
    text += "limits:\n  cpu-share: 0.25\n  cores: 1\n  memory-mb: 260\n  max-fds: 4100\n";
    text += "advisor: " + loopback(ports.advisor) + "platform:\n  address: " + loopback(ports.store) + "  form: \"log\"\n  max-record-bytes: 262144\n";
    text += "bounds:\n  drain-ms: 2500\n  grace-s: 6\n  config-apply-ms: 2500\n  max-hold-ms: 10000\n  stop-ms: 400\n  gang-timeout-ms: 3000\n";
    text += "  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  impact-ms: 4000\n";
    QFile file(m_settingsFile);
    if (file.open(QIODevice::WriteOnly)) {
        file.write(QByteArray::fromStdString(text));
    }
}

void RoleProcess::start()
{
    auto environment = QProcessEnvironment::systemEnvironment();
    environment.insert(QLatin1String("MARJORAMHAVEN_NODE_FILE"), m_settingsFile);
    m_process.setProcessEnvironment(environment);
    m_process.setStandardOutputFile(m_logFile, QIODevice::Append);
    m_process.setStandardErrorFile(m_logFile, QIODevice::Append);
    // The process must not outlive the case, however that ends.
    m_process.setChildProcessModifier([]() {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
    });
    m_process.start(m_program, {QLatin1String("node")});
    m_process.waitForStarted();
}

void RoleProcess::signal(int number) const
{
    if (m_process.state() == QProcess::Running) {
        ::kill(static_cast<pid_t>(m_process.processId()), number);
    }
}

SmallFleet::SmallFleet(int processes, int workers, const QString &program, const std::string &recordFile)
    : m_createdAt(monotonicNow())
    , m_record(recordFile)
    , m_platform(workers)
    , m_client(m_context, ClientConnections)
{
    m_platform.putConfiguration(3, "host.example", {"/q/"}, true);
    m_platform.onRunEvent = [this](const RunEvent &it) {
        const bool isStart = it.kind == RunEvent::Kind::Started;
        note(it.worker + (isStart ? " starts " : " ends ") + it.task.toString() + " attempt " + std::to_string(it.attempt)
             + (isStart ? "" : " as " + std::string(nameOf(it.end))));
    };
    for (int i = 0; i < processes; ++i) {
        m_processes.push_back(std::make_unique<RoleProcess>(m_folder.path(), "edge-z-" + std::to_string(i), program));
    }
}

bool SmallFleet::start(const PlatformPorts &ports)
{
    for (const auto &it : m_processes) {
        it->writeSettings(ports);
        it->start();
    }
    const auto until = monotonicNow() + ReadyWithin;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        while (call(i, "GET", "/q/").status != StatusOk) {
            if (monotonicNow() > until) {
                note("process " + std::to_string(i) + " did not become ready");
                return false;
            }
            wait(Millis(100));
        }
    }
    return true;
}

CallResult SmallFleet::call(std::size_t process, const std::string &method, const std::string &path, const std::string &body)
{
    std::optional<CallResult> out;
    OutgoingCall call;
    call.method = method;
    call.host = "127.0.0.1";
    call.port = m_processes[process]->clientPort();
    call.target = path;
    call.body = body;
    call.headers.emplace_back("Host", "host.example");
    call.headers.emplace_back("Deadline-Ms", std::to_string(ClientBudget.count()));
    call.mayResend = false;
    call.timeout = ClientBudget;
    m_client.call(std::move(call), [&out](const CallResult &it) {
        out = it;
    });
    test::waitFor(
        [&out]() {
            return out.has_value();
        },
        static_cast<int>(2 * ClientBudget.count()));
    return out.value_or(CallResult {});
}

std::string SmallFleet::stateOf(std::size_t process, const std::string &job)
{
    const auto answer = call(process, "GET", "/q/" + job);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return answer.status == StatusOk && body.is_object() ? body.value("state", std::string()) : "status " + std::to_string(answer.status);
}

void SmallFleet::wait(Millis time)
{
    test::waitFor(
        []() {
            return false;
        },
        static_cast<int>(time.count()));
}

void SmallFleet::waitUntil(TimePoint time)
{
    constexpr int MaxWaitMs = 60'000;
    test::waitFor(
        [time]() {
            return monotonicNow() >= time;
        },
        MaxWaitMs);
}

void SmallFleet::note(const std::string &line)
{
    m_record << elapsed().count() << " ms  " << line << std::endl;
}

Millis SmallFleet::elapsed() const
{
    return monotonicNow() - m_createdAt;
}

} // namespace marjoramhaven::review
