#include "marjoramhaven/zone/WorkerHealth.h"

#include <algorithm>

namespace marjoramhaven {

namespace {
constexpr int FailuresToQuarantine = 5;
constexpr std::size_t JobsToQuarantine = 2;
constexpr Millis FirstQuarantine {15'000};
constexpr int MaxDoublings = 5;
constexpr std::size_t LargestPart = 5;
} // namespace

void WorkerHealth::onDone(const std::string &worker)
{
    const auto it = m_records.find(worker);
    if (it != m_records.end()) {
        m_records.erase(it);
    }
}

void WorkerHealth::onFailed(const std::string &worker, const std::string &jobId, std::size_t fleetSize, TimePoint now)
{
    auto &record = m_records[worker];
    ++record.failuresInRow;
    record.jobs.insert(jobId);
    if (record.failuresInRow < FailuresToQuarantine || record.jobs.size() < JobsToQuarantine || now < record.until) {
        return;
    }
    if ((quarantined(now) + 1) * LargestPart > std::max(fleetSize, LargestPart)) {
        return;
    }
    record.until = now + FirstQuarantine * (1 << std::min(record.quarantines, MaxDoublings));
    ++record.quarantines;
    // One more failure after the return is enough to send the worker back.
    record.failuresInRow = FailuresToQuarantine - 1;
}

void WorkerHealth::remove(const std::string &worker)
{
    m_records.erase(worker);
}

bool WorkerHealth::isQuarantined(const std::string &worker, TimePoint now) const
{
    const auto it = m_records.find(worker);
    return it != m_records.end() && now < it->second.until;
}

std::size_t WorkerHealth::quarantined(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [now](const auto &it) {
        return now < it.second.until;
    }));
}

} // namespace marjoramhaven
