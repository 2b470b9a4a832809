#include "marjoramhaven/zone/ZoneScheduler.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
// An attempt's number is made of the session and a counter below this limit, so the numbers of different sessions differ.
constexpr std::int64_t AttemptsPerSession = 1'000'000;

// Returns true when tasks have waited for as long as their urgency class allows.
bool isOverdue(const QueuedTasks &job, TimePoint now, const UrgencyClass &policy)
{
    return now - job.queuedAt >= policy.longestWait;
}
} // namespace

AttemptId ZoneScheduler::nextAttempt(const std::string &task, std::int64_t session)
{
    ++m_attempts;
    return {task, session * AttemptsPerSession + m_attempts % AttemptsPerSession};
}

void ZoneScheduler::addReservation(const TaskPlacement &placed)
{
    const bool fits = m_reservations[placed.worker].reserve(placed.attempt, placed.reservation, placed.owner);
    Q_ASSERT(fits);
    Q_UNUSED(fits);
    addUsage(placed.owner, placed.reservation, 1);
    ++m_jobWorkers[placed.owner.jobId][placed.worker];
    m_freeCapacity -= placed.reservation;
}

std::optional<TaskPlacement> ZoneScheduler::placeOne(const QueuedTasks &job, int index, PlacementFailure &cause)
{
    if (!isWithinQuota(job.team, job.resources)) {
        cause = PlacementFailure::QuotaReached;
        return std::nullopt;
    }
    if (!respectsFloors(job.urgency, job.resources)) {
        cause = PlacementFailure::NoFreeCapacity;
        return std::nullopt;
    }
    const auto candidates = candidatesFor(job.jobId, job.spread);
    const auto &placement = job.spread ? *m_spreadStrategy : *m_strategy;
    const auto chosen = placement.choose(candidates, job.resources);
    if (!chosen) {
        cause = candidates.empty() ? PlacementFailure::NoReachableWorker : PlacementFailure::NoFreeCapacity;
        return std::nullopt;
    }
    const auto &worker = candidates[*chosen].name;
    const auto session = m_workers.at(worker).session;
    TaskPlacement out {job.jobId, index, worker, nextAttempt(taskId(job.jobId, index), session), job.resources, {job.team, job.urgency, job.jobId}};
    addReservation(out);
    return out;
}

std::vector<TaskPlacement> ZoneScheduler::placeGang(QueuedTasks &job)
{
    std::vector<TaskPlacement> out;
    for (const int index : job.indices) {
        PlacementFailure cause {};
        auto placed = placeOne(job, index, cause);
        if (!placed) {
            for (const auto &it : out) {
                release(it.worker, it.attempt);
            }
            return {};
        }
        out.push_back(std::move(*placed));
    }
    job.indices.clear();
    return out;
}

std::vector<TaskPlacement> ZoneScheduler::placeNext(QueuedTasks &job)
{
    if (job.isGang) {
        return placeGang(job);
    }
    PlacementFailure cause {};
    auto placed = placeOne(job, job.indices.front(), cause);
    if (!placed) {
        return {};
    }
    job.indices.pop_front();
    return {std::move(*placed)};
}

std::vector<std::string> ZoneScheduler::classOrder(TimePoint now) const
{
    struct Ranked {
        std::string name;
        bool overdue = false;
        double weight = 0;
    };
    std::vector<Ranked> ranked;
    for (const auto &[name, teams] : m_queues) {
        const auto *policy = m_configuration->urgencyClass(name);
        if (policy == nullptr) {
            continue;
        }
        // An overdue class goes first only while it is below its floor. Otherwise a large backlog of old work would delay urgent work.
        const bool belowFloor = usageOfClass(name).dominantShareOf(m_totalCapacity) < policy->floor;
        Ranked it {name, false, policy->weight};
        for (const auto &[team, queue] : teams) {
            it.overdue = it.overdue || (belowFloor && !queue.empty() && isOverdue(queue.front(), now, *policy));
        }
        ranked.push_back(std::move(it));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return a.overdue != b.overdue ? a.overdue : a.weight > b.weight;
    });
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto &it : ranked) {
        out.push_back(std::move(it.name));
    }
    return out;
}

std::vector<std::string> ZoneScheduler::teamOrder(const TeamQueues &queues, TimePoint now, const UrgencyClass &policy) const
{
    struct Ranked {
        std::string name;
        bool overdue = false;
        double usageByShare = 0;
    };
    std::vector<Ranked> ranked;
    for (const auto &[name, queue] : queues) {
        const auto *team = m_configuration->team(name);
        if (queue.empty() || team == nullptr) {
            continue;
        }
        ranked.push_back({name, isOverdue(queue.front(), now, policy), usageOfTeam(name).dominantShareOf(m_totalCapacity) / team->share});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return a.overdue != b.overdue ? a.overdue : a.usageByShare < b.usageByShare;
    });
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto &it : ranked) {
        out.push_back(std::move(it.name));
    }
    return out;
}

// Places one task or gang of a class. Returns false when nothing of the class can be placed now. Sets isBlocked when a
// gang has to wait for capacity that no other task may take.
bool ZoneScheduler::placeFromClass(const std::string &urgency, TimePoint now, std::vector<TaskPlacement> &out, std::size_t limit, bool &isBlocked)
{
    const auto *policy = m_configuration->urgencyClass(urgency);
    auto &teams = m_queues[urgency];
    std::vector<Resources> unplaceable;
    for (const auto &team : teamOrder(teams, now, *policy)) {
        auto &queue = teams[team];
        for (auto it = queue.begin(); it != queue.end(); ++it) {
            const bool isAlreadyUnplaceable = std::any_of(unplaceable.begin(), unplaceable.end(), [&](const Resources &r) {
                return r.fitsIn(it->resources);
            });
            if (isAlreadyUnplaceable || (it->isGang && it->indices.size() > limit && !out.empty())) {
                continue;
            }
            auto placed = placeNext(*it);
            if (!placed.empty()) {
                std::move(placed.begin(), placed.end(), std::back_inserter(out));
                if (it->indices.empty()) {
                    queue.erase(it);
                }
                return true;
            }
            // Capacity that becomes free is kept for an overdue gang. Otherwise smaller tasks would take it again and again.
            if (it->isGang && isOverdue(*it, now, *policy) && couldEverFit(it->resources)) {
                isBlocked = true;
                return false;
            }
            if (!it->isGang && isWithinQuota(team, it->resources)) {
                unplaceable.push_back(it->resources);
            }
        }
    }
    return false;
}

std::vector<TaskPlacement> ZoneScheduler::placeQueued(TimePoint now, std::size_t limit)
{
    std::vector<TaskPlacement> out;
    bool isBlocked = false;
    for (const auto &urgency : classOrder(now)) {
        while (!isBlocked && out.size() < limit && placeFromClass(urgency, now, out, limit, isBlocked)) { }
        if (isBlocked) {
            break;
        }
    }
    return out;
}

std::optional<TaskPlacement> ZoneScheduler::placeShortRequest(const JobSpec &spec, PlacementFailure &cause)
{
    if (m_workers.empty()) {
        cause = PlacementFailure::NoReachableWorker;
        return std::nullopt;
    }
    if (!couldEverFit(spec.resources)) {
        cause = PlacementFailure::LargerThanAnyWorker;
        return std::nullopt;
    }
    QueuedTasks job;
    job.jobId = spec.id;
    job.team = spec.team;
    job.urgency = spec.urgency;
    job.resources = spec.resources;
    return placeOne(job, ShortRequestIndex, cause);
}

} // namespace marjoramhaven
