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
#include "marjoramhaven/zone/LeaderElection.h"
#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven::test {

/// Steps of the protocol at which a test can inject a fault.
enum class Step { Submit, Claim, Dispatch, Renew, Finish, Answer, Takeover, Patch, Snapshot, Stop };

template<typename T>
using Done = std::function<void(T)>;

/// Simulates one zone in virtual time: the real decision code of three entry processes (the members) runs against models
/// of the workers and the log.
///
/// One event queue and one seed drive the whole simulation, so a run can be repeated exactly.
class ZoneSimulation
{
public:
    static constexpr int Members = 3;
    static constexpr int Workers = 6;

    explicit ZoneSimulation(std::uint64_t seed);
    ~ZoneSimulation();

    /// Advances virtual time and runs the events that become due.
    void run(Millis time);
    /// Advances virtual time until the condition holds. Returns false when it does not hold within the given time.
    bool runUntil(const std::function<bool()> &condition, Millis within);
    TimePoint now() const { return m_now; }
    /// Runs a function after the current event.
    void post(std::function<void()> run) { postDelayed(Millis(0), std::move(run)); }
    std::mt19937_64 &random() { return m_random; }

    // Actions of callers and operators.
    void submitJob(int member, const JobSpec &spec);
    void cancelJob(int member, const std::string &id);
    void sendShortRequest(int member, const JobSpec &spec);
    void sendPatch(int member, const std::string &id, const QJsonObject &patch);

    // Faults.
    void kill(int member);
    void restart(int member);
    void pause(int member, bool paused);
    void setCutFromPeers(int member, bool cut);
    void setCutFromWorkers(int member, bool cut);
    void setCutFromLog(int member, bool cut);
    void setWorkerCutFromAll(int worker, bool cut);
    void loseWorker(int worker);
    void setLogDown(bool down) { m_logDown = down; }
    void setLogSlow(bool slow) { m_logSlow = slow; }
    void setLogResponsesLost(bool areLost) { m_areLogResponsesLost = areLost; }
    void setStartResponsesLost(bool areLost) { m_areStartResponsesLost = areLost; }
    void setFailsAll(int worker, bool fails);
    void stopGracefully(int member);
    /// Ends all faults and restarts dead members. Lost workers stay lost.
    void heal();

    /// Called when a member reaches a step; the member is negative when the zone has no leader.
    std::function<void(Step, int)> onStep;

    /// Returns the running member that leads and has recovered; -1 when there is none.
    int leader() const;
    bool isAlive(int member) const;
    /// Returns true unless the member is dead or has told the load balancer that it is stopping.
    bool acceptsCalls(int member) const;
    ReplicatedState &replicatedState(int member);
    ZoneLeader *zoneLeader(int member);
    int answered() const { return m_answered; }
    int sent() const { return static_cast<int>(m_history.calls.size()); }
    int answeredAs(ObservedAnswer answer) const;
    bool jobsFinished() const;
    /// Returns everything that can be observed from outside the simulated processes.
    const History &history() const { return m_history; }
    std::vector<Violation> check() const;

private:
    struct Member;
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    class WorkerClient;
    class Directory;
    class LogClient;

    void postDelayed(Millis delay, std::function<void()> run);
    /// Runs a function on a member: now, or at the end of its pause. Does nothing when that incarnation has died.
    void onMember(int member, int incarnation, std::function<void()> run);
    bool canReach(int member, int worker) const;
    void tickMember(int member);
    void startMember(int member);
    void sendHeartbeats(int member);
    void listVms(int member);
    void exitWhenIdle(int member, int incarnation);
    void reportStep(Step step, int member);
    struct ShortRequestCall;
    void askLeader(const std::shared_ptr<ShortRequestCall> &call);
    void handleDecision(const std::shared_ptr<ShortRequestCall> &call, const ShortRequestDecision &decision);
    void handleStarted(const std::shared_ptr<ShortRequestCall> &call, const std::optional<AttemptReport> &report);
    void finishCall(const std::shared_ptr<ShortRequestCall> &call, ObservedAnswer answer, const std::string &result);
    void recordVersions();

    TimePoint m_now = atMillis(1'000'000);
    std::uint64_t m_order = 0;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    LogModel m_log;
    bool m_logDown = false;
    bool m_logSlow = false;
    bool m_areLogResponsesLost = false;
    bool m_areStartResponsesLost = false;
    std::vector<std::unique_ptr<LogClient>> m_formerLogClients;
    std::vector<std::unique_ptr<Directory>> m_formerDirectories;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<std::unique_ptr<WorkerModel>> m_workers;
    std::vector<bool> m_isWorkerLost;
    std::vector<bool> m_isWorkerListed;
    std::set<int> m_unreachableWorkers;
    std::map<AttemptId, std::size_t> m_openRuns;
    History m_history;
    int m_answered = 0;
    int m_nonces = 0;
};

} // namespace marjoramhaven::test
