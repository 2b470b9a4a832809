#include "marjoramhaven/fleet/FleetJobState.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

// Number of workers per advisor request on which the objectives of jobs are based.
constexpr double AdvisedWorkersPerStep = 30;
constexpr double MillisPerSecond = 1000;

double adviceMs(const QueuePolicy &queue)
{
    return queue.needsAdvice ? queue.adviceBaseMs + AdvisedWorkersPerStep * queue.advicePerWorkerMs : 0;
}

// Returns the longest sum of estimated durations, including advisor requests, along the dependencies between steps.
double criticalPathMs(const FleetJobRequest &request)
{
    std::vector<double> ends;
    double longest = 0;
    for (const auto &it : request.steps) {
        double begin = 0;
        for (const auto before : it.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(before)]);
        }
        ends.push_back(begin + adviceMs(request.queue) + static_cast<double>(it.estimateMs));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

double totalWorkCoreMs(const FleetJobRequest &request)
{
    double out = 0;
    for (const auto &it : request.steps) {
        out += static_cast<double>(it.taskCount) * static_cast<double>(it.needs.cpuMilli) * static_cast<double>(it.estimateMs) / MillisPerSecond;
    }
    return out * std::max(1, request.repeatCount);
}

} // namespace

bool FleetOccurrence::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const FleetStep &it) {
        return it.isDone();
    });
}

bool FleetOccurrence::isReady(const StepSpec &step) const
{
    return std::all_of(step.after.begin(), step.after.end(), [this](int it) {
        return steps[static_cast<std::size_t>(it)].isDone();
    });
}

FleetJob::FleetJob(FleetJobRequest request, TimePoint acceptedAt)
    : m_request(std::move(request))
    , m_acceptedAt(acceptedAt)
    , m_criticalPath(static_cast<std::int64_t>(criticalPathMs(m_request)))
    , m_workCoreMs(totalWorkCoreMs(m_request))
{
    // A configuration may hold any factor; the bound keeps sums of times within their type.
    constexpr double MaxScaledMs = 1e15;
    const auto scaledMs = std::min(MaxScaledMs, m_request.queue.slackFactor * static_cast<double>(m_criticalPath.count()));
    m_softDeadline = acceptedAt + Millis(static_cast<std::int64_t>(scaledMs) + m_request.queue.objectiveMs);
}

FleetOccurrence &FleetJob::occurrence(int number)
{
    const auto found = m_occurrences.find(number);
    if (found != m_occurrences.end()) {
        return found->second;
    }
    FleetOccurrence out;
    out.steps.resize(m_request.steps.size());
    for (std::size_t step = 0; step < m_request.steps.size(); ++step) {
        auto &tasks = out.steps[step].tasks;
        tasks.resize(static_cast<std::size_t>(m_request.steps[step].taskCount));
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            tasks[index].id = {m_request.id, number, static_cast<int>(step), static_cast<int>(index)};
        }
    }
    return m_occurrences.emplace(number, std::move(out)).first->second;
}

FleetStep *FleetJob::findStep(int occurrence, int step)
{
    const auto it = m_occurrences.find(occurrence);
    if (it == m_occurrences.end() || step < 0 || step >= static_cast<int>(it->second.steps.size())) {
        return nullptr;
    }
    return &it->second.steps[static_cast<std::size_t>(step)];
}

FleetTask *FleetJob::find(const FleetTaskId &id)
{
    auto *step = findStep(id.occurrence, id.step);
    if (step == nullptr || id.index < 0 || id.index >= static_cast<int>(step->tasks.size())) {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(id.index)];
}

void FleetJob::createDueOccurrences(std::int64_t nowUnixMs)
{
    while (m_nextOccurrence < m_request.repeatCount && nowUnixMs >= m_request.firstDueUnixMs + m_nextOccurrence * m_request.repeatIntervalMs) {
        occurrence(m_nextOccurrence);
        ++m_nextOccurrence;
    }
}

void FleetJob::restore(const JobRecord &record)
{
    state = record.state;
    storedState = record.state;
    for (const auto &it : record.tasks) {
        if (it.occurrence < 0 || it.occurrence >= std::max(1, m_request.repeatCount)) {
            continue;
        }
        occurrence(it.occurrence);
        auto *task = find({m_request.id, it.occurrence, it.step, it.index});
        if (task == nullptr) {
            continue;
        }
        task->lastAttempt = it.lastAttempt;
        task->failedAttempts.insert(it.failedAttempts.begin(), it.failedAttempts.end());
        task->checkpoint = it.checkpoint;
        if (it.isDone && !task->isDone) {
            task->isDone = true;
            ++findStep(it.occurrence, it.step)->doneCount;
        }
        for (const auto &run : it.runs) {
            task->activeAttempts.push_back(run.attempt);
        }
    }
}

JobRecord FleetJob::record(const RunLocator &locateRun) const
{
    JobRecord out;
    out.job = m_request.id;
    out.state = state;
    for (const auto &[number, occurrence] : m_occurrences) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step.tasks) {
                if (task.lastAttempt == 0 && !task.isDone) {
                    continue;
                }
                TaskRecord row {number, task.id.step, task.id.index, task.lastAttempt, {}, task.isDone, task.checkpoint, {}};
                row.failedAttempts.assign(task.failedAttempts.begin(), task.failedAttempts.end());
                for (const auto attempt : task.activeAttempts) {
                    auto [worker, startedUnixMs] = locateRun(task.id, attempt);
                    row.runs.push_back({attempt, std::move(worker), startedUnixMs});
                }
                out.tasks.push_back(std::move(row));
            }
        }
    }
    return out;
}

bool FleetJob::hasFinishedAllOccurrences() const
{
    const auto wanted = static_cast<std::size_t>(std::max(1, m_request.repeatCount));
    return m_occurrences.size() >= wanted && std::all_of(m_occurrences.begin(), m_occurrences.end(), [](const auto &it) {
               return it.second.isDone();
           });
}

void FleetJob::releaseTasks()
{
    m_occurrences.clear();
    m_request.payload.clear();
    m_request.payload.shrink_to_fit();
}

} // namespace marjoramhaven
