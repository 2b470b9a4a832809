#include "marjoramhaven/ledger/JobTable.h"

namespace marjoramhaven {

JobTable::Shard &JobTable::shardOf(const std::string &id)
{
    return m_shards[std::hash<std::string>()(id) % ShardCount];
}

const JobTable::Shard &JobTable::shardOf(const std::string &id) const
{
    return m_shards[std::hash<std::string>()(id) % ShardCount];
}

bool JobTable::apply(const JobAccepted &record, std::int64_t offset)
{
    auto &shard = shardOf(record.spec.id);
    const std::lock_guard guard(shard.lock);
    const auto [it, isNew] = shard.jobs.try_emplace(record.spec.id);
    if (isNew) {
        it->second.spec = record.spec;
        it->second.homeZone = record.homeZone;
        it->second.fingerprint = record.spec.fingerprint();
        it->second.offset = offset;
    }
    return isNew;
}

bool JobTable::apply(const JobCancelled &record)
{
    auto &shard = shardOf(record.jobId);
    const std::lock_guard guard(shard.lock);
    const auto it = shard.jobs.find(record.jobId);
    if (it == shard.jobs.end() || it->second.cancelled) {
        return false;
    }
    it->second.cancelled = true;
    return true;
}

bool JobTable::apply(const TaskEnded &record)
{
    auto &shard = shardOf(record.jobId);
    const std::lock_guard guard(shard.lock);
    const auto it = shard.jobs.find(record.jobId);
    if (it == shard.jobs.end() || record.index < 0 || record.index >= it->second.spec.tasks) {
        return false;
    }
    return it->second.ended.try_emplace(record.index, TaskEnd {record.outcome, record.result}).second;
}

std::optional<JobEntry> JobTable::job(const std::string &id) const
{
    const auto &shard = shardOf(id);
    const std::lock_guard guard(shard.lock);
    const auto it = shard.jobs.find(id);
    if (it == shard.jobs.end()) {
        return std::nullopt;
    }
    return it->second;
}

bool JobTable::testJob(const std::string &id, const std::function<bool(const JobEntry &)> &predicate) const
{
    const auto &shard = shardOf(id);
    const std::lock_guard guard(shard.lock);
    const auto it = shard.jobs.find(id);
    return it != shard.jobs.end() && predicate(it->second);
}

bool JobTable::contains(const std::string &id) const
{
    return testJob(id, [](const JobEntry &) {
        return true;
    });
}

bool JobTable::isFinished(const std::string &id) const
{
    return testJob(id, [](const JobEntry &it) {
        return it.isFinished();
    });
}

bool JobTable::hasEnded(const std::string &id, int index) const
{
    return testJob(id, [index](const JobEntry &it) {
        return it.ended.contains(index);
    });
}

std::vector<std::string> JobTable::openJobs(const std::string &homeZone) const
{
    std::vector<std::string> out;
    forEach([&](const JobEntry &it) {
        if (it.homeZone == homeZone && !it.isFinished()) {
            out.push_back(it.spec.id);
        }
    });
    return out;
}

void JobTable::forEach(const std::function<void(const JobEntry &)> &visit) const
{
    for (const auto &shard : m_shards) {
        const std::lock_guard guard(shard.lock);
        for (const auto &[id, entry] : shard.jobs) {
            visit(entry);
        }
    }
}

std::size_t JobTable::size() const
{
    std::size_t n = 0;
    for (const auto &shard : m_shards) {
        const std::lock_guard guard(shard.lock);
        n += shard.jobs.size();
    }
    return n;
}

void JobTable::removeFinishedBefore(std::int64_t offset)
{
    for (auto &shard : m_shards) {
        const std::lock_guard guard(shard.lock);
        std::erase_if(shard.jobs, [offset](const auto &it) {
            return it.second.offset < offset && it.second.isFinished();
        });
    }
}

} // namespace marjoramhaven
