#include "marjoramhaven/fleet/FleetWorker.h"

#include <algorithm>
#include <cmath>

namespace marjoramhaven {

namespace {

// Maximum age of a clock reading when it arrives.
constexpr Millis MaxReadingAge {3000};
// Entries are behind by seconds at most, in which a worker restarts only a few times.
constexpr std::size_t MaxEarlierStarts = 8;

} // namespace

void WorkerLease::observe(std::int64_t workerClockMs, TimePoint now)
{
    if (m_clockMs && workerClockMs < *m_clockMs) {
        return;
    }
    m_clockMs = workerClockMs;
    m_observedAt = now;
}

void WorkerLease::assumeLateGrantUntil(TimePoint until)
{
    assumeGrantedUntil(until);
    m_lateGrantUntil = std::max(m_lateGrantUntil, until);
}

bool WorkerLease::isFromEarlierIncarnation(std::int64_t workerClockMs, TimePoint now) const
{
    const auto clock = clockAt(now);
    return clock && workerClockMs + MaxReadingAge.count() < *clock;
}

std::optional<std::int64_t> WorkerLease::clockAt(TimePoint now) const
{
    if (!m_clockMs) {
        return std::nullopt;
    }
    const auto elapsed = static_cast<double>((now - m_observedAt).count());
    return *m_clockMs + static_cast<std::int64_t>(elapsed * MinClockRate);
}

std::int64_t WorkerLease::grant(Millis length, TimePoint now)
{
    const auto clock = clockAt(now);
    if (!clock) {
        return 0;
    }
    m_grantedMs = std::max(m_grantedMs, *clock + length.count());
    return *clock + length.count();
}

bool WorkerLease::hasCertainlyExpired(TimePoint now) const
{
    if (now < m_assumedUntil) {
        return false;
    }
    const auto clock = clockAt(now);
    return m_grantedMs == 0 || (clock && *clock > m_grantedMs);
}

TimePoint FleetWorker::roomExpectedAt(const FleetResources &needs, TimePoint now) const
{
    auto free = report.capacity - used;
    std::vector<std::pair<TimePoint, FleetResources>> ends;
    for (const auto &[key, it] : allocations) {
        if (it.isStopping || !it.isLasting) {
            ends.emplace_back(it.isStopping ? now : std::max(now, it.expectedEnd), it.needs);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    auto out = now;
    for (auto it = ends.begin(); it != ends.end() && !needs.fitIn(free); ++it) {
        out = it->first;
        free += it->second;
    }
    return needs.fitIn(free) ? out : TimePoint::max();
}

void FleetWorker::allocate(const RunKey &key, const RunAllocation &allocation)
{
    if (!allocations.emplace(key, allocation).second) {
        return;
    }
    used += allocation.needs;
    if (allocation.isLasting) {
        usedByLastingRuns += allocation.needs;
    }
}

void FleetWorker::release(const RunKey &key)
{
    const auto it = allocations.find(key);
    if (it == allocations.end()) {
        return;
    }
    used -= it->second.needs;
    if (it->second.isLasting) {
        usedByLastingRuns -= it->second.needs;
    }
    allocations.erase(it);
}

std::int64_t FleetWorker::lastEndBefore(const std::set<std::string> &jobs) const
{
    auto out = lastSeenEnd;
    for (const auto &[number, job] : unstoredEnds) {
        if (jobs.contains(job)) {
            out = std::min(out, number - 1);
        }
    }
    return out;
}

void FleetWorker::acknowledgeEnds(std::int64_t number)
{
    lastStoredEnd = number;
    std::erase_if(unstoredEnds, [number](const auto &it) {
        return it.first <= number;
    });
}

void FleetWorker::rememberIncarnation()
{
    if (startedUnixMs == 0 || hadIncarnation(startedUnixMs)) {
        return;
    }
    earlierStarts.push_back(startedUnixMs);
    if (earlierStarts.size() > MaxEarlierStarts) {
        earlierStarts.erase(earlierStarts.begin());
    }
}

bool FleetWorker::hadIncarnation(std::int64_t unixMs) const
{
    return std::find(earlierStarts.begin(), earlierStarts.end(), unixMs) != earlierStarts.end();
}

bool FleetWorker::hasLabel(const std::string &label) const
{
    return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

} // namespace marjoramhaven
