#include "marjoramhaven/zone/ZoneScheduler.h"

#include <algorithm>

namespace marjoramhaven {

std::string taskId(const std::string &jobId, int index)
{
    return index < 0 ? jobId : jobId + "/" + std::to_string(index);
}

ZoneScheduler::ZoneScheduler(std::shared_ptr<const Configuration> configuration)
    : m_spreadStrategy(PlacementStrategy::make(Packing::Spread))
{
    setConfiguration(std::move(configuration));
}

void ZoneScheduler::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    Q_ASSERT(configuration);
    m_configuration = std::move(configuration);
    m_strategy = PlacementStrategy::make(m_configuration->packing());
}

void ZoneScheduler::setWorker(const std::string &name, const std::string &rack, const Resources &capacity, std::int64_t session)
{
    m_reservations[name].setCapacity(capacity);
    auto &worker = m_workers[name];
    worker.rack = rack;
    worker.session = session;
    recomputeTotals();
}

void ZoneScheduler::setUsable(const std::string &name, bool usable)
{
    const auto it = m_workers.find(name);
    if (it != m_workers.end() && it->second.usable != usable) {
        it->second.usable = usable;
        recomputeTotals();
    }
}

void ZoneScheduler::removeWorker(const std::string &name)
{
    const auto it = m_reservations.find(name);
    if (it == m_reservations.end()) {
        return;
    }
    for (const auto &[attempt, entry] : it->second.entries()) {
        addUsage(entry.owner, entry.amount, -1);
        auto &workers = m_jobWorkers[entry.owner.jobId];
        workers.erase(name);
        if (workers.empty()) {
            m_jobWorkers.erase(entry.owner.jobId);
        }
    }
    m_reservations.erase(it);
    m_workers.erase(name);
    recomputeTotals();
}

void ZoneScheduler::recomputeTotals()
{
    m_totalCapacity = Resources();
    m_freeCapacity = Resources();
    for (const auto &[name, worker] : m_workers) {
        if (worker.usable) {
            m_totalCapacity += m_reservations[name].capacity();
            m_freeCapacity += m_reservations[name].free();
        }
    }
}

void ZoneScheduler::addUsage(const ReservationOwner &owner, const Resources &amount, int sign)
{
    if (sign > 0) {
        m_classUsage[owner.urgency] += amount;
        m_teamUsage[owner.team] += amount;
    } else {
        m_classUsage[owner.urgency] -= amount;
        m_teamUsage[owner.team] -= amount;
    }
}

void ZoneScheduler::adopt(const std::string &worker, const AttemptId &attempt, const Resources &amount, const ReservationOwner &owner)
{
    auto &reservations = m_reservations[worker];
    if (reservations.entries().contains(attempt)) {
        return;
    }
    reservations.adopt(attempt, amount, owner);
    addUsage(owner, amount, 1);
    ++m_jobWorkers[owner.jobId][worker];
    const auto state = m_workers.find(worker);
    if (state != m_workers.end() && state->second.usable) {
        m_freeCapacity -= amount;
    }
}

bool ZoneScheduler::release(const std::string &worker, const AttemptId &attempt)
{
    const auto it = m_reservations.find(worker);
    if (it == m_reservations.end()) {
        return false;
    }
    const auto entry = it->second.release(attempt);
    if (!entry) {
        return false;
    }
    addUsage(entry->owner, entry->amount, -1);
    auto &workers = m_jobWorkers[entry->owner.jobId];
    if (--workers[worker] <= 0) {
        workers.erase(worker);
    }
    if (workers.empty()) {
        m_jobWorkers.erase(entry->owner.jobId);
    }
    const auto state = m_workers.find(worker);
    if (state != m_workers.end() && state->second.usable) {
        m_freeCapacity += entry->amount;
    }
    return true;
}

void ZoneScheduler::enqueue(QueuedTasks job)
{
    if (!job.indices.empty()) {
        m_queues[job.urgency][job.team].push_back(std::move(job));
    }
}

std::vector<int> ZoneScheduler::removeQueued(const std::string &jobId)
{
    std::vector<int> out;
    for (auto &[urgency, teams] : m_queues) {
        for (auto &[team, queue] : teams) {
            for (const auto &it : queue) {
                if (it.jobId == jobId) {
                    out.insert(out.end(), it.indices.begin(), it.indices.end());
                }
            }
            std::erase_if(queue, [&](const QueuedTasks &it) {
                return it.jobId == jobId;
            });
        }
    }
    return out;
}

std::vector<Candidate> ZoneScheduler::candidatesFor(const std::string &jobId, bool countSameJob) const
{
    std::vector<Candidate> out;
    out.reserve(m_workers.size());
    const auto same = countSameJob ? m_jobWorkers.find(jobId) : m_jobWorkers.end();
    std::map<std::string, int> perRack;
    if (same != m_jobWorkers.end()) {
        for (const auto &[name, n] : same->second) {
            const auto worker = m_workers.find(name);
            if (worker != m_workers.end()) {
                perRack[worker->second.rack] += n;
            }
        }
    }
    for (const auto &[name, worker] : m_workers) {
        if (!worker.usable) {
            continue;
        }
        const auto &reservations = m_reservations.at(name);
        Candidate candidate {name, worker.rack, reservations.capacity(), reservations.free()};
        if (same != m_jobWorkers.end()) {
            const auto here = same->second.find(name);
            candidate.sameJobOnWorker = here == same->second.end() ? 0 : here->second;
            candidate.sameJobInRack = perRack[worker.rack];
        }
        out.push_back(std::move(candidate));
    }
    return out;
}

// Checks the guaranteed shares (floors) of the classes. A class that would exceed its own floor must leave free whatever
// the other classes lack to reach theirs.
bool ZoneScheduler::respectsFloors(const std::string &urgency, const Resources &amount) const
{
    const auto *own = m_configuration->urgencyClass(urgency);
    const Resources after = usageOfClass(urgency) + amount;
    if (own != nullptr && after.fitsIn(m_totalCapacity.scaled(own->floor))) {
        return true;
    }
    Resources unmetFloors;
    for (const auto &[name, policy] : m_configuration->classes()) {
        if (name == urgency || policy.floor <= 0) {
            continue;
        }
        const Resources floor = m_totalCapacity.scaled(policy.floor);
        const Resources used = usageOfClass(name);
        for (std::size_t i = 0; i < DimensionCount; ++i) {
            const auto d = static_cast<Dimension>(i);
            unmetFloors.set(d, unmetFloors[d] + std::max<std::int64_t>(0, floor[d] - used[d]));
        }
    }
    const Resources left = m_freeCapacity - amount;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        const auto d = static_cast<Dimension>(i);
        if (amount[d] > 0 && left[d] < unmetFloors[d]) {
            return false;
        }
    }
    return true;
}

bool ZoneScheduler::isWithinQuota(const std::string &team, const Resources &amount) const
{
    const auto *quota = m_configuration->team(team);
    if (quota == nullptr) {
        return false;
    }
    return (usageOfTeam(team) + amount).dominantShareOf(m_totalCapacity) <= quota->cap;
}

bool ZoneScheduler::couldEverFit(const Resources &resources) const
{
    return std::any_of(m_reservations.begin(), m_reservations.end(), [&](const auto &it) {
        return resources.fitsIn(it.second.capacity());
    });
}

int ZoneScheduler::waiting(const std::string &urgency) const
{
    const auto it = m_queues.find(urgency);
    int n = 0;
    if (it != m_queues.end()) {
        for (const auto &[team, queue] : it->second) {
            for (const auto &job : queue) {
                n += static_cast<int>(job.indices.size());
            }
        }
    }
    return n;
}

int ZoneScheduler::waiting() const
{
    int n = 0;
    for (const auto &[urgency, teams] : m_queues) {
        n += waiting(urgency);
    }
    return n;
}

Resources ZoneScheduler::usageOfClass(const std::string &urgency) const
{
    const auto it = m_classUsage.find(urgency);
    return it == m_classUsage.end() ? Resources() : it->second;
}

Resources ZoneScheduler::usageOfTeam(const std::string &team) const
{
    const auto it = m_teamUsage.find(team);
    return it == m_teamUsage.end() ? Resources() : it->second;
}

} // namespace marjoramhaven
