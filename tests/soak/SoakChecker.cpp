#include "SoakChecker.h"

#include <algorithm>

namespace marjoramhaven::test {

namespace {

// An accepted job must be known to every process within this time.
constexpr Millis VisibleWithin {3000};

} // namespace

SoakChecker::SoakChecker(const WireStandIn &platform)
    : m_platform(platform)
{
}

void SoakChecker::add(const std::string &what)
{
    m_broken.push_back(what);
}

std::size_t SoakChecker::numberOf(const std::string &worker) const
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

bool SoakChecker::isStepDone(const std::string &job, int step) const
{
    const auto count = m_jobs.at(job).steps[static_cast<std::size_t>(step)];
    for (int i = 0; i < count; ++i) {
        if (!m_done.contains({job, 0, step, i})) {
            return false;
        }
    }
    return true;
}

// A worker that started anew, or whose lease has lapsed, has nothing that its ends could be learnt from in time.
bool SoakChecker::isDoneForgotten(const FleetTaskId &task) const
{
    const auto &[worker, at] = m_done.at(task);
    const auto restarted = m_restartedAt.find(worker);
    return m_platform.worker(numberOf(worker)).lapsedAt() >= at || (restarted != m_restartedAt.end() && restarted->second >= at);
}

void SoakChecker::runChanged(const RunEvent &event)
{
    auto &running = m_running[event.task];
    if (event.kind == RunEvent::Kind::Ended) {
        running.erase(event.worker);
        if (event.end == RunEnd::Done) {
            m_done.emplace(event.task, std::pair(event.worker, event.at));
        }
        return;
    }
    checkBegin(event);
    running.insert(event.worker);
}

void SoakChecker::checkBegin(const RunEvent &event)
{
    const auto name = event.task.toString() + " run " + std::to_string(event.attempt) + " on " + event.worker;
    ++m_beginCount;
    m_begunJobs.insert(event.task.job);
    const auto job = m_jobs.find(event.task.job);
    const bool isAsked = job != m_jobs.end() && event.task.step < static_cast<int>(job->second.steps.size())
        && event.task.index < job->second.steps[static_cast<std::size_t>(event.task.step)];
    if (!isAsked) {
        add("started what nobody submitted: " + name);
        return;
    }
    if (!m_running[event.task].empty()) {
        add("in two places at once: " + name);
    }
    if (m_done.contains(event.task) && !isDoneForgotten(event.task)) {
        add("started again after it was done: " + name);
    }
    if (event.task.step > 0 && !isStepDone(event.task.job, event.task.step - 1)) {
        add("started before its turn: " + name);
    }
    const auto &worker = m_platform.worker(numberOf(event.worker));
    const auto used = worker.used();
    const auto &capacity = worker.report().capacity;
    if (used.cpuMilli > capacity.cpuMilli || used.memoryMb > capacity.memoryMb) {
        add("overcommitted: " + name);
    }
}

void SoakChecker::stateTold(const std::string &id, int status, const std::string &state, TimePoint now)
{
    auto &job = m_jobs.at(id);
    if (status == 410 && job.isAccepted && now - job.acceptedAt > VisibleWithin) {
        add("an accepted job is said not to exist: " + id);
    }
    if (state == "completed") {
        job.isSeenCompleted = true;
        for (int i = 0; i < static_cast<int>(job.steps.size()); ++i) {
            if (!isStepDone(id, i)) {
                add("told as completed too early: " + id);
            }
        }
    }
    if (state == "failed" || (state == "cancelled" && !job.isCancelSent)) {
        add("told as " + state + " without cause: " + id);
    }
}

void SoakChecker::ended(const std::string &process)
{
    add("a process ended by itself: " + process);
}

void SoakChecker::finish()
{
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && !job.isCancelSent && !job.isSeenCompleted) {
            add("an accepted job was not completed in time: " + id);
        }
        if (!job.isAccepted && !job.mayBeStored && m_begunJobs.contains(id)) {
            add("a job that was refused has run: " + id);
        }
    }
    for (const auto &[task, workers] : m_running) {
        if (!workers.empty() && m_jobs[task.job].isCancelSent) {
            add("a cancelled task runs on: " + task.toString());
        }
    }
}

} // namespace marjoramhaven::test
