#pragma once

#include <map>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Learns which workers run tasks much more slowly than others do.
///
/// The evidence is the ratio of a run's duration to the median duration of the same step's other runs, both on the clocks of their workers. So wrong estimates,
/// and times during which a worker or the planner was paused or cut off, blame no worker. Evidence decays, so that a worker which gets no runs is tried again.
class WorkerSpeeds
{
public:
    /// Records that a run took `ratio` times as long as the median run of its step; for a run that goes on, the ratio that it has reached already.
    void observe(const std::string &worker, double ratio, TimePoint now);
    /// Returns how many times as long as usual runs take on the worker; 1 without enough evidence.
    double slowness(const std::string &worker, TimePoint now) const;
    /// Returns true if runs take so much longer on the worker that other workers are preferred.
    bool isSlow(const std::string &worker, TimePoint now) const;
    /// Discards the evidence about a worker, for example when it has restarted.
    void forget(const std::string &worker) { m_workers.erase(worker); }

private:
    /// Decaying sums over the observations.
    struct Evidence {
        double weight = 0;
        double logRatioSum = 0;
        TimePoint at {};
    };

    std::map<std::string, Evidence> m_workers;
};

} // namespace marjoramhaven
