#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"
#include "marjoramhaven/standin/FleetWorkerModel.h"

namespace marjoramhaven::test {

/// What a run of the fleet is made of.
struct FleetSetting {
    int workers = 6;
    TaskNeeds capacity {8000, 16000, 0};
    int helpers = 3;
    /// One way between the planner and a worker.
    Millis delay {5};
    /// Until an append is stored.
    Millis storeDelay {8};
    /// What the advisor takes for a call, besides what it takes for each worker.
    Millis adviceDelay {0};
    std::uint64_t seed = 1;
};

/// A whole fleet in virtual time: the real planner against models of workers, advisor and log.
///
/// Driven from one queue of events and one seed, so a run repeats exactly. Collects every promise that the workers saw broken.
class FakeFleet
{
public:
    explicit FakeFleet(FleetSetting setting);
    ~FakeFleet();

    TimePoint now() const { return m_now; }
    void run(Millis time);
    bool runUntil(const std::function<bool()> &condition, Millis within);

    /// A queue with these properties; every submitted job belongs to it.
    QueuePolicy queue;
    /// How each task behaves; by default it runs for its step's estimate and ends well.
    std::function<void(const FleetTaskId &, TaskBehaviour &)> behave;

    FleetJobRequest jobWith(const std::string &id, std::vector<StepSpec> steps) const;
    void submit(const FleetJobRequest &request);
    void cancel(const std::string &job);
    std::optional<FleetJobState> stateOf(const std::string &job) const;

    // Faults.
    /// The planner's process dies; a successor opens after the pause.
    void killPlanner(Millis pause);
    /// The planner stands still; a successor opens after the pause; the old one wakes later with its old token.
    void freezePlanner(Millis pause, Millis frozenFor);
    void setStoreUp(bool isUp);
    void setSilent(int worker, bool isSilent);
    void restartWorker(int worker);
    void drainWorker(int worker, Millis remaining);
    void unlistWorker(int worker);
    /// A share of the orders gets no answer and is carried out later.
    void setLateOrders(double share);
    /// Answers, but not orders, get lost.
    void setLostAnswers(double share);

    /// Promises that were broken, each in one line; empty when all is well.
    const std::vector<std::string> &broken() const { return m_broken; }
    /// Runs that began, of one task or of all.
    int beginsOf(const std::string &task) const;
    int begins() const { return static_cast<int>(m_begins.size()); }
    /// When a task's run began first.
    std::optional<TimePoint> firstBegin(const std::string &task) const;
    int endsOf(const std::string &task, RunEnd end) const;
    int adviceCalls() const { return m_adviceCalls; }
    /// Starts that were sent with a ticket that no longer held.
    int expiredTickets() const { return m_expiredTickets; }
    FleetWorkerModel &worker(int number) { return *m_workers[static_cast<std::size_t>(number)]; }
    int workerOf(const std::string &task) const;
    /// The worker that is asked to start a task right now; for the behaviour of tasks that depends on where they run.
    int planned(const FleetTaskId &task) const;

private:
    // One planner with its token, and its port to the fake network.
    struct Host;

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void after(Millis delay, std::function<void()> run);
    void openPlanner();
    void tick();
    void store(const std::shared_ptr<Host> &host);
    void noteRun(const RunEvent &event);
    void checkRoom();
    void checkGangs();
    bool chance(double share);
    bool isForgotten(const std::string &worker, TimePoint since) const;

    const FleetSetting m_setting;
    std::mt19937_64 m_random;
    TimePoint m_now = atMillis(100'000);
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    EventLog m_eventLog;
    std::vector<std::unique_ptr<FleetWorkerModel>> m_workers;
    std::vector<bool> m_isSilent;
    std::vector<bool> m_isListed;
    std::map<std::string, FleetJobRequest> m_requests;
    std::vector<std::string> m_cancelled;
    std::map<std::string, JobRecord> m_records;
    std::int64_t m_fencingToken = 0;
    std::int64_t m_writerFence = 0;
    std::shared_ptr<Host> m_planner;
    bool m_isStoreUp = true;
    bool m_isDisturbed = false;
    double m_lateOrders = 0;
    double m_lostAnswers = 0;
    int m_adviceCalls = 0;
    int m_expiredTickets = 0;
    std::map<FleetTaskId, int> m_startingOn;
    std::vector<RunEvent> m_begins;
    std::vector<RunEvent> m_ends;
    std::map<FleetTaskId, std::set<std::pair<std::string, std::int64_t>>> m_runningNow;
    /// The worker and the time of each task's first good end.
    std::map<FleetTaskId, std::pair<std::string, TimePoint>> m_done;
    std::vector<std::string> m_broken;
};

} // namespace marjoramhaven::test
