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

/// Tasks of one job that wait in the queue for free capacity.
struct QueuedTasks {
    std::string jobId;
    std::string team;
    std::string urgency;
    Resources resources;
    /// True when all tasks must be placed together.
    bool isGang = false;
    /// True when the tasks are to be spread over workers and racks.
    bool spread = false;
    TimePoint queuedAt {};
    /// Indices of the waiting tasks.
    std::deque<int> indices;
};

/// The placement of a task on a worker.
struct TaskPlacement {
    std::string jobId;
    int index = 0;
    std::string worker;
    AttemptId attempt;
    Resources reservation;
    ReservationOwner owner;
};

/// Why a task could not be placed.
enum class PlacementFailure {
    /// The task is larger than every worker of the zone.
    LargerThanAnyWorker,
    /// The capacity is in use, or guaranteed to other urgency classes.
    NoFreeCapacity,
    /// The task would exceed the team's quota.
    QuotaReached,
    /// No worker can be given work: none is reachable and in service.
    NoReachableWorker,
};

template<>
struct EnumTable<PlacementFailure> {
    static constexpr EnumName<PlacementFailure> Rows[] = {
        {PlacementFailure::LargerThanAnyWorker, "larger than any worker of the zone"},
        {PlacementFailure::NoFreeCapacity, "no room"},
        {PlacementFailure::QuotaReached, "the team's quota is reached"},
        {PlacementFailure::NoReachableWorker, "no worker can be reached"},
    };
};

/// Decides for one zone which waiting task starts next and on which worker.
///
/// Keeps the queue and the reservations of all workers. Not thread-safe: the owner has to serialize the calls.
class ZoneScheduler
{
public:
    explicit ZoneScheduler(std::shared_ptr<const Configuration> configuration);

    /// Replaces the configuration with its classes, teams and packing mode. Existing reservations stay.
    void setConfiguration(std::shared_ptr<const Configuration> configuration);

    /// Adds a worker, or updates its data. The session becomes part of the numbers of attempts placed on it.
    void setWorker(const std::string &name, const std::string &rack, const Resources &capacity, std::int64_t session);
    /// Sets whether a worker may be given new work. Its reservations stay.
    void setUsable(const std::string &name, bool usable);
    /// Removes a worker and all its reservations.
    void removeWorker(const std::string &name);
    /// Adds the reservation of an attempt that a worker reports as running, unless it is known already.
    void adopt(const std::string &worker, const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner);
    /// Removes a reservation. Returns false when there was none.
    bool release(const std::string &worker, const AttemptId &attempt);

    /// Appends tasks to the queue of their class and team.
    void enqueue(QueuedTasks job);
    /// Removes a job's waiting tasks from the queue and returns their indices.
    std::vector<int> removeQueued(const std::string &jobId);
    /// Places as many queued tasks as fit and reserves their resources. Stops at `limit` placements; a gang may exceed it.
    std::vector<TaskPlacement> placeQueued(TimePoint now, std::size_t limit);
    /// Places a short request past the queue and reserves its resources; returns std::nullopt and sets the cause when that fails.
    std::optional<TaskPlacement> placeShortRequest(const JobSpec &spec, PlacementFailure &cause);

    /// Returns true when the resources fit on some worker if it were empty.
    bool couldEverFit(const Resources &resources) const;
    /// Returns the number of queued tasks of a class.
    int waiting(const std::string &urgency) const;
    /// Returns the number of queued tasks of all classes.
    int waiting() const;
    const std::map<std::string, WorkerReservations> &workerReservations() const { return m_reservations; }
    /// Returns the total capacity of the workers that may be given new work.
    const Resources &totalCapacity() const { return m_totalCapacity; }
    /// Returns the sum of the reservations of one class.
    Resources usageOfClass(const std::string &urgency) const;
    /// Returns the sum of the reservations of one team.
    Resources usageOfTeam(const std::string &team) const;

private:
    struct WorkerState {
        std::string rack;
        std::int64_t session = 0;
        bool usable = true;
    };
    using TeamQueues = std::map<std::string, std::deque<QueuedTasks>>;

    std::vector<Candidate> candidatesFor(const std::string &jobId, bool countSameJob) const;
    bool respectsFloors(const std::string &urgency, const Resources &amount) const;
    bool isWithinQuota(const std::string &team, const Resources &amount) const;
    std::optional<TaskPlacement> placeOne(const QueuedTasks &job, int index, PlacementFailure &cause);
    std::vector<TaskPlacement> placeGang(QueuedTasks &job);
    std::vector<TaskPlacement> placeNext(QueuedTasks &job);
    std::vector<std::string> classOrder(TimePoint now) const;
    std::vector<std::string> teamOrder(const TeamQueues &queues, TimePoint now, const UrgencyClass &policy) const;
    bool placeFromClass(const std::string &urgency, TimePoint now, std::vector<TaskPlacement> &out, std::size_t limit, bool &isBlocked);
    void addReservation(const TaskPlacement &placed);
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

/// Task index of a short request, which has a single task.
inline constexpr int ShortRequestIndex = -1;

/// Returns the id of a task: the job's id and the index, or just the request's id for a short request.
std::string taskId(const std::string &jobId, int index);

} // namespace marjoramhaven
