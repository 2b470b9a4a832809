#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/history/HistoryChecker.h"
#include "marjoramhaven/ledger/LogRefresher.h"
#include "marjoramhaven/standin/LogModel.h"
#include "marjoramhaven/standin/WorkerModel.h"
#include "marjoramhaven/zone/Leadership.h"
#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven::test {

/// Steps at which a fault can strike.
enum class Step { Submit, Claim, Dispatch, Renew, Finish, Answer, Takeover, Patch, Snapshot, Stop };

template<typename T>
using Done = std::function<void(T)>;

/// One zone in virtual time: the real decision code of three entry processes against models of workers and log.
///
/// Everything is driven from one queue of events and one seed, so a run repeats exactly.
class FakeZone
{
public:
    static constexpr int Members = 3;
    static constexpr int Workers = 6;

    explicit FakeZone(std::uint64_t seed);
    ~FakeZone();

    /// Lets virtual time pass.
    void run(Millis time);
    /// Lets time pass until the condition holds; false when it does not within the time.
    bool runUntil(const std::function<bool()> &condition, Millis within);
    TimePoint now() const { return m_now; }
    /// Runs something after the event in progress.
    void soon(std::function<void()> run) { after(Millis(0), std::move(run)); }
    std::mt19937_64 &random() { return m_random; }

    // What callers and operators do.
    void submitJob(int member, const JobSpec &spec);
    void cancelJob(int member, const std::string &id);
    void sendShort(int member, const JobSpec &spec);
    void sendPatch(int member, const std::string &id, const QJsonObject &patch);

    // Faults.
    void kill(int member);
    void restart(int member);
    void pause(int member, bool paused);
    void cutPeers(int member, bool cut);
    void cutWorkers(int member, bool cut);
    void cutLog(int member, bool cut);
    void cutWorkerFromAll(int worker, bool cut);
    void loseWorker(int worker);
    void setLogDown(bool down) { m_logDown = down; }
    void setLogSlow(bool slow) { m_logSlow = slow; }
    void setLogLosesAnswers(bool loses) { m_logLosesAnswers = loses; }
    void setStartsLoseAnswers(bool loses) { m_startsLoseAnswers = loses; }
    void setFailsAll(int worker, bool fails);
    void stopGracefully(int member);
    /// Ends every fault; killed members come back.
    void heal();

    /// Called at each step, with the member that takes it.
    std::function<void(Step, int)> onStep;

    int leader() const;
    bool isAlive(int member) const;
    /// True unless the member is dead or told the balancer that it leaves.
    bool takesWork(int member) const;
    LogFold &fold(int member);
    ZoneLeader *zoneLeader(int member);
    int answered() const { return m_answered; }
    int sent() const { return static_cast<int>(m_history.calls.size()); }
    int answeredAs(ToldAnswer answer) const;
    bool jobsFinished() const;
    /// Everything that outsiders saw.
    const History &history() const { return m_history; }
    std::vector<Breach> check() const;

private:
    struct Member;
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    class Port;
    class Directory;
    class Log;

    void after(Millis delay, std::function<void()> run);
    /// Runs on a member at once, or when it wakes; never when it died meanwhile.
    void onMember(int member, int incarnation, std::function<void()> run);
    bool reaches(int member, int worker) const;
    void tickMember(int member);
    void startMember(int member);
    void sendBeats(int member);
    void listVms(int member);
    void leaveWhenIdle(int member, int incarnation);
    void step(Step step, int member);
    struct ShortCall;
    void ask(const std::shared_ptr<ShortCall> &call);
    void decided(const std::shared_ptr<ShortCall> &call, const ShortDecision &decision);
    void started(const std::shared_ptr<ShortCall> &call, const std::optional<AttemptReport> &report);
    void answer(const std::shared_ptr<ShortCall> &call, ToldAnswer word, const std::string &result);
    void watchVersions();

    TimePoint m_now = atMillis(1'000'000);
    std::uint64_t m_order = 0;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    LogModel m_log;
    bool m_logDown = false;
    bool m_logSlow = false;
    bool m_logLosesAnswers = false;
    bool m_startsLoseAnswers = false;
    std::vector<std::unique_ptr<Log>> m_oldLogs;
    std::vector<std::unique_ptr<Directory>> m_oldDirectories;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::unique_ptr<WorkerModel>> m_workers;
    std::vector<bool> m_workerGone;
    std::vector<bool> m_workerListed;
    std::set<int> m_workersCut;
    std::map<AttemptId, std::size_t> m_openRuns;
    History m_history;
    int m_answered = 0;
    int m_nonces = 0;
};

} // namespace marjoramhaven::test
