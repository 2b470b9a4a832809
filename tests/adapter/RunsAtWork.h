#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/standin/FleetWorkerModel.h"

namespace marjoramhaven::test {

/// The name of the task of a job that has only one.
inline std::string taskOf(const std::string &job)
{
    return job + ".0.0.0";
}

/// The runs that the workers themselves see, by the names of their tasks.
struct RunsAtWork {
    struct Run {
        std::string worker;
        std::int64_t attempt = 0;
        TimePoint startedAt {};
        std::optional<TimePoint> endedAt;
        RunEnd end = RunEnd::Done;
    };

    std::map<std::string, std::vector<Run>> runsOf;

    void record(const RunEvent &event)
    {
        const auto task = event.task.toString();
        auto &runs = runsOf[task];
        if (event.kind == RunEvent::Kind::Started) {
            runs.push_back({event.worker, event.attempt, event.at, std::nullopt, RunEnd::Done});
        }
        for (auto &it : runs) {
            if (event.kind == RunEvent::Kind::Ended && it.worker == event.worker && it.attempt == event.attempt && !it.endedAt) {
                it.endedAt = event.at;
                it.end = event.end;
            }
        }
        m_mostAtOnce[task] = std::max(m_mostAtOnce[task], countOf(task));
    }

    /// Returns how many runs of a task are at work.
    std::size_t countOf(const std::string &task) const
    {
        const auto it = runsOf.find(task);
        return it == runsOf.end() ? 0 : static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [](const Run &run) {
            return !run.endedAt;
        }));
    }

    /// Returns the largest number of runs of a task that have been at work at the same time.
    std::size_t mostAtOnceOf(const std::string &task) const
    {
        const auto it = m_mostAtOnce.find(task);
        return it == m_mostAtOnce.end() ? 0 : it->second;
    }

private:
    std::map<std::string, std::size_t> m_mostAtOnce;
};

} // namespace marjoramhaven::test
