#include <algorithm>
#include <iterator>

#include "marjoramhaven/fleetnode/PlannerHost.h"

namespace marjoramhaven {

namespace {

constexpr Millis LoadTimeout {2000};
// Decisions that are made within this time share one append.
constexpr Millis MinStoreInterval {12};
constexpr Millis StoreTimeout {1200};
constexpr Millis RetryPause {60};
// A link of 2 Mbit/s carries an append of this size well within its shortest time limit.
constexpr std::size_t MaxAppendBytes = 64 << 10;
constexpr Millis DropTimeout {3000};
// Most jobs that one append drops from the log.
constexpr std::size_t MaxJobsPerDrop = 200;
constexpr char WriterName[] = "planner";

} // namespace

void PlannerHost::noteLoadStep(const char *step, const std::string &reason)
{
    m_services.events.write("planner_loading",
                            {{"fence", m_fencingToken}, {"step", std::string(step)}, {"after_ms", (monotonicNow() - m_startedAt).count()}, {"reason", reason}});
}

void PlannerHost::fenceProgress()
{
    AppendRequest request;
    request.topic = StateTopic::Progress;
    request.timeout = StoreTimeout;
    request.records.push_back({FenceKey, std::to_string(m_fencingToken), 0});
    request.writer = WriterEpoch {WriterName, m_fencingToken, 1};
    const std::weak_ptr<bool> alive = m_alive;
    m_services.log.append(std::move(request), [this, alive](const AppendResult &result) {
        if (alive.expired()) {
            return;
        }
        if (result.outcome == AppendOutcome::Stored) {
            m_sequence = 1;
            m_planner.earlierLeadersEnded(monotonicNow());
            noteLoadStep("progress-fenced");
            loadProgress({});
        } else if (result.outcome == AppendOutcome::Fenced) {
            supersede("the progress topic has a writer with a newer epoch");
        } else {
            QTimer::singleShot(static_cast<int>(RetryPause.count()), this, [this, alive]() {
                if (!alive.expired()) {
                    fenceProgress();
                }
            });
        }
    });
}

void PlannerHost::loadProgress(const std::string &afterKey)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.log.newest(StateTopic::Progress, afterKey, LoadTimeout, [this, alive, afterKey](const NewestResult &result) {
        if (alive.expired()) {
            return;
        }
        if (!result.isAnswered) {
            QTimer::singleShot(static_cast<int>(RetryPause.count()), this, [this, alive, afterKey]() {
                if (!alive.expired()) {
                    loadProgress(afterKey);
                }
            });
            return;
        }
        m_loadedProgress.insert(m_loadedProgress.end(), result.records.begin(), result.records.end());
        if (result.hasMore && !result.records.empty()) {
            loadProgress(result.records.back().key);
            return;
        }
        // The topics of jobs are read after the progress topic, so that every job with progress is found.
        m_isProgressLoaded = true;
        noteLoadStep("progress-loaded");
        m_jobFollower.start();
        m_alternateJobFollower.start();
    });
}

void PlannerHost::storeProgress()
{
    if (m_isAppendInFlight || !m_planner.hasUnstoredChanges()) {
        return;
    }
    const auto now = monotonicNow();
    if (now < m_nextStoreAt) {
        scheduleStoreProgress(m_nextStoreAt - now);
        return;
    }
    m_nextStoreAt = now + MinStoreInterval;
    const auto batch = m_planner.takeBatch(monotonicNow());
    if (batch.isEmpty()) {
        return;
    }
    std::vector<KeyedRecord> records;
    std::set<std::string> tooLarge;
    for (const auto &it : batch.records) {
        records.push_back({progressKey(it.job, it.part), encodeJobRecord(it), 0});
        const auto bytes = sizeInLog(records.back());
        if (bytes > m_services.maxRecordBytes) {
            m_services.events.write("record_too_large", {{"key", records.back().key}, {"bytes", static_cast<std::int64_t>(bytes)}});
            tooLarge.insert(it.job);
        }
    }
    for (const auto &it : batch.dropped) {
        records.push_back({it, std::nullopt, 0});
    }
    m_unsentRecords = RecordBatch(std::move(records));
    m_inFlightBatch = batch.number;
    m_isAppendInFlight = true;
    m_isIsolating = false;
    m_refusedJobs.clear();
    for (const auto &it : tooLarge) {
        leaveOut(it);
    }
    appendNextRecords();
}

void PlannerHost::appendNextRecords()
{
    if (m_unsentRecords.isEmpty()) {
        finishBatch();
        return;
    }
    m_inFlightRecords = m_unsentRecords.takeNext(m_isIsolating ? 0 : MaxAppendBytes);
    ++m_sequence;
    ++m_appendNumber;
    m_appendFirstSentAt = monotonicNow();
    appendProgress();
}

void PlannerHost::finishBatch()
{
    m_isAppendInFlight = false;
    m_inFlightRecords.clear();
    if (!m_isRetired) {
        m_planner.batchStored(m_inFlightBatch, monotonicNow(), m_refusedJobs);
        schedulePlan();
    }
}

void PlannerHost::leaveOut(const std::string &job)
{
    m_refusedJobs.insert(job);
    m_unsentRecords.removeIf([&job](const std::string &key) {
        return jobOfProgressKey(key) == job;
    });
}

void PlannerHost::isolateInvalidRecord()
{
    // A refused append has not used its sequence number.
    --m_sequence;
    if (m_inFlightRecords.size() > 1) {
        m_isIsolating = true;
        m_unsentRecords.putBack(std::move(m_inFlightRecords));
    } else {
        leaveOut(jobOfProgressKey(m_inFlightRecords.front().key));
    }
    appendNextRecords();
}

void PlannerHost::scheduleStoreProgress(Millis pause)
{
    if (m_isStoreScheduled) {
        return;
    }
    m_isStoreScheduled = true;
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), Qt::PreciseTimer, this, [this, alive]() {
        if (!alive.expired()) {
            m_isStoreScheduled = false;
            storeProgress();
        }
    });
}

void PlannerHost::appendProgress()
{
    AppendRequest request;
    request.topic = StateTopic::Progress;
    request.timeout = m_appendTimes.timeout();
    request.records = m_inFlightRecords;
    request.writer = WriterEpoch {WriterName, m_fencingToken, m_sequence};
    const std::weak_ptr<bool> alive = m_alive;
    const auto sentAt = monotonicNow();
    m_services.log.append(std::move(request), [this, alive, sentAt, number = m_appendNumber](const AppendResult &result) {
        // Once the log answers again, two calls for the same append may be in flight. The first conclusive answer counts.
        if (!alive.expired() && m_isAppendInFlight && number == m_appendNumber) {
            handleProgressAppendResult(sentAt, result);
        }
    });
}

void PlannerHost::handleProgressAppendResult(TimePoint sentAt, const AppendResult &result)
{
    if (result.outcome == AppendOutcome::Unknown) {
        m_appendTimes.recordFailure();
    } else {
        m_appendTimes.recordResponse(monotonicNow() - sentAt);
    }
    m_services.metrics.count("progress_appends_total{outcome=\"" + std::string(nameOf(result.outcome)) + "\"}");
    if (result.outcome == AppendOutcome::Stored) {
        // The next leader fences this topic before it plans. The answer to a repeated sending may be that of the first one.
        confirmLeadership(m_appendFirstSentAt);
    }
    if (result.outcome == AppendOutcome::Stored) {
        appendNextRecords();
        return;
    }
    m_services.events.write("progress_not_stored",
                            {{"sequence", m_sequence},
                             {"outcome", std::string(nameOf(result.outcome))},
                             {"reason", result.reason},
                             {"sendings", static_cast<std::int64_t>(result.sendings)}});
    if (result.outcome == AppendOutcome::Fenced) {
        supersede("the progress topic has a writer with a newer epoch");
    } else if (result.isInvalid) {
        isolateInvalidRecord();
    } else {
        retryAppendProgress(RetryPause);
    }
}

void PlannerHost::retryAppendProgress(Millis pause)
{
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), this, [this, alive, number = m_appendNumber]() {
        if (!alive.expired() && m_isAppendInFlight && number == m_appendNumber) {
            appendProgress();
        }
    });
}

void PlannerHost::dropExpiredJobs()
{
    if (m_isDropping) {
        return;
    }
    for (auto &it : m_planner.takeExpiredJobs(monotonicNow())) {
        m_expiredJobs.push_back(std::move(it));
    }
    if (m_expiredJobs.empty()) {
        return;
    }
    const auto n = std::min(MaxJobsPerDrop, m_expiredJobs.size());
    const std::vector<std::string> jobs(m_expiredJobs.begin(), m_expiredJobs.begin() + static_cast<std::ptrdiff_t>(n));
    m_isDropping = true;
    // The progress of a job is dropped last. If its acceptance were left in one of the topics, the next planner would take it for a new job.
    dropJobs(StateTopic::Jobs, jobs, [this, jobs]() {
        std::vector<std::string> alternateJobs;
        std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(alternateJobs), [this](const std::string &it) {
            return m_alternateKeys.contains(acceptanceKey(it)) || m_alternateKeys.contains(cancellationKey(it));
        });
        dropJobs(StateTopic::JobsAlternate, alternateJobs, [this, jobs]() {
            m_isDropping = false;
            m_expiredJobs.erase(m_expiredJobs.begin(), m_expiredJobs.begin() + static_cast<std::ptrdiff_t>(jobs.size()));
            for (const auto &it : jobs) {
                m_planner.removeDroppedJob(it);
            }
        });
    });
}

void PlannerHost::dropJobs(StateTopic topic, const std::vector<std::string> &jobs, std::function<void()> done)
{
    if (jobs.empty()) {
        done();
        return;
    }
    AppendRequest request;
    request.topic = topic;
    request.timeout = DropTimeout;
    for (const auto &it : jobs) {
        request.records.push_back({acceptanceKey(it), std::nullopt, 0});
        request.records.push_back({cancellationKey(it), std::nullopt, 0});
    }
    const std::weak_ptr<bool> alive = m_alive;
    m_services.log.append(std::move(request), [this, alive, done = std::move(done)](const AppendResult &result) {
        if (alive.expired()) {
            return;
        }
        if (result.outcome == AppendOutcome::Stored) {
            done();
        } else {
            m_isDropping = false;
        }
    });
}

} // namespace marjoramhaven
