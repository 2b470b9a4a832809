#include <algorithm>

#include "FakeFleetPlanner.h"

namespace marjoramhaven::test {

namespace {

std::string stepOf(const FleetTaskId &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

} // namespace

void FakeFleet::checkStoredProgress(const FleetPlanner &planner)
{
    // The answer to an append may reach a process long after another has taken over.
    if (planner.hasUnstoredChanges() || planner.fencingToken() != m_writerFence) {
        return;
    }
    std::map<std::string, std::map<FleetTaskId, std::string>> stored;
    for (const auto &[key, record] : m_records) {
        for (const auto &it : record.tasks) {
            stored[record.job][{record.job, it.occurrence, it.step, it.index}] = encodeJobRecord({record.job, {}, {it}, 0});
        }
    }
    for (const auto &[id, request] : m_requests) {
        std::map<FleetTaskId, std::string> expected;
        for (const auto &it : planner.progressOf(id).value_or(JobRecord {}).tasks) {
            expected[{id, it.occurrence, it.step, it.index}] = encodeJobRecord({id, {}, {it}, 0});
        }
        if (stored[id] != expected) {
            m_violations.push_back("stored progress of " + id + " is outdated");
        }
    }
}

void FakeFleet::checkSpread(const RunEvent &start)
{
    const auto &id = start.task;
    const auto &spec = m_requests.at(id.job).steps[static_cast<std::size_t>(id.step)];
    int count = 1;
    for (const auto &[task, runs] : m_runningNow) {
        const bool isSameStep = task.job == id.job && task.occurrence == id.occurrence && task.step == id.step;
        count += static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto &run) {
            return isSameStep && run.first == start.worker;
        }));
    }
    if (spec.maxPerWorker > 0 && count > spec.maxPerWorker) {
        m_violations.push_back("too many tasks of one step on " + start.worker + ": " + id.toString());
    }
}

void FakeFleet::checkCapacity()
{
    for (const auto &it : m_workers) {
        const auto used = it->used();
        const auto &room = it->report().capacity;
        if (used.cpuMilli > room.cpuMilli || used.memoryMb > room.memoryMb || used.gpus > room.gpus) {
            m_violations.push_back("overcommitted " + it->report().id);
        }
    }
}

void FakeFleet::checkGangs()
{
    for (const auto &it : m_workers) {
        for (const auto &[task, attempt] : it->runs()) {
            const auto &spec = m_requests.at(task.job).steps[static_cast<std::size_t>(task.step)];
            int present = 0;
            for (const auto &other : m_workers) {
                present += spec.isGang ? other->gangMemberCount(task, attempt) : 0;
            }
            for (const auto &other : m_workers) {
                if (spec.isGang && present == spec.taskCount) {
                    other->completeGang(task, attempt);
                } else if (spec.isGang) {
                    other->breakGang(task, attempt, m_now);
                }
            }
        }
    }
}

void FakeFleet::recordEnd(const RunEvent &event)
{
    const auto i = static_cast<std::size_t>(std::stoi(event.worker.substr(1)));
    const auto startedUnixMs = m_workers[i]->report().startedUnixMs;
    auto &last = m_lastEnds[i];
    last = {startedUnixMs, last.first == startedUnixMs ? last.second + 1 : 1};
    if (event.end == RunEnd::Done) {
        m_doneRuns[event.task].push_back({i, event.at, startedUnixMs, last.second});
    }
}

void FakeFleet::recordStartAfterEnds(const FleetTaskId &task)
{
    for (auto &it : m_doneRuns[task]) {
        if (it.isAcknowledged) {
            m_startsAfterAcknowledgedEnds.push_back(task.toString());
        }
        it.hasStartedSince = true;
    }
}

PollWorkerResponse FakeFleet::pollWorker(std::size_t worker, const PollWorkerRequest &request)
{
    auto &model = *m_workers[worker];
    auto out = model.poll(request, m_now);
    for (auto &[task, runs] : m_doneRuns) {
        for (auto &it : runs) {
            const bool isReached = out.outcome == WorkerCallOutcome::Done && it.worker == worker && it.startedUnixMs == model.report().startedUnixMs
                && it.number <= request.acknowledged && model.leaseExpiredAt() < it.at;
            if (isReached && !it.isAcknowledged && it.hasStartedSince) {
                m_startsAfterAcknowledgedEnds.push_back(task.toString());
            }
            it.isAcknowledged = it.isAcknowledged || isReached;
        }
    }
    return out;
}

void FakeFleet::recordRunEvent(const RunEvent &event)
{
    const auto name = event.task.toString();
    auto &running = m_runningNow[event.task];
    const std::pair run(event.worker, event.attempt);
    if (event.kind == RunEvent::Kind::Ended) {
        running.erase(run);
        m_eventLog.write(
            "ended",
            {{"task", name}, {"attempt", event.attempt}, {"worker", event.worker}, {"end", std::string(nameOf(event.end))}, {"now", millisOf(event.at)}});
        m_ends.push_back(event);
        recordEnd(event);
        if (event.end == RunEnd::Done) {
            m_done.emplace(event.task, std::pair(event.worker, event.at));
        }
        // A gang may time out only in simulations with faults.
        if (event.end == RunEnd::GangTimedOut && !m_hasFaults) {
            m_violations.push_back("gang timed out without any fault: " + name);
        }
        return;
    }
    const auto &request = m_requests.at(event.task.job);
    const auto &spec = request.steps[static_cast<std::size_t>(event.task.step)];
    if (!running.empty() && !spec.allowsSpeculation) {
        m_violations.push_back("two runs at once of " + name);
    }
    // The task must not start again once it is done, unless its end was not reported before its worker's lease expired or the worker restarted.
    const auto done = m_done.find(event.task);
    // A speculative run may start until the planner knows that the task is done, which an unresponsive worker can't report.
    const bool mayBeSpeculative = done != m_done.end() && spec.allowsSpeculation
        && (m_isUnresponsive[static_cast<std::size_t>(std::stoi(done->second.first.substr(1)))] || m_now - done->second.second < Millis(1000));
    if (done != m_done.end() && !mayBeSpeculative && !areEndsLost(done->second.first, done->second.second)) {
        m_violations.push_back("started again after it was done: " + name);
    }
    if (!spec.allowsSpeculation) {
        recordStartAfterEnds(event.task);
    }
    for (const auto before : spec.after) {
        for (int i = 0; i < request.steps[static_cast<std::size_t>(before)].taskCount; ++i) {
            if (!m_done.contains({event.task.job, event.task.occurrence, before, i})) {
                m_violations.push_back("started before " + stepOf(event.task) + " was ready: " + name);
            }
        }
    }
    checkSpread(event);
    const auto failures = endsOf(name, RunEnd::Failed);
    if (!spec.isLongRunning && failures >= queue.maxAttempts) {
        m_violations.push_back("started after its last attempt: " + name);
    }
    m_eventLog.write("begun", {{"task", name}, {"attempt", event.attempt}, {"worker", event.worker}, {"now", millisOf(event.at)}});
    running.insert(run);
    m_starts.push_back(event);
}

} // namespace marjoramhaven::test
