#include "SoakChecker.h"

#include <QDateTime>
#include <algorithm>

namespace marjoramhaven::test {

namespace {

// Every process must know an accepted job within this time after its acceptance.
constexpr Millis VisibleWithin {3000};
// A task may start this long before it is due.
constexpr std::int64_t EarlyStartToleranceMs = 250;

} // namespace

SoakChecker::SoakChecker(const WireStandIn &platform)
    : m_platform(platform)
{
}

void SoakChecker::addViolation(const std::string &description)
{
    m_violations.push_back(description);
}

std::size_t SoakChecker::workerIndex(const std::string &worker) const
{
    for (std::size_t i = 0; i < m_platform.workerCount(); ++i) {
        if (m_platform.worker(i).report().id == worker) {
            return i;
        }
    }
    return 0;
}

void SoakChecker::workerRestarted(const std::string &worker, TimePoint now)
{
    m_restartedAt[worker] = now;
}

bool SoakChecker::isStepDone(const std::string &job, int occurrence, int step) const
{
    const auto count = m_jobs.at(job).steps[static_cast<std::size_t>(step)];
    for (int i = 0; i < count; ++i) {
        if (!m_firstCompletions.contains({job, occurrence, step, i})) {
            return false;
        }
    }
    return true;
}

// Returns whether the scheduler may have missed the completion of a task: a worker that has restarted since, or whose lease has lapsed since, may
// not have reported it in time. The task may then run again.
bool SoakChecker::isCompletionLost(const FleetTaskId &task) const
{
    const auto &[worker, at] = m_firstCompletions.at(task);
    const auto restarted = m_restartedAt.find(worker);
    return m_platform.worker(workerIndex(worker)).leaseExpiredAt() >= at || (restarted != m_restartedAt.end() && restarted->second >= at);
}

void SoakChecker::handleRunEvent(const RunEvent &event)
{
    auto &running = m_running[event.task];
    if (event.kind == RunEvent::Kind::Ended) {
        running.erase(event.worker);
        if (event.end == RunEnd::Done) {
            m_firstCompletions.emplace(event.task, std::pair(event.worker, event.at));
        }
        return;
    }
    checkStart(event);
    running.insert(event.worker);
}

void SoakChecker::checkStart(const RunEvent &event)
{
    const auto name = event.task.toString() + " run " + std::to_string(event.attempt) + " on " + event.worker;
    ++m_startCount;
    m_startedJobs.insert(event.task.job);
    const auto job = m_jobs.find(event.task.job);
    const bool isSubmitted = job != m_jobs.end() && event.task.step < static_cast<int>(job->second.steps.size())
        && event.task.index < job->second.steps[static_cast<std::size_t>(event.task.step)] && event.task.occurrence < std::max(1, job->second.repeatCount);
    if (!isSubmitted) {
        addViolation("started a task that no caller submitted: " + name);
        return;
    }
    if (!m_running[event.task].empty()) {
        addViolation("started while another run of the same task was running: " + name);
    }
    if (m_firstCompletions.contains(event.task) && !isCompletionLost(event.task)) {
        addViolation("started again although the task had completed: " + name);
    }
    if (event.task.step > 0 && !isStepDone(event.task.job, event.task.occurrence, event.task.step - 1)) {
        addViolation("started before the preceding step had completed: " + name);
    }
    const auto dueUnixMs = job->second.firstDueUnixMs + event.task.occurrence * job->second.intervalMs;
    if (job->second.repeatCount > 0 && QDateTime::currentMSecsSinceEpoch() < dueUnixMs - EarlyStartToleranceMs) {
        addViolation("started before it was due: " + name);
    }
    const auto &worker = m_platform.worker(workerIndex(event.worker));
    const auto used = worker.used();
    const auto &capacity = worker.report().capacity;
    if (used.cpuMilli > capacity.cpuMilli || used.memoryMb > capacity.memoryMb) {
        addViolation("started beyond the capacity of the worker: " + name);
    }
}

void SoakChecker::checkReportedState(const std::string &id, int status, const std::string &state, TimePoint now)
{
    auto &job = m_jobs.at(id);
    if (status == 410 && job.isAccepted && now - job.acceptedAt > VisibleWithin) {
        addViolation("an accepted job was reported as not existing (status 410): " + id);
    }
    if (state == "completed") {
        job.isReportedCompleted = true;
        for (int occurrence = 0; occurrence < std::max(1, job.repeatCount); ++occurrence) {
            for (int i = 0; i < static_cast<int>(job.steps.size()); ++i) {
                if (!isStepDone(id, occurrence, i)) {
                    addViolation("reported as completed before all its tasks had completed: " + id);
                }
            }
        }
    }
    if (state == "failed" || (state == "cancelled" && !job.isCancelSent)) {
        addViolation("reported as " + state + " although no task failed and nobody cancelled it: " + id);
    }
}

void SoakChecker::processEndedUnexpectedly(const std::string &process)
{
    addViolation("a process ended without SIGKILL or SIGTERM: " + process);
}

void SoakChecker::finish()
{
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && !job.isCancelSent && !job.isReportedCompleted) {
            addViolation("an accepted job was not reported as completed in time: " + id);
        }
        if (!job.isAccepted && !job.mayBeStored && m_startedJobs.contains(id)) {
            addViolation("a job whose submissions were all refused has run: " + id);
        }
    }
    for (const auto &[task, workers] : m_running) {
        if (!workers.empty() && m_jobs[task.job].isCancelSent) {
            addViolation("a task of a cancelled job is still running: " + task.toString());
        }
    }
}

} // namespace marjoramhaven::test
