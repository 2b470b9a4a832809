#include "marjoramhaven/ledger/LogRefresher.h"

namespace marjoramhaven {

LogRefresher::LogRefresher(Millis every, TimePoint now)
    : m_every(every)
    , m_dueAt(now + every)
{
}

void LogRefresher::refresh(const LogFold &fold, const std::string &zone, LogAppender &appender, TimePoint now)
{
    m_dueAt = now + m_every;
    if (!fold.isCaughtUp()) {
        return;
    }
    const auto current = fold.configuration().current();
    if (current.number > 0) {
        appender.add(ConfigurationSnapshot {current, fold.nextOffset()});
    }
    for (const auto &id : fold.jobs().openJobs(zone)) {
        const auto job = fold.jobs().job(id);
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
