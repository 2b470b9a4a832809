#include "marjoramhaven/fleet/FleetJob.h"

#include <algorithm>
#include <charconv>
#include <numeric>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

// No job id contains this character.
constexpr char PartSeparator = '/';

} // namespace

std::size_t FleetResources::timesIn(const FleetResources &room) const
{
    constexpr std::int64_t Unlimited = 1000;
    const auto times = [](std::int64_t available, std::int64_t need) {
        return need <= 0 ? Unlimited : std::max<std::int64_t>(0, available / need);
    };
    return static_cast<std::size_t>(std::min({times(room.cpuMilli, cpuMilli), times(room.memoryMb, memoryMb), times(room.gpus, gpus)}));
}

void FleetConfiguration::add(QueuePolicy queue)
{
    auto &entry = m_queues[queue.host][queue.prefix];
    const auto replaced = m_places.find(entry.name);
    if (replaced != m_places.end() && replaced->second == std::pair(queue.host, queue.prefix)) {
        m_places.erase(replaced);
    }
    m_places[queue.name] = {queue.host, queue.prefix};
    entry = std::move(queue);
}

const QueuePolicy *FleetConfiguration::route(const std::string &host, const std::string &path) const
{
    const auto queues = m_queues.find(host);
    if (queues == m_queues.end()) {
        return nullptr;
    }
    // Takes the last prefix that does not sort after the rest of the path. If it is no match, no longer match exists than its common part with the rest.
    std::string rest = path;
    while (true) {
        auto it = queues->second.upper_bound(rest);
        if (it == queues->second.begin()) {
            return nullptr;
        }
        --it;
        if (rest.starts_with(it->first)) {
            return &it->second;
        }
        const auto common = std::mismatch(rest.begin(), rest.end(), it->first.begin(), it->first.end());
        rest.erase(common.first, rest.end());
    }
}

const QueuePolicy *FleetConfiguration::find(const std::string &host, const std::string &prefix) const
{
    const auto queues = m_queues.find(host);
    if (queues == m_queues.end()) {
        return nullptr;
    }
    const auto it = queues->second.find(prefix);
    return it == queues->second.end() ? nullptr : &it->second;
}

const QueuePolicy *FleetConfiguration::findAgain(const QueuePolicy &earlier) const
{
    const auto *samePlace = find(earlier.host, earlier.prefix);
    if (samePlace != nullptr && samePlace->name == earlier.name) {
        return samePlace;
    }
    const auto it = m_places.find(earlier.name);
    return it == m_places.end() ? nullptr : find(it->second.first, it->second.second);
}

std::size_t FleetConfiguration::queueCount() const
{
    return std::accumulate(m_queues.begin(), m_queues.end(), std::size_t(0), [](std::size_t sum, const auto &it) {
        return sum + it.second.size();
    });
}

bool isValidRequest(const FleetJobRequest &request)
{
    // A planner on a small VM holds the tasks of many jobs.
    constexpr std::int64_t MaxTasks = 50'000;
    constexpr std::size_t MaxSteps = 1'000;
    constexpr std::int64_t MaxMillis = 1LL << 40;
    constexpr std::int64_t MaxUnixMs = 1LL << 50;
    const auto reject = [](const char *reason) {
        setLastReason(reason);
        return false;
    };
    if (request.steps.empty() || request.steps.size() > MaxSteps) {
        return reject("a job has from 1 to 1000 steps");
    }
    std::int64_t tasks = 0;
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        const auto &step = request.steps[i];
        const auto isEarlier = [i](int it) {
            return it >= 0 && static_cast<std::size_t>(it) < i;
        };
        const auto &needs = step.needs;
        if (step.taskCount < 1 || step.taskCount > MaxTasks || !std::all_of(step.after.begin(), step.after.end(), isEarlier)) {
            return reject("a step has no tasks, too many tasks, or depends on a step that is not earlier");
        }
        if (std::min({needs.cpuMilli, needs.memoryMb, needs.gpus, step.estimateMs}) < 0 || step.estimateMs > MaxMillis) {
            return reject("a step's needs or its estimated duration are out of range");
        }
        tasks += step.taskCount;
    }
    if (request.repeatCount < 0 || request.repeatCount > MaxTasks || tasks * std::max(1, request.repeatCount) > MaxTasks) {
        return reject("a job has at most 50000 tasks in all its repetitions");
    }
    if (request.firstDueUnixMs < 0 || request.firstDueUnixMs > MaxUnixMs || request.repeatIntervalMs < 0 || request.repeatIntervalMs > MaxMillis) {
        return reject("the due time or the interval of a repeated job is out of range");
    }
    return true;
}

std::string progressKey(const std::string &job, int part)
{
    return part == 0 ? job : job + PartSeparator + std::to_string(part);
}

std::string jobOfProgressKey(const std::string &key)
{
    return key.substr(0, key.find(PartSeparator));
}

std::string FleetTaskId::toString() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
}

std::optional<FleetTaskId> FleetTaskId::parse(const std::string &text)
{
    FleetTaskId out;
    const auto first = text.find('.');
    if (first == std::string::npos || first == 0) {
        setLastReason("invalid task id, expected JOB.OCCURRENCE.STEP.INDEX: " + text);
        return std::nullopt;
    }
    out.job = text.substr(0, first);
    const char *at = text.data() + first + 1;
    const char *end = text.data() + text.size();
    int *const parts[] = {&out.occurrence, &out.step, &out.index};
    for (std::size_t i = 0; i < std::size(parts); ++i) {
        const auto [rest, ec] = std::from_chars(at, end, *parts[i]);
        const bool isLast = i + 1 == std::size(parts);
        if (ec != std::errc() || (isLast ? rest != end : rest == end || *rest != '.')) {
            setLastReason("invalid task id, expected JOB.OCCURRENCE.STEP.INDEX: " + text);
            return std::nullopt;
        }
        at = rest + 1;
    }
    return out;
}

} // namespace marjoramhaven
