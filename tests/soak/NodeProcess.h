#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <memory>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven::test {

/// A real process of the fleet scheduler, which a test starts, signals and restarts.
class NodeProcess
{
public:
    /// Runs the program `marjoramhaven` in the folder, and keeps the settings and the log of the process there too.
    NodeProcess(const QString &folder, std::string name);
    ~NodeProcess();

    const std::string &name() const { return m_name; }
    int callerPort() const { return m_callerPort; }
    bool isRunning() const { return m_process && m_process->state() == QProcess::Running; }

    /// Returns the port on which other processes reach this one.
    int peerPort() const { return m_peerPort; }

    /// Writes the settings; called before the first start.
    void writeSettings(int storePort, int advisorPort) const;
    void start();
    /// Returns whether the process was sent SIGKILL or SIGTERM since its last start.
    bool isEnding() const { return m_isEndExpected; }
    /// Sends a signal. After SIGKILL or SIGTERM, the end of the process is expected.
    void signal(int number);
    /// Returns whether the process was killed, paused or resumed since a time, or was down or paused then. A killed process counts as down until its next
    /// start.
    bool wasInterrupted(TimePoint since) const { return m_interruptedAt >= since || m_isPaused || m_isKilled; }
    /// Returns whether the process ended without having been sent SIGKILL or SIGTERM.
    bool hasEndedUnexpectedly() const;
    /// Waits up to 8 s for the process to end, so that it can be started again.
    void reap();
    QString logFile() const { return m_logFile; }

private:
    const std::string m_name;
    QString m_program;
    QString m_settingsFile;
    QString m_logFile;
    int m_callerPort = 0;
    int m_readinessPort = 0;
    int m_peerPort = 0;
    bool m_isEndExpected = false;
    bool m_isPaused = false;
    bool m_isKilled = false;
    /// When the process last got SIGKILL, SIGSTOP or SIGCONT, or was started after SIGKILL.
    TimePoint m_interruptedAt {};
    std::unique_ptr<QProcess> m_process;
};

} // namespace marjoramhaven::test
