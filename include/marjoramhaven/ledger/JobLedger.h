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

/// The end of one task, as recorded.
struct TaskEnd {
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// A job as the log tells it.
struct JobEntry {
    JobSpec spec;
    std::string homeZone;
    std::uint64_t fingerprint = 0;
    /// Offset at which it was accepted.
    std::int64_t offset = -1;
    bool cancelled = false;
    /// Ends of tasks by index.
    std::unordered_map<int, TaskEnd> ended;

    /// True when every task has ended.
    bool isFinished() const { return static_cast<int>(ended.size()) >= spec.tasks; }
};

/// All jobs accepted anywhere, folded from the log. Held in shards, each under its own lock.
class JobLedger
{
public:
    /// Folds an acceptance. True when the job is new; a second record with the same id changes nothing.
    bool apply(const JobAccepted &record, std::int64_t offset);
    /// Folds a cancellation. True when the job was known and not cancelled before.
    bool apply(const JobCancelled &record);
    /// Folds the end of a task. True when the task had not ended before.
    bool apply(const TaskEnded &record);

    /// A copy of a job, or nothing.
    std::optional<JobEntry> job(const std::string &id) const;
    /// True when the job is known.
    bool contains(const std::string &id) const;
    /// True when the job is known and every task of it has ended.
    bool isFinished(const std::string &id) const;
    /// True when the end of this task is recorded.
    bool hasEnded(const std::string &id, int index) const;
    /// Ids of jobs with this home zone that are not finished.
    std::vector<std::string> openJobs(const std::string &homeZone) const;
    /// Calls for each job under its shard's lock.
    void forEach(const std::function<void(const JobEntry &)> &visit) const;
    /// Number of jobs known.
    std::size_t size() const;
    /// Drops finished jobs accepted before an offset.
    void removeFinishedBefore(std::int64_t offset);

private:
    static constexpr std::size_t ShardCount = 16;
    struct Shard {
        mutable std::mutex lock;
        std::unordered_map<std::string, JobEntry> jobs;
    };
    /// Asks about a job under its shard's lock, without a copy; false when it is not known.
    bool testJob(const std::string &id, const std::function<bool(const JobEntry &)> &predicate) const;
    Shard &shardOf(const std::string &id);
    const Shard &shardOf(const std::string &id) const;

    std::array<Shard, ShardCount> m_shards;
};

} // namespace marjoramhaven
