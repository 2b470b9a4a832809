#pragma once

#include "ZoneSimulation.h"

namespace marjoramhaven::test {

inline constexpr Millis Latency {1};
inline constexpr Millis CallTimeout {1500};
/// Milliseconds by which the clock of the first worker is ahead of virtual time, and each further worker's of the one before.
inline constexpr std::int64_t ClockOffsetPerWorker = 1'000'000;

/// Returns the name of a member: "e" and its number.
inline std::string memberName(int member)
{
    return "e" + std::to_string(member);
}

// Client through which one member accesses the log.
class ZoneSimulation::LogClient : public LogService
{
public:
    LogClient(ZoneSimulation &zone, int member)
        : m_zone(zone)
        , m_member(member)
    {
    }
    void append(const std::vector<QJsonObject> &records, AppendDone done) override;
    void read(std::int64_t from, Millis wait, ReadDone done) override;

private:
    ZoneSimulation &m_zone;
    int m_member;
};

// Client through which one member calls one worker.
class ZoneSimulation::WorkerClient : public WorkerService
{
public:
    WorkerClient(ZoneSimulation &zone, int member, int worker)
        : m_zone(zone)
        , m_member(member)
        , m_worker(worker)
    {
    }
    void open(const std::string &owner, OpenDone done) override;
    void renew(const RenewRequest &request, RenewDone done) override;
    void start(const StartRequest &request, StartDone done) override;
    void close(const AttemptId &attempt, ReportDone done) override;
    void stop(std::int64_t session, const AttemptId &attempt, ReportDone done) override;

private:
    template<typename T>
    void call(std::function<T(WorkerModel &, std::int64_t)> operation, std::function<void(std::optional<T>, TimePoint)> done, bool loseResponse = false);
    template<typename T>
    void deliver(T response, int incarnation, const std::shared_ptr<bool> &isDone, std::function<void(std::optional<T>, TimePoint)> done);
    void pollRenewal(const RenewRequest &request, TimePoint until, int incarnation, const std::shared_ptr<bool> &isDone, const RenewDone &done);
    void awaitEnd(const AttemptId &attempt, int incarnation, const std::shared_ptr<bool> &isDone, const StartDone &done);

    ZoneSimulation &m_zone;
    int m_member;
    int m_worker;
};

// The worker clients of one member. The URL of a worker is its number.
class ZoneSimulation::Directory : public WorkerDirectory
{
public:
    Directory(ZoneSimulation &zone, int member)
    {
        for (int i = 0; i < Workers; ++i) {
            m_clients.push_back(std::make_unique<WorkerClient>(zone, member, i));
        }
    }
    WorkerService &worker(const std::string &url) override { return *m_clients.at(static_cast<std::size_t>(std::stoi(url))); }

private:
    std::vector<std::unique_ptr<WorkerClient>> m_clients;
};

struct ZoneSimulation::Member {
    int incarnation = 0;
    bool isAlive = false;
    bool isPaused = false;
    bool isCutFromPeers = false;
    bool isCutFromWorkers = false;
    bool isCutFromLog = false;
    bool isReading = false;
    bool isFenced = false;
    bool isStopping = false;
    TimePoint nextHeartbeat {};
    TimePoint nextList {};
    std::vector<std::function<void()>> deferred;
    std::map<int, std::int64_t> echoes;
    std::unique_ptr<LogClient> log;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<ReplicatedState> replicatedState;
    std::unique_ptr<LogAppender> appender;
    std::unique_ptr<LogRefresher> refresher;
    std::unique_ptr<LeaderElection> leadership;
    std::unique_ptr<ZoneLeader> leader;
};

// State of a short request in the entry process that handles it.
struct ZoneSimulation::ShortRequestCall {
    JobSpec spec;
    int member = 0;
    int incarnation = 0;
    std::size_t index = 0;
    TimePoint deadline {};
    std::string nonce;
    ShortRequestDecision decision;
    bool isOpen = false;
    bool finished = false;
};

} // namespace marjoramhaven::test
