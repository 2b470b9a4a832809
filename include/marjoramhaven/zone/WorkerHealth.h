#pragma once

#include <map>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Finds workers that fail what others run well, and keeps new work from them for a while.
///
/// A failure counts against a worker only when it comes from different jobs, so that one bad job can't empty
/// the fleet; and at most a fifth of the workers is kept from work at once.
class WorkerHealth
{
public:
    /// Counts an attempt that ended well.
    void onSucceeded(const std::string &worker);
    /// Counts a failed attempt of a job.
    void onFailed(const std::string &worker, const std::string &jobId, std::size_t workerCount, TimePoint now);
    /// Forgets a worker.
    void remove(const std::string &worker);
    /// True while the worker is kept from new work.
    bool isQuarantined(const std::string &worker, TimePoint now) const;
    /// Number of workers kept from new work.
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
