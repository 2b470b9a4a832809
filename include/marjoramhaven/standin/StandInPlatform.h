#pragma once

#include <QObject>
#include <QTimer>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/platform/VmList.h"
#include "marjoramhaven/standin/LogModel.h"
#include "marjoramhaven/standin/StandInWorker.h"

namespace marjoramhaven {

/// Faults of the stand-in platform's log.
enum class LogFault {
    None,
    /// Every call fails at once with status 503.
    Down,
    /// Every response is delayed by one second.
    Slow,
    /// Appends take effect, but they get no response.
    AnswersLost,
};

template<>
struct EnumTable<LogFault> {
    static constexpr EnumName<LogFault> Rows[] = {
        {LogFault::None, "none"},
        {LogFault::Down, "down"},
        {LogFault::Slow, "slow"},
        {LogFault::AnswersLost, "answers-lost"},
    };
};

/// The zones, workers and entry VMs of a stand-in platform.
struct StandInFleet {
    std::vector<std::string> zones;
    int workersPerZone = 4;
    int workersPerRack = 8;
    Resources capacity {16'000, 32'768, 0, 8, 64};
    std::vector<Vm> entries;
};

/// A stand-in for the platform, for tests and demos: serves the log, the list of VMs and the workers over HTTP, and injects faults on request.
///
/// Belongs to one thread. POST /v1/faults takes {"log": ..., "worker": name, "silent": bool, "fails_all": bool, "lose_every_start": n,
/// "leaving": bool, "gone": bool, "vm": name, "keep_records": n}. GET /v1/history returns the starts and ends of runs on the workers.
class StandInPlatform : public QObject
{
    Q_OBJECT

public:
    explicit StandInPlatform(StandInFleet fleet, QObject *parent = nullptr);
    ~StandInPlatform() override;

    /// Listens on a loopback port, or on any free port if 0 is given. Returns the port, or 0 and sets lastReason() on failure.
    int listenOn(int port);
    /// Sets the fault of the log. Down also fails the reads that wait for new records.
    void setLogFault(LogFault fault);
    /// Marks a VM in the list as leaving, which announces its removal.
    void setLeaving(const std::string &vm);
    /// Removes a VM from the list. A worker stops responding and loses its runs.
    void removeVm(const std::string &vm);
    /// Returns the worker of this name, or nullptr.
    StandInWorker *worker(const std::string &name);
    /// Returns the names of all workers.
    std::vector<std::string> workerNames() const;
    /// Returns the starts and ends of all runs on the workers so far, on the clock of this process. Thread-safe.
    std::vector<WorkerEvent> history() const;
    LogModel &log() { return m_log; }
    /// Returns the number of append calls so far.
    std::int64_t appends() const { return m_appendCount; }

private:
    struct PendingRead {
        std::int64_t from = 0;
        std::int64_t until = 0;
        HttpRespond respond;
    };

    void handle(const HttpRequest &request, const HttpRespond &respond);
    void handleAppend(const HttpRequest &request, const HttpRespond &respond);
    void handleRead(const HttpRequest &request, const HttpRespond &respond);
    void handleVms(const HttpRequest &request, const HttpRespond &respond);
    void handleFaults(const HttpRequest &request, const HttpRespond &respond);
    void handleHistory(const HttpRespond &respond);
    void answerDueReads();
    void sendLogResponse(const HttpRespond &respond, HttpResponse response);

    std::unique_ptr<HttpServer> m_server;
    LogModel m_log;
    LogFault m_fault = LogFault::None;
    std::vector<Vm> m_vms;
    std::map<std::string, StandInWorker *> m_workers;
    std::list<PendingRead> m_pendingReads;
    QTimer m_timer;
    std::int64_t m_appendCount = 0;
    mutable std::mutex m_historyLock;
    std::vector<WorkerEvent> m_history;
};

} // namespace marjoramhaven
