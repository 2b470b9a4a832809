#include "marjoramhaven/zone/ZoneScheduler.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr std::int64_t AttemptsPerSession = 1'000'000;

bool isOverdue(const WaitingJob &job, TimePoint now, const UrgencyClass &policy)
{
    return now - job.since >= policy.longestWait;
}
} // namespace

std::string taskId(const std::string &jobId, int index)
{
    return index < 0 ? jobId : jobId + "/" + std::to_string(index);
}

ZoneScheduler::ZoneScheduler(std::shared_ptr<const Configuration> configuration)
    : m_spreadPlacement(Placement::make(Packing::Spread))
{
    setConfiguration(std::move(configuration));
}

void ZoneScheduler::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    Q_ASSERT(configuration);
    m_configuration = std::move(configuration);
    m_placement = Placement::make(m_configuration->packing());
}

void ZoneScheduler::setWorker(const std::string &name, const std::string &rack, const Resources &capacity, std::int64_t session)
{
    m_books[name].setCapacity(capacity);
    auto &worker = m_workers[name];
    worker.rack = rack;
    worker.session = session;
    recountTotals();
}

void ZoneScheduler::setUsable(const std::string &name, bool usable)
{
    const auto it = m_workers.find(name);
    if (it != m_workers.end() && it->second.usable != usable) {
        it->second.usable = usable;
        recountTotals();
    }
}

void ZoneScheduler::removeWorker(const std::string &name)
{
    const auto it = m_books.find(name);
    if (it == m_books.end()) {
        return;
    }
    for (const auto &[attempt, entry] : it->second.entries()) {
        countUsage(entry.owner, entry.amount, -1);
        auto &workers = m_jobWorkers[entry.owner.jobId];
        workers.erase(name);
        if (workers.empty()) {
            m_jobWorkers.erase(entry.owner.jobId);
        }
    }
    m_books.erase(it);
    m_workers.erase(name);
    recountTotals();
}

void ZoneScheduler::recountTotals()
{
    m_total = Resources();
    m_free = Resources();
    for (const auto &[name, worker] : m_workers) {
        if (worker.usable) {
            m_total += m_books[name].capacity();
            m_free += m_books[name].free();
        }
    }
}

void ZoneScheduler::countUsage(const ReservationOwner &owner, const Resources &amount, int sign)
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
    auto &book = m_books[worker];
    if (book.entries().contains(attempt)) {
        return;
    }
    book.adopt(attempt, amount, owner);
    countUsage(owner, amount, 1);
    ++m_jobWorkers[owner.jobId][worker];
    const auto state = m_workers.find(worker);
    if (state != m_workers.end() && state->second.usable) {
        m_free -= amount;
    }
}

bool ZoneScheduler::release(const std::string &worker, const AttemptId &attempt)
{
    const auto it = m_books.find(worker);
    if (it == m_books.end()) {
        return false;
    }
    const auto entry = it->second.release(attempt);
    if (!entry) {
        return false;
    }
    countUsage(entry->owner, entry->amount, -1);
    auto &workers = m_jobWorkers[entry->owner.jobId];
    if (--workers[worker] <= 0) {
        workers.erase(worker);
    }
    if (workers.empty()) {
        m_jobWorkers.erase(entry->owner.jobId);
    }
    const auto state = m_workers.find(worker);
    if (state != m_workers.end() && state->second.usable) {
        m_free += entry->amount;
    }
    return true;
}

void ZoneScheduler::enqueue(WaitingJob job)
{
    if (!job.indices.empty()) {
        m_queues[job.urgency][job.team].push_back(std::move(job));
    }
}

std::vector<int> ZoneScheduler::withdraw(const std::string &jobId)
{
    std::vector<int> out;
    for (auto &[urgency, teams] : m_queues) {
        for (auto &[team, queue] : teams) {
            for (const auto &it : queue) {
                if (it.jobId == jobId) {
                    out.insert(out.end(), it.indices.begin(), it.indices.end());
                }
            }
            std::erase_if(queue, [&](const WaitingJob &it) {
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
        const auto &book = m_books.at(name);
        Candidate candidate {name, worker.rack, book.capacity(), book.free()};
        if (same != m_jobWorkers.end()) {
            const auto here = same->second.find(name);
            candidate.sameJobHere = here == same->second.end() ? 0 : here->second;
            candidate.sameJobInRack = perRack[worker.rack];
        }
        out.push_back(std::move(candidate));
    }
    return out;
}

// A class above its own floor must leave free what the other classes' floors still lack.
bool ZoneScheduler::keepsFloors(const std::string &urgency, const Resources &amount) const
{
    const auto *own = m_configuration->urgencyClass(urgency);
    const Resources after = usageOfClass(urgency) + amount;
    if (own != nullptr && after.fitsIn(m_total.scaled(own->floor))) {
        return true;
    }
    Resources owed;
    for (const auto &[name, policy] : m_configuration->classes()) {
        if (name == urgency || policy.floor <= 0) {
            continue;
        }
        const Resources floor = m_total.scaled(policy.floor);
        const Resources used = usageOfClass(name);
        for (std::size_t i = 0; i < DimensionCount; ++i) {
            const auto d = static_cast<Dimension>(i);
            owed.set(d, owed[d] + std::max<std::int64_t>(0, floor[d] - used[d]));
        }
    }
    const Resources left = m_free - amount;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        const auto d = static_cast<Dimension>(i);
        if (amount[d] > 0 && left[d] < owed[d]) {
            return false;
        }
    }
    return true;
}

bool ZoneScheduler::withinQuota(const std::string &team, const Resources &amount) const
{
    const auto *quota = m_configuration->team(team);
    if (quota == nullptr) {
        return false;
    }
    return (usageOfTeam(team) + amount).dominantShareOf(m_total) <= quota->cap;
}

AttemptId ZoneScheduler::nextAttempt(const std::string &task, std::int64_t session)
{
    ++m_attempts;
    return {task, session * AttemptsPerSession + m_attempts % AttemptsPerSession};
}

void ZoneScheduler::book(const Placed &placed)
{
    const bool fits = m_books[placed.worker].reserve(placed.attempt, placed.reservation, placed.owner);
    Q_ASSERT(fits);
    Q_UNUSED(fits);
    countUsage(placed.owner, placed.reservation, 1);
    ++m_jobWorkers[placed.owner.jobId][placed.worker];
    m_free -= placed.reservation;
}

std::optional<Placed> ZoneScheduler::placeOne(const WaitingJob &job, int index, NoPlace &cause)
{
    if (!withinQuota(job.team, job.resources)) {
        cause = NoPlace::QuotaReached;
        return std::nullopt;
    }
    if (!keepsFloors(job.urgency, job.resources)) {
        cause = NoPlace::NoRoom;
        return std::nullopt;
    }
    const auto candidates = candidatesFor(job.jobId, job.spread);
    const auto &placement = job.spread ? *m_spreadPlacement : *m_placement;
    const auto chosen = placement.choose(candidates, job.resources);
    if (!chosen) {
        cause = candidates.empty() ? NoPlace::NoWorker : NoPlace::NoRoom;
        return std::nullopt;
    }
    const auto &worker = candidates[*chosen].name;
    const auto session = m_workers.at(worker).session;
    Placed out {job.jobId, index, worker, nextAttempt(taskId(job.jobId, index), session), job.resources, {job.team, job.urgency, job.jobId}};
    book(out);
    return out;
}

std::vector<Placed> ZoneScheduler::placeTogether(WaitingJob &job)
{
    std::vector<Placed> out;
    for (const int index : job.indices) {
        NoPlace cause {};
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

std::vector<Placed> ZoneScheduler::placeFront(WaitingJob &job)
{
    if (job.allAtOnce) {
        return placeTogether(job);
    }
    NoPlace cause {};
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
        // Past its longest wait a class goes first only up to its floor; else a flood of old work would pass the urgent.
        const bool belowFloor = usageOfClass(name).dominantShareOf(m_total) < policy->floor;
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
        double used = 0;
    };
    std::vector<Ranked> ranked;
    for (const auto &[name, queue] : queues) {
        const auto *team = m_configuration->team(name);
        if (queue.empty() || team == nullptr) {
            continue;
        }
        ranked.push_back({name, isOverdue(queue.front(), now, policy), usageOfTeam(name).dominantShareOf(m_total) / team->share});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return a.overdue != b.overdue ? a.overdue : a.used < b.used;
    });
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto &it : ranked) {
        out.push_back(std::move(it.name));
    }
    return out;
}

// Places one item of a class. False when nothing of the class has a place now.
bool ZoneScheduler::placeFromClass(const std::string &urgency, TimePoint now, std::vector<Placed> &out, std::size_t limit, bool &blocked)
{
    const auto *policy = m_configuration->urgencyClass(urgency);
    auto &teams = m_queues[urgency];
    std::vector<Resources> tooLarge;
    for (const auto &team : teamOrder(teams, now, *policy)) {
        auto &queue = teams[team];
        for (auto it = queue.begin(); it != queue.end(); ++it) {
            const bool known = std::any_of(tooLarge.begin(), tooLarge.end(), [&](const Resources &r) {
                return r.fitsIn(it->resources);
            });
            if (known || (it->allAtOnce && it->indices.size() > limit && !out.empty())) {
                continue;
            }
            auto placed = placeFront(*it);
            if (!placed.empty()) {
                std::move(placed.begin(), placed.end(), std::back_inserter(out));
                if (it->indices.empty()) {
                    queue.erase(it);
                }
                return true;
            }
            // An overdue all-at-once job keeps the room that becomes free; others would nibble it away forever.
            if (it->allAtOnce && isOverdue(*it, now, *policy) && couldEverFit(it->resources)) {
                blocked = true;
                return false;
            }
            if (!it->allAtOnce && withinQuota(team, it->resources)) {
                tooLarge.push_back(it->resources);
            }
        }
    }
    return false;
}

std::vector<Placed> ZoneScheduler::decide(TimePoint now, std::size_t limit)
{
    std::vector<Placed> out;
    bool blocked = false;
    for (const auto &urgency : classOrder(now)) {
        while (!blocked && out.size() < limit && placeFromClass(urgency, now, out, limit, blocked)) { }
        if (blocked) {
            break;
        }
    }
    return out;
}

std::optional<Placed> ZoneScheduler::placeNow(const JobSpec &spec, NoPlace &cause)
{
    if (m_workers.empty()) {
        cause = NoPlace::NoWorker;
        return std::nullopt;
    }
    if (!couldEverFit(spec.resources)) {
        cause = NoPlace::LargerThanAnyWorker;
        return std::nullopt;
    }
    WaitingJob job;
    job.jobId = spec.id;
    job.team = spec.team;
    job.urgency = spec.urgency;
    job.resources = spec.resources;
    return placeOne(job, ShortRequestIndex, cause);
}

bool ZoneScheduler::couldEverFit(const Resources &resources) const
{
    return std::any_of(m_books.begin(), m_books.end(), [&](const auto &it) {
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
