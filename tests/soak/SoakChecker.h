#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/standin/FleetWorkerModel.h"
#include "support/WireStandIn.h"

namespace marjoramhaven::test {

/// Requests that callers made for one job, and the responses they got.
struct JobHistory {
    /// Number of tasks of each step; every step starts after the preceding one has completed.
    std::vector<int> steps;
    /// The tasks are a gang that lasts until the job is cancelled.
    bool isGang = false;
    /// Each task works for 10 to 14 s, longer than the leases of its worker.
    bool isLong = false;
    /// The tasks last until the job is cancelled, and start again however they end.
    bool isLasting = false;
    /// Number of occurrences, the first of them due at this Unix time in milliseconds, and the time between them; 0 for a job that runs once, at once.
    int repeatCount = 0;
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;
    bool isAccepted = false;
    TimePoint acceptedAt {};
    /// Whether some submission may have been stored although the caller got no confirmation.
    bool mayBeStored = false;
    bool isCancelSent = false;
    bool isCancelConfirmed = false;
    bool isReportedCompleted = false;
};

/// Checks the scheduler's invariants and collects the violations.
///
/// Uses only the observations of callers and workers, never the state of the scheduler processes.
class SoakChecker
{
public:
    explicit SoakChecker(const WireStandIn &platform);

    JobHistory &job(const std::string &id) { return m_jobs[id]; }
    std::map<std::string, JobHistory> &jobs() { return m_jobs; }

    // Observations of workers.
    void handleRunEvent(const RunEvent &event);
    void handleAcknowledgement(const EndAcknowledgement &end);
    void workerRestarted(const std::string &worker, TimePoint now);

    // Observations of callers and of the test.
    void checkReportedState(const std::string &id, int status, const std::string &state, TimePoint now);
    void processEndedUnexpectedly(const std::string &process);
    void addViolation(const std::string &description);

    /// Checks the invariants that can be decided only after all faults have ended.
    void finish();
    const std::vector<std::string> &violations() const { return m_violations; }
    int startCount() const { return m_startCount; }

private:
    // A run on a worker, by the worker and the attempt.
    using RunKey = std::pair<std::string, std::int64_t>;
    // A run that ended as done.
    struct Completion {
        RunKey run;
        TimePoint at {};
        // Whether the end was acknowledged without a lapse of the worker's lease in between. That stands for good.
        bool isAcknowledged = false;
        // Runs of the task that started later.
        std::vector<std::string> laterStarts;
    };

    void checkStart(const RunEvent &event);
    bool isStepDone(const std::string &job, int occurrence, int step) const;
    bool isCompletionLost(const Completion &completion) const;
    void checkCompletions(const RunEvent &start);
    std::string nameOfStart(const RunEvent &event) const;
    std::size_t workerIndex(const std::string &worker) const;

    const WireStandIn &m_platform;
    const TimePoint m_createdAt;
    std::map<std::string, JobHistory> m_jobs;
    std::set<std::string> m_startedJobs;
    /// The runs that are running, with a description of how each started.
    std::map<FleetTaskId, std::map<RunKey, std::string>> m_running;
    std::map<FleetTaskId, std::vector<Completion>> m_completions;
    std::map<std::string, TimePoint> m_restartedAt;
    int m_startCount = 0;
    std::vector<std::string> m_violations;
};

} // namespace marjoramhaven::test
