#pragma once

#include <QObject>
#include <QProcess>
#include <QTemporaryDir>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/http/PooledHttpClient.h"
#include "support/WireStandIn.h"

namespace marjoramhaven::review {

/// Ports under which one process finds the platform.
struct PlatformPorts {
    int store = 0;
    int advisor = 0;
};

/// One process of the deploy file's role, started and signalled from outside.
class RoleProcess
{
public:
    RoleProcess(const QString &folder, std::string name, const QString &program);
    ~RoleProcess();

    int clientPort() const { return m_clientPort; }
    int peerPort() const { return m_peerPort; }
    /// Writes the settings file, as the platform does before a start and when the settings change.
    void writeSettings(const PlatformPorts &ports) const;
    void start();
    /// Sends a signal to the process.
    void signal(int number) const;

private:
    const std::string m_name;
    const QString m_program;
    const QString m_settingsFile;
    const QString m_logFile;
    int m_clientPort = 0;
    int m_readinessPort = 0;
    int m_peerPort = 0;
    QProcess m_process;
};

/// A small deployment: some processes of the system on loopback addresses, and a client that calls them.
class SmallFleet
{
public:
    SmallFleet(int processes, int workers, const QString &program, const std::string &recordFile);

    test::WireStandIn &platform() { return m_platform; }
    std::vector<std::unique_ptr<RoleProcess>> &processes() { return m_processes; }
    /// Starts all processes with these ports of the platform, and waits until each answers clients. Returns false if one does not.
    bool start(const PlatformPorts &ports);
    /// Sends a request to a process and waits for the answer.
    CallResult call(std::size_t process, const std::string &method, const std::string &path, const std::string &body = {});
    /// Returns the state that a process reports for a job, or the status code if that is not 200.
    std::string stateOf(std::size_t process, const std::string &job);
    /// Runs the event loop for this long.
    static void wait(Millis time);
    /// Runs the event loop until this time.
    static void waitUntil(TimePoint time);
    /// Appends a line to the record of what was sent, answered and run.
    void note(const std::string &line);
    /// Returns the time since this object was created.
    Millis elapsed() const;

private:
    const TimePoint m_createdAt;
    QTemporaryDir m_folder;
    QObject m_context;
    std::ofstream m_record;
    test::WireStandIn m_platform;
    std::vector<std::unique_ptr<RoleProcess>> m_processes;
    PooledHttpClient m_client;
};

/// How a case ended.
enum class CaseResult {
    RuleHeld = 0,
    RuleBroken = 1,
    NotRun = 2,
};

/// Case 13: the address of the advisor changes in the settings files, and each process gets SIGHUP.
CaseResult playChangedSettings(SmallFleet &fleet, bool hasTrouble);

/// Case 12: the open channels to the workers go silent, while new ones work.
CaseResult playSilentChannels(SmallFleet &fleet, bool hasTrouble);

/// Case 11: the start of a lasting task is carried out late, by the next life of its worker, behind a cut.
CaseResult playLateLastingStart(SmallFleet &fleet, bool hasTrouble);

} // namespace marjoramhaven::review
