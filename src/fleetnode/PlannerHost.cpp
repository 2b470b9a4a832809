#include "marjoramhaven/fleetnode/PlannerHost.h"

#include <algorithm>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr Millis TickInterval {20};
constexpr Millis MinPlanInterval {8};
// Planning takes at most one part in this many of the time, so that answers are handled without long delays.
constexpr int PlanTimeDivisor = 4;
constexpr Millis LongPollWait {1000};
// Workers update their entries all the time; the pause lets one read return several updates.
constexpr Millis WorkerReadPause {200};
// Up to 2 s of appends may wait at a topic of jobs, all of whose processes send refused records again.
constexpr Millis JobLoadTimeout {3000};
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

PlannerHost::PlannerHost(PlannerServices services, PlannerLimits limits, std::int64_t fencingToken, const FleetConfiguration &configuration, QObject *parent)
    : QObject(parent)
    , m_services(std::move(services))
    , m_planner(*this, m_services.events, limits, fencingToken, monotonicNow())
    , m_fencingToken(fencingToken)
    , m_jobFollower(m_services.log, StateTopic::Jobs, LongPollWait, Millis(0))
    , m_alternateJobFollower(m_services.log, StateTopic::JobsAlternate, LongPollWait, Millis(0))
    , m_workerFollower(m_services.log, StateTopic::Workers, LongPollWait, WorkerReadPause)
{
    m_planner.configurationChanged(configuration);
    m_jobFollower.loadTimeout = JobLoadTimeout;
    m_alternateJobFollower.loadTimeout = JobLoadTimeout;
    m_jobFollower.onRecords = [this](const std::vector<KeyedRecord> &records) {
        handleJobRecords(records);
    };
    m_jobFollower.onReachabilityChanged = [this](bool isReachable, const std::string &reason) {
        if (!m_isOpen) {
            noteLoadStep(isReachable ? "jobs-reached" : "jobs-not-reached", reason);
        }
        // An append that was sent while the log did not answer counts as lost. It is sent again without waiting for its timeout.
        if (isReachable && m_isAppendInFlight) {
            appendProgress();
        }
    };
    m_alternateJobFollower.onRecords = [this](const std::vector<KeyedRecord> &records) {
        for (const auto &it : records) {
            if (it.value) {
                m_alternateKeys.insert(it.key);
            } else {
                m_alternateKeys.erase(it.key);
            }
        }
        handleJobRecords(records);
    };
    m_workerFollower.onRecords = [this](const std::vector<KeyedRecord> &records) {
        handleWorkerRecords(records);
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
    m_services.events.write("planner_start", {{"fence", m_fencingToken}});
    fenceProgress();
    m_workerFollower.start();
}

void PlannerHost::shutDown()
{
    m_alive.reset();
    m_ticker.stop();
    m_jobFollower.stop();
    m_alternateJobFollower.stop();
    m_workerFollower.stop();
}

void PlannerHost::supersede(const std::string &why)
{
    if (!m_isSuperseded) {
        m_isSuperseded = true;
        m_services.superseded(why);
    }
}

void PlannerHost::handleJobRecords(const std::vector<KeyedRecord> &records)
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
        if (m_isOpen && hasJob(it.key.substr(std::min(it.key.size(), sizeof(AcceptancePrefix) - 1)))) {
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

void PlannerHost::recordStored(const KeyedRecord &record)
{
    if (m_isOpen) {
        handleJobRecords({record});
    }
}

void PlannerHost::handleWorkerRecords(const std::vector<KeyedRecord> &records)
{
    const auto now = monotonicNow();
    for (const auto &it : records) {
        if (!it.value) {
            m_planner.workerUnlisted(it.key, now);
            continue;
        }
        const auto report = m_services.decodeWorker(it.key, *it.value);
        if (report) {
            m_planner.workerReported(*report, now);
        } else {
            m_planner.workerEntryUnreadable(it.key, now);
        }
    }
    if (!records.empty()) {
        schedulePlan();
    }
}

void PlannerHost::openWhenLoaded()
{
    if (m_isOpen || !m_isProgressLoaded || !m_jobFollower.isLoaded() || !m_alternateJobFollower.isLoaded()) {
        return;
    }
    const auto now = monotonicNow();
    for (const auto &it : m_loadedProgress) {
        if (it.key == FenceKey || !it.value) {
            continue;
        }
        const auto record = decodeJobRecord(*it.value);
        if (record && progressKey(record->job, record->part) == it.key) {
            m_planner.restoreProgress(*record, now);
        } else {
            m_services.events.write("record_unreadable", {{"key", it.key}, {"reason", record ? "its key names another job or part" : lastReason()}});
        }
    }
    m_loadedProgress.clear();
    m_loadedProgress.shrink_to_fit();
    m_isOpen = true;
    m_planner.startPlanning(now);
    m_services.events.write("planner_ready", {{"fence", m_fencingToken}, {"after_ms", (now - m_startedAt).count()}});
    m_ticker.start(static_cast<int>(TickInterval.count()));
    schedulePlan();
}

void PlannerHost::configurationChanged(const FleetConfiguration &configuration)
{
    m_planner.configurationChanged(configuration);
    schedulePlan();
}

void PlannerHost::addAdvisorProxy(const std::string &process)
{
    m_planner.addAdvisorProxy(process);
    schedulePlan();
}

void PlannerHost::removeAdvisorProxy(const std::string &process)
{
    m_planner.removeAdvisorProxy(process);
}

void PlannerHost::query(const std::string &job, std::function<void(const std::optional<FleetJobState> &, bool)> done)
{
    const auto state = m_planner.jobState(job);
    if (state) {
        done(state, true);
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    m_jobFollower.refresh([this, alive, job, done = std::move(done)](bool isUpToDate) {
        if (alive.expired()) {
            return;
        }
        m_alternateJobFollower.refresh([this, job, done, isUpToDate](bool isAlternateUpToDate) {
            done(m_planner.jobState(job), isUpToDate && isAlternateUpToDate);
        });
    });
}

void PlannerHost::tick()
{
    if (m_isRetired) {
        return;
    }
    m_planner.tick(unixMillis(), monotonicNow());
    dropExpiredJobs();
    schedulePlan();
}

void PlannerHost::schedulePlan()
{
    if (m_isPlanScheduled || !m_isOpen) {
        return;
    }
    m_isPlanScheduled = true;
    const std::weak_ptr<bool> alive = m_alive;
    // Under load, events arrive faster than it is worthwhile to plan. The first event after a pause is planned for at once.
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
    const auto elapsed = monotonicNow() - begin;
    m_nextPlanAt = begin + std::max(MinPlanInterval, elapsed * PlanTimeDivisor);
    m_services.metrics.observeMillis("plan_ms", static_cast<double>(elapsed.count()));
    storeProgress();
}

void PlannerHost::sendStart(const StartRunRequest &request, TimePoint decidedAt, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    const auto sentAt = monotonicNow();
    m_services.workers.start(request, {timeout, decidedAt}, [this, alive, request, sentAt](const WorkerResponse &answer) {
        if (alive.expired()) {
            return;
        }
        const auto now = monotonicNow();
        m_services.metrics.observeMillis("start_call_ms", static_cast<double>((now - sentAt).count()));
        m_planner.handleStartResponse(request, answer, now);
        schedulePlan();
    });
}

void PlannerHost::sendStop(const StopRunRequest &request, TimePoint decidedAt, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.workers.stop(request, {timeout, decidedAt}, [this, alive, request](const WorkerResponse &answer) {
        if (!alive.expired()) {
            m_planner.handleStopResponse(request, answer, monotonicNow());
        }
    });
}

void PlannerHost::sendThrottle(const ThrottleRunRequest &request, TimePoint decidedAt, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.workers.throttle(request, {timeout, decidedAt}, [this, alive, request](const WorkerResponse &answer) {
        if (!alive.expired()) {
            m_planner.handleThrottleResponse(request, answer, monotonicNow());
        }
    });
}

void PlannerHost::sendPoll(const PollWorkerRequest &request, TimePoint decidedAt, Millis timeout)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.workers.poll(request, {timeout, decidedAt}, [this, alive, request](const PollWorkerResponse &answer) {
        if (!alive.expired()) {
            m_planner.handlePollResponse(request, answer, monotonicNow());
            schedulePlan();
        }
    });
}

void PlannerHost::sendAdviceRequest(const AdviceRequest &request)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_services.sendAdviceRequest(request, [this, alive, request](const AdviceResponse &answer) {
        if (!alive.expired()) {
            m_planner.handleAdviceResponse(request, answer, monotonicNow());
            schedulePlan();
        }
    });
}

void PlannerHost::fencedByWorker(const std::string &worker)
{
    supersede("worker " + worker + " has accepted a higher fencing token");
}

} // namespace marjoramhaven
