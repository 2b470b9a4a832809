#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <memory>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven::test {

/// One real process of the fleet scheduler, started, signalled and started again from outside.
class NodeProcess
{
public:
    /// Runs the program in the folder, which holds the process's settings and logs too.
    NodeProcess(const QString &folder, std::string name, int storePort, int advisorPort);
    ~NodeProcess();

    const std::string &name() const { return m_name; }
    int callerPort() const { return m_callerPort; }
    bool isRunning() const { return m_process && m_process->state() == QProcess::Running; }

    void start();
    /// True from the signal that ends the process until it runs again.
    bool isEnding() const { return m_isEndExpected; }
    /// Sends a signal; a killed or terminated process is expected to end.
    void signal(int number);
    /// True when the process ended without being told to.
    bool hasEndedByItself() const;
    /// Waits for the end, so that the process can be started again.
    void reap();
    QString logFile() const { return m_logFile; }

private:
    void writeSettings(const QString &path, int storePort, int advisorPort) const;

    const std::string m_name;
    QString m_program;
    QString m_settingsFile;
    QString m_logFile;
    int m_callerPort = 0;
    int m_readinessPort = 0;
    int m_peerPort = 0;
    bool m_isEndExpected = false;
    std::unique_ptr<QProcess> m_process;
};

} // namespace marjoramhaven::test
