#include "marjoramhaven/fleetnode/PlannerHost.h"

#include <algorithm>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr Millis TickEvery {20};
constexpr Millis PlanGap {8};
// Planning takes at most one part in this many of the time, so that answers are never left waiting.
constexpr int PlanShare = 4;
constexpr Millis FollowWait {1000};
constexpr Millis LoadTimeout {2000};
// Workers write all the time; what they say is read together.
constexpr Millis WorkersGap {200};
// Decisions that come close together are stored together.
constexpr Millis StoreGap {12};
constexpr Millis StoreTimeout {1200};
constexpr Millis RetryAfter {60};
constexpr Millis DropTimeout {3000};
// At most this many jobs are dropped from the log at once.
constexpr std::size_t DropTogether = 200;
constexpr char WriterName[] = "planner";
// Raises the writer's epoch before anything is read; no job has this name.
constexpr char FenceKey[] = "!fence";
constexpr char AcceptancePrefix[] = "job/";
constexpr char CancellationPrefix[] = "cancel/";

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

std::string acceptanceKey(const std::string &job)
{
    return AcceptancePrefix + job;
}

std::string cancellationKey(const std::string &job)
{
    return CancellationPrefix + job;
}

PlannerHost::PlannerHost(PlannerServices services, PlannerLimits limits, std::int64_t fence, const FleetConfiguration &configuration, QObject *parent)
    : QObject(parent)
    , m_services(std::move(services))
    , m_planner(*this, m_services.events, limits, fence, monotonicNow())
    , m_fence(fence)
    , m_jobs(m_services.log, StateTopic::Jobs, FollowWait, Millis(0))
    , m_workers(m_services.log, StateTopic::Workers, FollowWait, WorkersGap)
{
    m_planner.configurationChanged(configuration);
    m_jobs.onRecords = [this](const std::vector<KeyedRecord> &records) {
        takeJobs(records);
    };
    m_workers.onRecords = [this](const std::vector<KeyedRecord> &records) {
        takeWorkers(records);
    };
    m_ticker.setTimerType(Qt::PreciseTimer);
    connect(&m_ticker, &QTimer::timeout, this, [this]() {
        tick();
    });
}

PlannerHost::~PlannerHost() = default;

void PlannerHost::start()
{
    m_startedAt = monotonicNow();
    m_services.events.write("planner_start", {{"fence", m_fence}});
    fenceProgress();
    m_workers.start();
}

void PlannerHost::shutDown()
{
    m_alive.reset();
    m_ticker.stop();
    m_jobs.stop();
    m_workers.stop();
}

void PlannerHost::supersede(const std::string &why)
{
    if (!m_isSuperseded) {
        m_isSuperseded = true;
        m_services.superseded(why);
    }
}

void PlannerHost::fenceProgress()
{
    AppendRequest request;
    request.topic = StateTopic::Progress;
    request.timeout = StoreTimeout;
    request.records.push_back({FenceKey, std::to_string(m_fence), 0});
    request.writer = WriterEpoch {WriterName, m_fence, 1};
    const std::weak_ptr<bool> alive = m_alive;
    m_services.log.append(std::move(request), [this, alive](const AppendResult &result) {
        if (alive.expired()) {
            return;
        }
        if (result.outcome == AppendOutcome::Stored) {
            m_sequence = 1;
            loadProgress({});
        } else if (result.outcome == AppendOutcome::Fenced) {
            supersede("the stream of progress has a newer writer");
        } else {
            QTimer::singleShot(static_cast<int>(RetryAfter.count()), this, [this, alive]() {
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
            QTimer::singleShot(static_cast<int>(RetryAfter.count()), this, [this, alive, afterKey]() {
                if (!alive.expired()) {
                    loadProgress(afterKey);
                }
            });
            return;
        }
        m_progress.insert(m_progress.end(), result.records.begin(), result.records.end());
        if (result.hasMore && !result.records.empty()) {
            loadProgress(result.records.back().key);
            return;
        }
        // Jobs are read after progress, so that no job is missing whose progress was read.
        m_isProgressLoaded = true;
        m_jobs.start();
    });
}

void PlannerHost::takeJobs(const std::vector<KeyedRecord> &records)
{
    const auto now = monotonicNow();
    const auto unixMs = unixMillis();
    for (const auto &it : records) {
        if (!it.value) {
            continue;
        }
        if (it.key.starts_with(CancellationPrefix)) {
            m_planner.jobCancelled(it.key.substr(sizeof(CancellationPrefix) - 1), now);
            continue;
        }
        auto request = decodeJobRequest(*it.value);
        if (!request) {
            m_services.events.write("record_unreadable", {{"key", it.key}, {"reason", lastReason()}});
        } else if (m_isOpen) {
            m_planner.jobAccepted(std::move(*request), now);
        } else {
            m_planner.restoreJob(std::move(*request), unixMs, now);
        }
    }
    if (!m_isOpen) {
        openWhenLoaded();
    } else if (!records.empty()) {
        schedulePlan();
    }
}

void PlannerHost::takeWorkers(const std::vector<KeyedRecord> &records)
{
    const auto now = monotonicNow();
    for (const auto &it : records) {
        if (!it.value) {
            m_planner.workerUnlisted(it.key, now);
            continue;
        }
        const auto report = m_services.readWorker(it.key, *it.value);
        if (report) {
            m_planner.workerReported(*report, now);
        } else {
            m_services.events.write("entry_unusable", {{"worker", it.key}, {"reason", lastReason()}});
        }
    }
    if (!records.empty()) {
        schedulePlan();
    }
}

void PlannerHost::openWhenLoaded()
{
    if (m_isOpen || !m_isProgressLoaded || !m_jobs.isLoaded()) {
        return;
    }
    const auto now = monotonicNow();
    for (const auto &it : m_progress) {
        if (it.key == FenceKey || !it.value) {
            continue;
        }
        const auto record = decodeJobRecord(*it.value);
        if (record) {
            m_planner.restoreRecord(*record, now);
        } else {
            m_services.events.write("record_unreadable", {{"key", it.key}, {"reason", lastReason()}});
        }
    }
    m_progress.clear();
    m_progress.shrink_to_fit();
    m_isOpen = true;
    m_planner.open(now);
    m_services.events.write("planner_ready", {{"fence", m_fence}, {"after_ms", (now - m_startedAt).count()}});
    m_ticker.start(static_cast<int>(TickEvery.count()));
    schedulePlan();
}

void PlannerHost::configurationChanged(const FleetConfiguration &configuration)
{
    m_planner.configurationChanged(configuration);
    schedulePlan();
}

void PlannerHost::helperJoined(const std::string &helper)
{
    m_planner.helperJoined(helper);
    schedulePlan();
}

void PlannerHost::helperLeft(const std::string &helper)
{
    m_planner.helperLeft(helper);
}

void PlannerHost::query(const std::string &job, std::function<void(const std::optional<FleetJobState> &, bool)> done)
{
    const auto state = m_planner.jobState(job);
    if (state) {
        done(state, true);
        return;
    }
    m_jobs.refresh([this, job, done = std::move(done)](bool isFresh) {
        done(m_planner.jobState(job), isFresh);
    });
}

void PlannerHost::tick()
{
    if (m_isRetired) {
        return;
    }
    m_planner.tick(unixMillis(), monotonicNow());
    dropExpired();
    schedulePlan();
}

void PlannerHost::schedulePlan()
{
    if (m_isPlanScheduled || !m_isOpen) {
        return;
    }
    m_isPlanScheduled = true;
    const std::weak_ptr<bool> alive = m_alive;
    // Under load events come faster than it pays to plan; the first after a pause is served at once.
    const auto pause = std::max(Millis(0), m_nextPlanAt - monotonicNow());
    QTimer::singleShot(static_cast<int>(pause.count()), Qt::PreciseTimer, this, [this, alive]() {
        if (!alive.expired()) {
            planNow();
        }
    });
}

void PlannerHost::planNow()
{
    m_isPlanScheduled = false;
    if (m_isRetired) {
        return;
    }
    const auto begin = monotonicNow();
    m_planner.plan(begin);
    const auto took = monotonicNow() - begin;
    m_nextPlanAt = begin + std::max(PlanGap, took * PlanShare);
    m_services.metrics.observeMillis("plan_ms", static_cast<double>(took.count()));
    storeNext();
}

void PlannerHost::storeNext()
{
    if (m_isStoring || !m_planner.hasNews()) {
        return;
    }
    const auto now = monotonicNow();
    if (now < m_nextStoreAt) {
        storeLater(m_nextStoreAt - now);
        return;
    }
    m_nextStoreAt = now + StoreGap;
    const auto batch = m_planner.takeBatch(monotonicNow());
    if (batch.isEmpty()) {
        return;
    }
    std::vector<KeyedRecord> records;
    for (const auto &it : batch.records) {
        records.push_back({it.job, encodeJobRecord(it), 0});
    }
    for (const auto &it : batch.dropped) {
        records.push_back({it, std::nullopt, 0});
    }
    m_isStoring = true;
    ++m_sequence;
    appendProgress(std::move(records), batch.number);
}

void PlannerHost::storeLater(Millis pause)
{
    if (m_isStoreScheduled) {
        return;
    }
    m_isStoreScheduled = true;
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), Qt::PreciseTimer, this, [this, alive]() {
        if (!alive.expired()) {
            m_isStoreScheduled = false;
            storeNext();
        }
    });
}

void PlannerHost::appendProgress(std::vector<KeyedRecord> records, std::int64_t batch)
{
    AppendRequest request;
    request.topic = StateTopic::Progress;
    request.timeout = m_storeTimes.timeout();
    request.records = records;
    request.writer = WriterEpoch {WriterName, m_fence, m_sequence};
    const std::weak_ptr<bool> alive = m_alive;
    const auto sentAt = monotonicNow();
    m_services.log.append(std::move(request), [this, alive, batch, sentAt, records = std::move(records)](const AppendResult &result) mutable {
        if (alive.expired()) {
            return;
        }
        if (result.outcome == AppendOutcome::Unknown) {
            m_storeTimes.failed();
        } else {
            m_storeTimes.answered(monotonicNow() - sentAt);
        }
        m_services.metrics.count("progress_appends_total{outcome=\"" + std::string(nameOf(result.outcome)) + "\"}");
        if (result.outcome == AppendOutcome::Stored) {
            m_isStoring = false;
            if (!m_isRetired) {
                m_planner.batchStored(batch, monotonicNow());
                schedulePlan();
            }
            return;
        }
        m_services.events.write("progress_not_stored", {{"outcome", std::string(nameOf(result.outcome))}, {"reason", result.reason}});
        if (result.outcome == AppendOutcome::Fenced) {
            supersede("the stream of progress has a newer writer");
            return;
        }
        QTimer::singleShot(static_cast<int>(RetryAfter.count()), this, [this, alive, batch, records = std::move(records)]() mutable {
            if (!alive.expired()) {
                appendProgress(std::move(records), batch);
            }
        });
    });
}

void PlannerHost::dropExpired()
{
    if (m_isDropping) {
        return;
    }
    for (auto &it : m_planner.takeExpiredJobs(monotonicNow())) {
        m_expired.push_back(std::move(it));
    }
    if (m_expired.empty()) {
        return;
    }
    const auto n = std::min(DropTogether, m_expired.size());
    const std::vector<std::string> jobs(m_expired.begin(), m_expired.begin() + static_cast<std::ptrdiff_t>(n));
    AppendRequest request;
    request.topic = StateTopic::Jobs;
    request.timeout = DropTimeout;
    for (const auto &it : jobs) {
        request.records.push_back({acceptanceKey(it), std::nullopt, 0});
        request.records.push_back({cancellationKey(it), std::nullopt, 0});
    }
    m_isDropping = true;
    const std::weak_ptr<bool> alive = m_alive;
    m_services.log.append(std::move(request), [this, alive, jobs](const AppendResult &result) {
        if (alive.expired()) {
            return;
        }
        m_isDropping = false;
        if (result.outcome != AppendOutcome::Stored) {
            return;
        }
        m_expired.erase(m_expired.begin(), m_expired.begin() + static_cast<std::ptrdiff_t>(jobs.size()));
        for (const auto &it : jobs) {
            m_planner.jobDropped(it);
        }
    });
}

void PlannerHost::sendStart(const StartOrder &order, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    const auto sentAt = monotonicNow();
    m_services.workers.start(order, timeout, [this, alive, order, sentAt](const OrderAnswer &answer) {
        if (alive.expired()) {
            return;
        }
        const auto now = monotonicNow();
        m_services.metrics.observeMillis("start_call_ms", static_cast<double>((now - sentAt).count()));
        m_planner.startAnswered(order, answer, now);
        schedulePlan();
    });
}

void PlannerHost::sendStop(const StopOrder &order, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.workers.stop(order, timeout, [this, alive, order](const OrderAnswer &answer) {
        if (!alive.expired()) {
            m_planner.stopAnswered(order, answer, monotonicNow());
        }
    });
}

void PlannerHost::sendPace(const PaceOrder &order, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.workers.pace(order, timeout, [this, alive, order](const OrderAnswer &answer) {
        if (!alive.expired()) {
            m_planner.paceAnswered(order, answer, monotonicNow());
        }
    });
}

void PlannerHost::sendHold(const HoldOrder &order, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    const auto sentAt = monotonicNow();
    m_services.workers.hold(order, timeout, [this, alive, order, sentAt](const HoldAnswer &answer) {
        if (!alive.expired()) {
            m_planner.holdAnswered(order, answer, sentAt, monotonicNow());
            schedulePlan();
        }
    });
}

void PlannerHost::askAdvice(const AdviceOrder &order)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.askAdvice(order, [this, alive, order](const AdviceAnswer &answer) {
        if (!alive.expired()) {
            m_planner.adviceAnswered(order, answer, monotonicNow());
            schedulePlan();
        }
    });
}

void PlannerHost::fenced(const std::string &worker)
{
    supersede("worker " + worker + " follows a higher token");
}

} // namespace marjoramhaven
