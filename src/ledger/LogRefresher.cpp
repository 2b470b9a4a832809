#include "marjoramhaven/ledger/LogRefresher.h"

namespace marjoramhaven {

LogRefresher::LogRefresher(Millis interval, TimePoint now)
    : m_interval(interval)
    , m_dueAt(now + interval)
{
}

void LogRefresher::refresh(const ReplicatedState &state, const std::string &zone, LogAppender &appender, TimePoint now)
{
    m_dueAt = now + m_interval;
    if (!state.isCaughtUp()) {
        return;
    }
    const auto current = state.configuration().current();
    if (current.number > 0) {
        appender.add(ConfigurationSnapshot {current, state.nextOffset()});
    }
    for (const auto &id : state.jobs().openJobs(zone)) {
        const auto job = state.jobs().job(id);
        if (!job) {
            continue;
        }
        appender.add(JobAccepted {job->spec, job->homeZone});
        for (const auto &[index, end] : job->ended) {
            appender.add(TaskEnded {id, index, end.outcome, end.result});
        }
        if (job->cancelled) {
            appender.add(JobCancelled {id});
        }
    }
}

} // namespace marjoramhaven
