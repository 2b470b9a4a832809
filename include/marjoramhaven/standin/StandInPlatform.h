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

/// How the stand-in's log behaves.
enum class LogFault {
    None,
    /// Every call fails at once.
    Down,
    /// Every answer comes a second late.
    Slow,
    /// Appends take effect, but their answers are lost.
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

/// What workers a stand-in has.
struct StandInFleet {
    std::vector<std::string> zones;
    int workersPerZone = 4;
    int workersPerRack = 8;
    Resources capacity {16'000, 32'768, 0, 8, 64};
    std::vector<Vm> entries;
};

/// A stand-in for the platform: log, list of VMs and workers, with faults that can be switched on over HTTP or by call.
///
/// Lives on one thread. POST /v1/faults takes {"log": ..., "worker": name, "silent": bool, "fails_all": bool,
/// "lose_every_start": n, "leaving": bool, "gone": bool, "keep_records": n}; GET /v1/history tells what workers ran.
class StandInPlatform : public QObject
{
    Q_OBJECT

public:
    explicit StandInPlatform(StandInFleet fleet, QObject *parent = nullptr);
    ~StandInPlatform() override;

    /// Listens on loopback; gives the port, or 0 with a last reason.
    int listenOn(int port);
    /// Changes the log's behaviour.
    void setLogFault(LogFault fault);
    /// Marks a VM as leaving.
    void setLeaving(const std::string &vm);
    /// Takes a VM away: it leaves the list, and a worker falls silent and loses its work.
    void removeVm(const std::string &vm);
    /// A worker by name, or null.
    StandInWorker *worker(const std::string &name);
    /// Names of all workers.
    std::vector<std::string> workerNames() const;
    /// Everything that workers started and ended so far. Safe from any thread.
    std::vector<WorkerEvent> history() const;
    LogModel &log() { return m_log; }
    /// Calls of appends so far.
    std::int64_t appends() const { return m_appends; }

private:
    struct Reader {
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
    void answerReaders();
    void answer(const HttpRespond &respond, HttpResponse response);

    std::unique_ptr<HttpServer> m_server;
    LogModel m_log;
    LogFault m_fault = LogFault::None;
    std::vector<Vm> m_vms;
    std::map<std::string, StandInWorker *> m_workers;
    std::list<Reader> m_readers;
    QTimer m_timer;
    std::int64_t m_appends = 0;
    mutable std::mutex m_historyLock;
    std::vector<WorkerEvent> m_history;
};

} // namespace marjoramhaven
