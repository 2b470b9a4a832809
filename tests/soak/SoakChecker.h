#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/standin/FleetWorkerModel.h"
#include "support/WireStandIn.h"

namespace marjoramhaven::test {

/// What callers did with one job and were told of it.
struct JobHistory {
    /// Tasks of each step; every step waits for the one before it.
    std::vector<int> steps;
    bool isAccepted = false;
    TimePoint acceptedAt {};
    /// True when some attempt to submit it may have been stored without being told so.
    bool mayBeStored = false;
    bool isCancelSent = false;
    bool isSeenCompleted = false;
};

/// Collects every promise that callers and workers saw broken.
///
/// Knows only what they saw, never what the processes believe.
class SoakChecker
{
public:
    explicit SoakChecker(const WireStandIn &platform);

    JobHistory &job(const std::string &id) { return m_jobs[id]; }
    std::map<std::string, JobHistory> &jobs() { return m_jobs; }

    // What workers saw.
    void runChanged(const RunEvent &event);
    void workerRestarted(const std::string &worker, TimePoint now);

    // What callers saw.
    void stateTold(const std::string &id, int status, const std::string &state, TimePoint now);
    void ended(const std::string &process);

    /// Checks what can only be told at the end, when all faults are over.
    void finish();
    const std::vector<std::string> &broken() const { return m_broken; }
    int begins() const { return m_beginCount; }

private:
    void checkBegin(const RunEvent &event);
    bool isStepDone(const std::string &job, int step) const;
    bool isDoneForgotten(const FleetTaskId &task) const;
    std::size_t numberOf(const std::string &worker) const;
    void add(const std::string &what);

    const WireStandIn &m_platform;
    std::map<std::string, JobHistory> m_jobs;
    std::set<std::string> m_begunJobs;
    std::map<FleetTaskId, std::set<std::string>> m_running;
    /// Where and when each task ended well first.
    std::map<FleetTaskId, std::pair<std::string, TimePoint>> m_done;
    std::map<std::string, TimePoint> m_restartedAt;
    int m_beginCount = 0;
    std::vector<std::string> m_broken;
};

} // namespace marjoramhaven::test
