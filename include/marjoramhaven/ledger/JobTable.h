#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "marjoramhaven/ledger/LogRecord.h"

namespace marjoramhaven {

/// The recorded end of one task.
struct TaskEnd {
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// The state of one job, as recorded in the log.
struct JobEntry {
    JobSpec spec;
    /// The zone whose leader runs the job.
    std::string homeZone;
    std::uint64_t fingerprint = 0;
    /// Log offset of the record that accepted the job.
    std::int64_t offset = -1;
    bool cancelled = false;
    /// Recorded ends of tasks, by task index.
    std::unordered_map<int, TaskEnd> ended;

    /// Returns true when every task has ended.
    bool isFinished() const { return static_cast<int>(ended.size()) >= spec.tasks; }
};

/// The accepted jobs of all zones, as recorded in the log. Thread-safe; jobs are spread over shards with one lock each.
class JobTable
{
public:
    /// Applies the acceptance of a job. Returns true when the job is new; a second record with the same id changes nothing.
    bool apply(const JobAccepted &record, std::int64_t offset);
    /// Applies a cancellation. Returns true when the job was known and not cancelled before.
    bool apply(const JobCancelled &record);
    /// Applies the end of a task. Returns true when the task exists and had not ended before.
    bool apply(const TaskEnded &record);

    /// Returns a copy of a job, or std::nullopt when the job is not known.
    std::optional<JobEntry> job(const std::string &id) const;
    /// Returns true when the job is known.
    bool contains(const std::string &id) const;
    /// Returns true when the job is known and all its tasks have ended.
    bool isFinished(const std::string &id) const;
    /// Returns true when the end of this task is recorded.
    bool hasEnded(const std::string &id, int index) const;
    /// Returns the ids of unfinished jobs whose home is this zone.
    std::vector<std::string> openJobs(const std::string &homeZone) const;
    /// Calls `visit` for each job while holding the lock of the job's shard.
    void forEach(const std::function<void(const JobEntry &)> &visit) const;
    /// Returns the number of known jobs.
    std::size_t size() const;
    /// Removes finished jobs that were accepted before a log offset.
    void removeFinishedBefore(std::int64_t offset);

private:
    static constexpr std::size_t ShardCount = 16;
    struct Shard {
        mutable std::mutex lock;
        std::unordered_map<std::string, JobEntry> jobs;
    };
    /// Evaluates a predicate on a job in place while holding the shard's lock, which avoids a copy. Returns false when the job is not known.
    bool testJob(const std::string &id, const std::function<bool(const JobEntry &)> &predicate) const;
    Shard &shardOf(const std::string &id);
    const Shard &shardOf(const std::string &id) const;

    std::array<Shard, ShardCount> m_shards;
};

} // namespace marjoramhaven
