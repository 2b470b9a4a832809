#pragma once

#include "FakeZone.h"

namespace marjoramhaven::test {

inline constexpr Millis Latency {1};
inline constexpr Millis CallTimeout {1500};
/// Worker clocks differ from virtual time by this much for each worker.
inline constexpr std::int64_t ClockStep = 1'000'000;

/// Name of a member, "e" and its number.
inline std::string memberName(int member)
{
    return "e" + std::to_string(member);
}

// The log as one member reaches it.
class FakeZone::Log : public LogService
{
public:
    Log(FakeZone &zone, int member)
        : m_zone(zone)
        , m_member(member)
    {
    }
    void append(const std::vector<QJsonObject> &records, AppendDone done) override;
    void read(std::int64_t from, Millis wait, ReadDone done) override;

private:
    FakeZone &m_zone;
    int m_member;
};

// One worker as one member reaches it.
class FakeZone::Port : public WorkerService
{
public:
    Port(FakeZone &zone, int member, int worker)
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
    void call(std::function<T(WorkerModel &, std::int64_t)> operation, std::function<void(std::optional<T>, TimePoint)> done, bool loseAnswer = false);
    template<typename T>
    void deliver(T answer, int incarnation, const std::shared_ptr<bool> &isDone, std::function<void(std::optional<T>, TimePoint)> done);
    void pollRenewal(const RenewRequest &request, TimePoint until, int incarnation, const std::shared_ptr<bool> &isDone, const RenewDone &done);
    void awaitEnd(const AttemptId &attempt, int incarnation, const std::shared_ptr<bool> &isDone, const StartDone &done);

    FakeZone &m_zone;
    int m_member;
    int m_worker;
};

class FakeZone::Directory : public WorkerDirectory
{
public:
    Directory(FakeZone &zone, int member)
    {
        for (int i = 0; i < Workers; ++i) {
            m_ports.push_back(std::make_unique<Port>(zone, member, i));
        }
    }
    WorkerService &worker(const std::string &url) override { return *m_ports.at(static_cast<std::size_t>(std::stoi(url))); }

private:
    std::vector<std::unique_ptr<Port>> m_ports;
};

struct FakeZone::Member {
    int incarnation = 0;
    bool alive = false;
    bool paused = false;
    bool peersCut = false;
    bool workersCut = false;
    bool logCut = false;
    bool reading = false;
    bool fenced = false;
    bool retired = false;
    TimePoint nextBeat {};
    TimePoint nextList {};
    std::vector<std::function<void()>> deferred;
    std::map<int, std::int64_t> echoes;
    std::unique_ptr<Log> log;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<LogFold> fold;
    std::unique_ptr<LogAppender> appender;
    std::unique_ptr<LogRefresher> refresher;
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<ZoneLeader> leader;
};

// A short request as an entry process carries it.
struct FakeZone::ShortCall {
    JobSpec spec;
    int member = 0;
    int incarnation = 0;
    std::size_t index = 0;
    TimePoint deadline {};
    std::string nonce;
    ShortDecision open;
    bool isOpen = false;
    bool finished = false;
};

} // namespace marjoramhaven::test
