#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"
#include "marjoramhaven/standin/FleetWorkerModel.h"

namespace marjoramhaven::test {

/// Parameters of a FakeFleet.
struct FakeFleetOptions {
    int workers = 6;
    /// Workers after these that are not listed until addWorkers().
    int spareWorkers = 0;
    FleetResources capacity {8000, 16000, 0};
    int advisorProxies = 3;
    /// One-way network latency between the planner and a worker.
    Millis delay {5};
    /// Time until an append to the log is stored.
    Millis appendDelay {8};
    /// Processing time of an advisor request, without the time for each worker that it names.
    Millis adviceDelay {0};
    std::uint64_t seed = 1;
    /// Rate of the workers' clocks.
    double workerClockRate = 1;
    /// Number of tasks in one part of the stored progress; small, so that most jobs have several parts.
    int tasksPerPart = 3;
    /// True if a delayed request is carried out even when its worker has restarted meanwhile; otherwise it is lost then.
    bool delayedRequestsOutliveWorkers = false;
};

/// Simulation of a whole fleet in virtual time: the real planner with models of workers, advisor and log.
///
/// Driven by one event queue and one random seed, so that each simulation can be repeated exactly. Collects all violations of the scheduler's guarantees that
/// are visible on the workers.
class FakeFleet
{
public:
    explicit FakeFleet(FakeFleetOptions options);
    ~FakeFleet();

    TimePoint now() const { return m_now; }
    /// Advances the simulation by this time.
    void run(Millis time);
    /// Advances the simulation until the condition holds, or by this time at most. Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition, Millis within);

    /// The queue of all jobs that makeJob() makes from now on.
    QueuePolicy queue;
    /// Changes the behaviour of a task; by default a task runs for its step's estimated duration and completes.
    std::function<void(const FleetTaskId &, TaskBehaviour &)> configureTask;
    /// Returns true if the advisor allows a step to run on a worker; by default it allows all.
    std::function<bool(const std::string &step, const std::string &worker)> advisorAllows;

    FleetJobRequest makeJob(const std::string &id, std::vector<StepSpec> steps) const;
    void submit(const FleetJobRequest &request);
    void cancel(const std::string &job);
    std::optional<FleetJobState> stateOf(const std::string &job) const;

    // Faults.
    /// Ends the planner's process; another planner takes over after the pause.
    void killPlanner(Millis pause);
    /// Freezes the planner's process; another planner takes over after the pause. The old one resumes after `frozenFor` with its old fencing token.
    void freezePlanner(Millis pause, Millis frozenFor);
    /// Cuts the planner's process and these workers off from the log and from all else. Another planner takes over after the pause, if there is one, and
    /// reaches only the other workers.
    void cutOffPlanner(const std::set<int> &workers, std::optional<Millis> pause);
    /// Ends the cut that cutOffPlanner() began.
    void healCut();
    void setLogUp(bool isUp);
    void setUnresponsive(int worker, bool isSilent);
    void restartWorker(int worker);
    void drainWorker(int worker, Millis remaining);
    void unlistWorker(int worker);
    /// Lists this many of the spare workers.
    void addWorkers(int count);
    /// Lets this share of the requests to workers time out and be carried out later.
    void setDelayedRequestShare(double share);
    /// The same for polls, which all other requests leave alone.
    void setDelayedPollShare(double share);
    /// Lets this share of the workers' responses get lost after the request was carried out.
    void setLostResponseShare(double share);
    /// Lets a worker refuse this share of its requests as unhealthy. Half of the refusals answer a second sending: the channel of the first one broke, after
    /// the worker had carried it out or before.
    void setRefusedRequestShare(int worker, double share)
    {
        m_hasFaults = m_hasFaults || share > 0;
        m_refusedRequestShares[static_cast<std::size_t>(worker)] = share;
    }

    /// Returns the violations of the scheduler's guarantees so far, one line each.
    const std::vector<std::string> &violations() const { return m_violations; }
    /// Returns the starts of tasks after the end of a run that was done and acknowledged, then or later, before the worker's lease expired; one line each.
    /// Unlike violations(), a restart of the worker after the acknowledgement excuses none.
    const std::vector<std::string> &startsAfterAcknowledgedEnds() const { return m_startsAfterAcknowledgedEnds; }
    /// Returns the number of runs that started, of one task or of all.
    int startsOf(const std::string &task) const;
    int startCount() const { return static_cast<int>(m_starts.size()); }
    /// Returns when the first run of a task started.
    std::optional<TimePoint> firstStart(const std::string &task) const;
    int endsOf(const std::string &task, RunEnd end) const;
    int adviceCalls() const { return m_adviceCalls; }
    /// Returns how many workers the calls to the advisor have named, the same one as often as it was named.
    int advisedWorkers() const { return m_advisedWorkers; }
    /// Returns the number of start requests that were sent with an expired ticket.
    int expiredTickets() const { return m_expiredTickets; }
    FleetWorkerModel &worker(int number) { return *m_workers[static_cast<std::size_t>(number)]; }
    /// Returns the names of the tasks that are at work on workers.
    std::vector<std::string> tasksAtWork() const;
    /// Returns the number of the worker on which the task's newest run started, or -1.
    int workerOf(const std::string &task) const;
    /// Returns the number of the worker that received the newest start request for a task, or -1; lets configureTask depend on the worker.
    int startingWorker(const FleetTaskId &task) const;

private:
    // One planner's process with its fencing token and its connection to the simulated network.
    struct PlannerProcess;

    struct Event {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    void after(Millis delay, std::function<void()> run);
    void openPlanner();
    void tick();
    void tickPlanner(const std::shared_ptr<PlannerProcess> &process);
    // Lets the log confirm that a process is the leader, as an answered heartbeat does.
    void confirmLeadership(const std::shared_ptr<PlannerProcess> &process);
    bool canReach(const PlannerProcess &process, std::size_t worker) const;
    bool hasLog(const PlannerProcess &process) const;
    void storeBatch(const std::shared_ptr<PlannerProcess> &process);
    void recordRunEvent(const RunEvent &event);
    void checkCapacity();
    // Checks that a run that starts does not exceed the number of its step's tasks that one worker may run.
    void checkSpread(const RunEvent &start);
    // Checks that a successor would find in the log what the planner knows, while the planner says that all of it is stored.
    void checkStoredProgress(const FleetPlanner &planner);
    void checkGangs();
    bool chance(double share);
    bool areEndsLost(const std::string &worker, TimePoint since) const;
    // Records a run that has ended. Ends are numbered in each incarnation of a worker.
    void recordEnd(const RunEvent &event);
    // Records that a task which may not run twice has started.
    void recordStartAfterEnds(const FleetTaskId &task);
    // Carries out a poll at a worker and records which ends it acknowledges.
    PollWorkerResponse pollWorker(std::size_t worker, const PollWorkerRequest &request);

    const FakeFleetOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now = atMillis(100'000);
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    EventLog m_eventLog;
    std::vector<std::unique_ptr<FleetWorkerModel>> m_workers;
    std::vector<bool> m_isUnresponsive;
    std::vector<bool> m_isListed;
    std::vector<double> m_refusedRequestShares;
    std::map<std::string, FleetJobRequest> m_requests;
    std::vector<std::string> m_cancelled;
    std::map<std::string, JobRecord> m_records;
    std::int64_t m_fencingToken = 0;
    std::int64_t m_writerFence = 0;
    std::shared_ptr<PlannerProcess> m_planner;
    /// The process and the workers behind the cut, if there is one.
    std::shared_ptr<PlannerProcess> m_cutOffPlanner;
    std::set<std::size_t> m_cutOffWorkers;
    bool m_isLogUp = true;
    bool m_hasFaults = false;
    double m_delayedRequestShare = 0;
    double m_delayedPollShare = 0;
    double m_lostResponseShare = 0;
    int m_adviceCalls = 0;
    int m_advisedWorkers = 0;
    int m_expiredTickets = 0;
    std::map<FleetTaskId, int> m_startingOn;
    std::vector<RunEvent> m_starts;
    std::vector<RunEvent> m_ends;
    std::map<FleetTaskId, std::set<std::pair<std::string, std::int64_t>>> m_runningNow;
    /// Worker and time of the first completed run of each task.
    std::map<FleetTaskId, std::pair<std::string, TimePoint>> m_done;
    std::vector<std::string> m_violations;
    // A run that has ended as done.
    struct DoneRun {
        std::size_t worker = 0;
        TimePoint at {};
        std::int64_t startedUnixMs = 0;
        std::int64_t number = 0;
        bool isAcknowledged = false;
        bool hasStartedSince = false;
    };
    std::map<FleetTaskId, std::vector<DoneRun>> m_doneRuns;
    /// Time of start of each worker's incarnation, in milliseconds since the Unix epoch, and the number of its last end.
    std::map<std::size_t, std::pair<std::int64_t, std::int64_t>> m_lastEnds;
    std::vector<std::string> m_startsAfterAcknowledgedEnds;
};

} // namespace marjoramhaven::test
