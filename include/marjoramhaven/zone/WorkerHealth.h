#pragma once

#include <map>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Detects workers on which attempts keep failing and quarantines them: they get no new work for a while.
///
/// The failures must come from different jobs, so that one faulty job can't take all workers out of service. At most a
/// fifth of the workers is in quarantine at once.
class WorkerHealth
{
public:
    /// Handles a successful attempt, which clears the worker's record.
    void onSucceeded(const std::string &worker);
    /// Handles a failed attempt of a job, which may start a quarantine. workerCount is the number of workers of the zone.
    void onFailed(const std::string &worker, const std::string &jobId, std::size_t workerCount, TimePoint now);
    /// Drops the record of a worker that left the zone.
    void remove(const std::string &worker);
    /// Returns true while the worker gets no new work.
    bool isQuarantined(const std::string &worker, TimePoint now) const;
    /// Returns the number of workers in quarantine.
    std::size_t quarantined(TimePoint now) const;

private:
    struct Record {
        int consecutiveFailures = 0;
        std::set<std::string> jobs;
        int quarantines = 0;
        TimePoint quarantinedUntil {};
    };

    std::map<std::string, Record> m_records;
};

} // namespace marjoramhaven
