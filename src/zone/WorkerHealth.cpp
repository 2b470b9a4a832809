#include "marjoramhaven/zone/WorkerHealth.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr int FailuresToQuarantine = 5;
constexpr std::size_t DistinctJobsToQuarantine = 2;
constexpr Millis InitialQuarantine {15'000};
constexpr int MaxQuarantineDoublings = 5;
// At most one worker in this many is in quarantine at once; a zone with fewer workers may still quarantine one.
constexpr std::size_t WorkersPerQuarantine = 5;
} // namespace

void WorkerHealth::onSucceeded(const std::string &worker)
{
    const auto it = m_records.find(worker);
    if (it != m_records.end()) {
        m_records.erase(it);
    }
}

void WorkerHealth::onFailed(const std::string &worker, const std::string &jobId, std::size_t workerCount, TimePoint now)
{
    auto &record = m_records[worker];
    ++record.consecutiveFailures;
    record.jobs.insert(jobId);
    if (record.consecutiveFailures < FailuresToQuarantine || record.jobs.size() < DistinctJobsToQuarantine || now < record.quarantinedUntil) {
        return;
    }
    if ((quarantined(now) + 1) * WorkersPerQuarantine > std::max(workerCount, WorkersPerQuarantine)) {
        return;
    }
    record.quarantinedUntil = now + InitialQuarantine * (1 << std::min(record.quarantines, MaxQuarantineDoublings));
    ++record.quarantines;
    // After the quarantine a single further failure is enough for the next one.
    record.consecutiveFailures = FailuresToQuarantine - 1;
}

void WorkerHealth::remove(const std::string &worker)
{
    m_records.erase(worker);
}

bool WorkerHealth::isQuarantined(const std::string &worker, TimePoint now) const
{
    const auto it = m_records.find(worker);
    return it != m_records.end() && now < it->second.quarantinedUntil;
}

std::size_t WorkerHealth::quarantined(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [now](const auto &it) {
        return now < it.second.quarantinedUntil;
    }));
}

} // namespace marjoramhaven
