#include "marjoramhaven/fleet/FleetJobState.h"

#include <algorithm>
#include <iterator>

namespace marjoramhaven {

namespace {

// Number of workers per advisor request on which the objectives of jobs are based.
constexpr double AdvisedWorkersPerStep = 30;
constexpr double MillisPerSecond = 1000;
// More than any configuration allows.
constexpr int MaxOlderFailures = 1'000'000;

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

FleetJob::FleetJob(FleetJobRequest request, TimePoint acceptedAt, int tasksPerPart)
    : m_request(std::move(request))
    , m_tasksPerPart(tasksPerPart)
    , m_acceptedAt(acceptedAt)
    , m_criticalPath(static_cast<std::int64_t>(criticalPathMs(m_request)))
    , m_workCoreMs(totalWorkCoreMs(m_request))
{
    // A configuration may hold any factor; the bound keeps sums of times within their type.
    constexpr double MaxScaledMs = 1e15;
    const auto scaledMs = std::min(MaxScaledMs, m_request.queue.slackFactor * static_cast<double>(m_criticalPath.count()));
    m_softDeadline = acceptedAt + Millis(static_cast<std::int64_t>(scaledMs) + m_request.queue.objectiveMs);
    for (const auto &it : m_request.steps) {
        m_stepOffsets.push_back(m_tasksPerOccurrence);
        m_tasksPerOccurrence += it.taskCount;
    }
    m_tasksPerOccurrence = std::max(1, m_tasksPerOccurrence);
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

bool FleetJob::restore(const JobRecord &record)
{
    if (record.part == 0) {
        state = record.state;
        storedState = record.state;
        m_writtenState = record.state;
    } else {
        m_storedParts.insert(record.part);
        if (m_isRestoredWhole) {
            return false;
        }
    }
    for (const auto &it : record.tasks) {
        if (it.occurrence < 0 || it.occurrence >= std::max(1, m_request.repeatCount)) {
            continue;
        }
        occurrence(it.occurrence);
        auto *task = find({m_request.id, it.occurrence, it.step, it.index});
        if (task == nullptr) {
            continue;
        }
        m_isRestoredWhole = m_isRestoredWhole || (record.part == 0 && partOf(task->id) != 0);
        task->lastAttempt = it.lastAttempt;
        task->olderFailures = std::clamp(it.olderFailures, 0, MaxOlderFailures);
        for (const auto attempt : it.failedAttempts) {
            task->addFailure(attempt);
        }
        task->checkpoint = it.checkpoint;
        hasBegun = hasBegun || it.isDone || task->failureCount() > 0 || !it.checkpoint.empty();
        if (it.isDone && !task->isDone) {
            task->isDone = true;
            ++findStep(it.occurrence, it.step)->doneCount;
        }
        for (const auto &run : it.runs) {
            task->activeAttempts.push_back(run.attempt);
        }
    }
    if (m_isRestoredWhole && record.part == 0) {
        markAllChanged();
    }
    return true;
}

void FleetJob::alignGangs()
{
    for (auto &[number, occurrence] : m_occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            auto &step = occurrence.steps[i];
            if (!m_request.steps[i].isGang || step.tasks.empty()) {
                continue;
            }
            const auto newest = *std::max_element(step.tasks.begin(), step.tasks.end(), [](const FleetTask &a, const FleetTask &b) {
                return a.lastAttempt < b.lastAttempt;
            });
            // One member that is done ends the gang.
            const bool isDone = step.doneCount > 0;
            const auto checkpoint = isDone ? std::string() : newest.checkpoint;
            const bool areAligned = std::all_of(step.tasks.begin(), step.tasks.end(), [&](const FleetTask &it) {
                return it.isDone == isDone && it.checkpoint == checkpoint && it.failureCount() == newest.failureCount();
            });
            if (areAligned) {
                continue;
            }
            markStepChanged(number, static_cast<int>(i));
            for (auto &task : step.tasks) {
                task.isDone = isDone;
                task.checkpoint = checkpoint;
                task.failedAttempts = newest.failedAttempts;
                task.olderFailures = newest.olderFailures;
            }
            step.doneCount = isDone ? static_cast<int>(step.tasks.size()) : 0;
        }
    }
}

int FleetJob::partOf(const FleetTaskId &task) const
{
    return (task.occurrence * m_tasksPerOccurrence + m_stepOffsets[static_cast<std::size_t>(task.step)] + task.index) / m_tasksPerPart;
}

int FleetJob::partCount() const
{
    const int occurrences = m_occurrences.empty() ? 0 : m_occurrences.rbegin()->first + 1;
    return (occurrences * m_tasksPerOccurrence + m_tasksPerPart - 1) / m_tasksPerPart;
}

void FleetJob::markChanged(const FleetTaskId &task)
{
    m_changedParts.insert(partOf(task));
}

void FleetJob::markStepChanged(int occurrence, int step)
{
    const auto last = m_request.steps[static_cast<std::size_t>(step)].taskCount - 1;
    const int end = partOf({m_request.id, occurrence, step, last});
    for (int part = partOf({m_request.id, occurrence, step, 0}); part <= end; ++part) {
        m_changedParts.insert(part);
    }
}

void FleetJob::markAllChanged()
{
    m_writtenState.reset();
    for (int part = 0; part < partCount(); ++part) {
        m_changedParts.insert(part);
    }
}

bool FleetJob::hasChanges() const
{
    return !m_changedParts.empty() || m_writtenState.value_or(FleetJobState::Queued) != state || (m_isReleased && !m_storedParts.empty());
}

void FleetJob::appendRow(std::vector<TaskRecord> &rows, const FleetTask &task, const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp)
{
    if (task.lastAttempt == 0 && !task.isDone) {
        return;
    }
    const auto &id = task.id;
    TaskRecord row {id.occurrence, id.step, id.index, task.lastAttempt, {}, task.isDone, task.checkpoint, {}, task.olderFailures, {}};
    row.failedAttempts.assign(task.failedAttempts.begin(), task.failedAttempts.end());
    for (const auto attempt : task.activeAttempts) {
        row.runs.push_back(locateRun(id, attempt));
    }
    if (locateGivenUp && !task.isDone) {
        row.givenUpStarts = locateGivenUp(id);
    }
    rows.push_back(std::move(row));
}

JobRecord FleetJob::record(const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp) const
{
    JobRecord out {m_request.id, state, {}, 0};
    for (const auto &[number, occurrence] : m_occurrences) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step.tasks) {
                appendRow(out.tasks, task, locateRun, locateGivenUp);
            }
        }
    }
    return out;
}

JobRecord FleetJob::partRecord(int part, const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp) const
{
    JobRecord out {m_request.id, state, {}, part};
    const int end = (part + 1) * m_tasksPerPart;
    for (int number = part * m_tasksPerPart; number < end; ++number) {
        const auto occurrence = m_occurrences.find(number / m_tasksPerOccurrence);
        if (occurrence == m_occurrences.end()) {
            continue;
        }
        const int rest = number % m_tasksPerOccurrence;
        const auto step = std::prev(std::upper_bound(m_stepOffsets.begin(), m_stepOffsets.end(), rest));
        const auto &tasks = occurrence->second.steps[static_cast<std::size_t>(step - m_stepOffsets.begin())].tasks;
        appendRow(out.tasks, tasks[static_cast<std::size_t>(rest - *step)], locateRun, locateGivenUp);
    }
    return out;
}

JobProgress FleetJob::takeProgress(const RunLocator &locateRun, const GivenUpStartLocator &locateGivenUp)
{
    JobProgress out;
    for (const auto part : m_changedParts) {
        auto record = part == 0 ? JobRecord() : partRecord(part, locateRun, locateGivenUp);
        if (!record.tasks.empty() || m_storedParts.contains(part)) {
            m_storedParts.insert(part);
            out.records.push_back(std::move(record));
        }
    }
    // Part 0 comes last: one that holds all tasks must not be replaced before the other parts are stored.
    if (m_changedParts.contains(0) || m_writtenState != state) {
        out.records.push_back(partRecord(0, locateRun, locateGivenUp));
        m_writtenState = state;
    }
    m_changedParts.clear();
    if (m_isReleased) {
        for (const auto part : m_storedParts) {
            out.deletedKeys.push_back(progressKey(m_request.id, part));
        }
        m_storedParts.clear();
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
    if (!m_changedParts.empty() || !m_occurrences.empty()) {
        m_changedParts = {0};
    }
    m_occurrences.clear();
    m_isReleased = true;
    m_request.payload.clear();
    m_request.payload.shrink_to_fit();
}

} // namespace marjoramhaven
