#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "marjoramhaven/config/Configuration.h"
#include "marjoramhaven/ledger/JobSpec.h"
#include "marjoramhaven/zone/PlacementStrategy.h"
#include "marjoramhaven/zone/WorkerReservations.h"

namespace marjoramhaven {

/// Tasks of one job that wait for room.
struct WaitingJob {
    std::string jobId;
    std::string team;
    std::string urgency;
    Resources resources;
    bool isGang = false;
    bool spread = false;
    TimePoint queuedAt {};
    /// Indices of the tasks that wait.
    std::deque<int> indices;
};

/// A task that was given a worker.
struct Placed {
    std::string jobId;
    int index = 0;
    std::string worker;
    AttemptId attempt;
    Resources reservation;
    ReservationOwner owner;
};

/// Why a task got no worker.
enum class NoPlace {
    /// It is larger than every worker of the zone.
    LargerThanAnyWorker,
    /// The room is taken, or kept free for other classes.
    NoFreeCapacity,
    /// The team holds all that its quota allows.
    QuotaReached,
    /// No worker can be reached.
    NoReachableWorker,
};

template<>
struct EnumTable<NoPlace> {
    static constexpr EnumName<NoPlace> Rows[] = {
        {NoPlace::LargerThanAnyWorker, "larger than any worker of the zone"},
        {NoPlace::NoFreeCapacity, "no room"},
        {NoPlace::QuotaReached, "the team's quota is reached"},
        {NoPlace::NoReachableWorker, "no worker can be reached"},
    };
};

/// Decides which waiting task starts next and on which worker, for one zone. Not thread-safe; its owner holds the lock.
class ZoneScheduler
{
public:
    explicit ZoneScheduler(std::shared_ptr<const Configuration> configuration);

    /// Puts another policy in force.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// Enters a worker that can be given work, or changes its capacity. Its session numbers the attempts started there.
    void setWorker(const std::string &name, const std::string &rack, const Resources &capacity, std::int64_t session);
    /// Stops or resumes giving new work to a worker; its reservations stay.
    void setUsable(const std::string &name, bool usable);
    /// Removes a worker with all its reservations.
    void removeWorker(const std::string &name);
    /// Enters a reservation that a worker reports.
    void adopt(const std::string &worker, const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner);
    /// Gives a reservation back. False when there was none.
    bool release(const std::string &worker, const AttemptId &attempt);

    /// Adds tasks to the queue of their class and team.
    void enqueue(WaitingJob job);
    /// Takes a job's waiting tasks out of the queue and returns their indices.
    std::vector<int> removeQueued(const std::string &jobId);
    /// Decides as many placements as fit, at most `limit`.
    std::vector<Placed> decide(TimePoint now, std::size_t limit);
    /// Places one short request now; nothing, with the cause, when it has no place.
    std::optional<Placed> placeNow(const JobSpec &spec, NoPlace &cause);

    /// True when the resources fit on some worker that is empty.
    bool couldEverFit(const Resources &resources) const;
    /// Tasks waiting in a class.
    int waiting(const std::string &urgency) const;
    /// Tasks waiting in all classes.
    int waiting() const;
    const std::map<std::string, WorkerReservations> &workerReservations() const { return m_reservations; }
    /// Capacity of all usable workers.
    const Resources &totalCapacity() const { return m_totalCapacity; }
    /// Reservations of one class.
    Resources usageOfClass(const std::string &urgency) const;
    /// Reservations of one team.
    Resources usageOfTeam(const std::string &team) const;

private:
    struct WorkerState {
        std::string rack;
        std::int64_t session = 0;
        bool usable = true;
    };
    using TeamQueues = std::map<std::string, std::deque<WaitingJob>>;

    std::vector<Candidate> candidatesFor(const std::string &jobId, bool countSameJob) const;
    bool respectsFloors(const std::string &urgency, const Resources &amount) const;
    bool isWithinQuota(const std::string &team, const Resources &amount) const;
    std::optional<Placed> placeOne(const WaitingJob &job, int index, NoPlace &cause);
    std::vector<Placed> placeGang(WaitingJob &job);
    std::vector<Placed> placeNext(WaitingJob &job);
    std::vector<std::string> classOrder(TimePoint now) const;
    std::vector<std::string> teamOrder(const TeamQueues &queues, TimePoint now, const UrgencyClass &policy) const;
    bool placeFromClass(const std::string &urgency, TimePoint now, std::vector<Placed> &out, std::size_t limit, bool &isBlocked);
    void reserve(const Placed &placed);
    void addUsage(const ReservationOwner &owner, const Resources &amount, int sign);
    void recomputeTotals();
    AttemptId nextAttempt(const std::string &task, std::int64_t session);

    std::shared_ptr<const Configuration> m_configuration;
    std::unique_ptr<PlacementStrategy> m_strategy;
    std::unique_ptr<PlacementStrategy> m_spreadStrategy;
    std::map<std::string, WorkerReservations> m_reservations;
    std::map<std::string, WorkerState> m_workers;
    std::map<std::string, TeamQueues> m_queues;
    std::unordered_map<std::string, Resources> m_classUsage;
    std::unordered_map<std::string, Resources> m_teamUsage;
    std::unordered_map<std::string, std::map<std::string, int>> m_jobWorkers;
    Resources m_totalCapacity;
    Resources m_freeCapacity;
    std::int64_t m_attempts = 0;
};

/// Index of the one task of a short request.
inline constexpr int ShortRequestIndex = -1;

/// The id of one task of a job; that of a short request is the request's own id.
std::string taskId(const std::string &jobId, int index);

} // namespace marjoramhaven
