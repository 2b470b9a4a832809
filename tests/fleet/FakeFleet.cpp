#include "FakeFleet.h"

#include <algorithm>
#include <cstdlib>

#include "FakeFleetPlanner.h"

namespace marjoramhaven::test {

namespace {

constexpr int WorkersPerRack = 3;
constexpr Millis TickEvery {20};
constexpr Millis ReportEvery {500};
constexpr Millis HeartbeatEvery {400};

} // namespace

FakeFleet::FakeFleet(FakeFleetOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_eventLog("test", std::getenv("FLEET_LOG") == nullptr ? -1 : 2, {1 << 20, 1 << 20})
{
    queue.name = "q";
    queue.host = "host";
    queue.prefix = "/q/";
    queue.service = "svc";
    queue.maxAttempts = 3;
    queue.slackFactor = 2;
    queue.objectiveMs = 500;
    FleetWorkerTimes workerTimes;
    workerTimes.clockRate = options.workerClockRate;
    for (int i = 0; i < options.workers + options.spareWorkers; ++i) {
        WorkerReport report;
        report.id = "w" + std::to_string(i);
        report.service = "svc";
        report.host = "127.0.0.1";
        report.port = 1000 + i;
        report.zone = "z";
        report.rack = "r" + std::to_string(i / WorkersPerRack);
        report.labels = {"a", report.rack, "only-" + report.id};
        report.capacity = options.capacity;
        report.startedUnixMs = 1 + i;
        m_workers.push_back(std::make_unique<FleetWorkerModel>(
            report,
            workerTimes,
            [this](const FleetTaskId &task) -> std::optional<TaskBehaviour> {
                const auto it = m_requests.find(task.job);
                if (it == m_requests.end()) {
                    return std::nullopt;
                }
                const auto &spec = it->second.steps[static_cast<std::size_t>(task.step)];
                TaskBehaviour out;
                out.needs = spec.needs;
                out.duration = Millis(spec.estimateMs);
                out.isLongRunning = spec.isLongRunning;
                out.checkpoints = spec.checkpoints;
                out.isBestEffort = spec.isBestEffort;
                out.gangSize = spec.isGang ? spec.taskCount : 0;
                if (configureTask) {
                    configureTask(task, out);
                }
                return out;
            },
            [this](const RunEvent &event) {
                recordRunEvent(event);
            }));
        m_isUnresponsive.push_back(false);
        m_isListed.push_back(i < options.workers);
        m_refusedRequestShares.push_back(0);
    }
    openPlanner();
    tick();
}

FakeFleet::~FakeFleet() = default;

void FakeFleet::after(Millis delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_sequence++, std::move(run)});
}

bool FakeFleet::areEndsLost(const std::string &worker, TimePoint since) const
{
    const auto i = static_cast<std::size_t>(std::stoi(worker.substr(1)));
    return m_workers[i]->leaseExpiredAt() >= since || m_workers[i]->report().startedUnixMs > millisOf(since);
}

bool FakeFleet::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void FakeFleet::run(Millis time)
{
    runUntil(
        []() {
            return false;
        },
        time);
}

bool FakeFleet::runUntil(const std::function<bool()> &condition, Millis within)
{
    const auto until = m_now + within;
    while (!condition()) {
        if (m_events.empty() || m_events.top().at > until) {
            m_now = until;
            return condition();
        }
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    return true;
}

void FakeFleet::openPlanner()
{
    auto process = std::make_shared<PlannerProcess>(*this);
    m_fencingToken += TokensPerPlanner;
    m_writerFence = m_fencingToken;
    PlannerLimits limits;
    limits.tasksPerPart = m_options.tasksPerPart;
    process->planner = std::make_unique<FleetPlanner>(*process, m_eventLog, limits, m_fencingToken, m_now);
    m_planner = process;
    for (const auto &[id, request] : m_requests) {
        process->planner->restoreJob(request, request.acceptedUnixMs, m_now);
    }
    for (const auto &it : m_cancelled) {
        process->planner->jobCancelled(it, m_now);
    }
    for (const auto &[id, record] : m_records) {
        process->planner->restoreProgress(record, m_now);
    }
    for (int i = 0; i < m_options.advisorProxies; ++i) {
        process->planner->addAdvisorProxy("h" + std::to_string(i));
    }
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_isListed[i]) {
            process->planner->workerReported(m_workers[i]->reportAt(m_now), m_now);
        }
    }
    process->planner->confirmLeadership(m_now, m_now);
    process->planner->startPlanning(m_now);
}

bool FakeFleet::canReach(const PlannerProcess &process, std::size_t worker) const
{
    const bool isCutOff = m_cutOffWorkers.contains(worker);
    return !m_isUnresponsive[worker] && isCutOff == (m_cutOffPlanner.get() == &process);
}

bool FakeFleet::hasLog(const PlannerProcess &process) const
{
    return m_isLogUp && m_cutOffPlanner.get() != &process;
}

void FakeFleet::confirmLeadership(const std::shared_ptr<PlannerProcess> &process)
{
    after(m_options.appendDelay, [this, process, sentAt = m_now]() {
        if (hasLog(*process) && process->planner->fencingToken() == m_fencingToken) {
            const auto token = process->planner->fencingToken() + ++process->heartbeats;
            process->receive([this, process, sentAt, token]() {
                process->planner->raiseFencingToken(token);
                process->planner->confirmLeadership(sentAt, m_now);
            });
        }
    });
}

void FakeFleet::tick()
{
    for (auto &it : m_workers) {
        it->advance(m_now);
    }
    checkGangs();
    checkCapacity();
    tickPlanner(m_planner);
    if (m_cutOffPlanner != m_planner) {
        tickPlanner(m_cutOffPlanner);
    }
    after(TickEvery, [this]() {
        tick();
    });
}

void FakeFleet::tickPlanner(const std::shared_ptr<PlannerProcess> &process)
{
    if (!process || process->isFrozen || process->isDead) {
        return;
    }
    const auto isTimeFor = [this](Millis interval) {
        return (m_now - TimePoint {}) % interval < TickEvery;
    };
    for (std::size_t i = 0; isTimeFor(ReportEvery) && i < m_workers.size(); ++i) {
        if (m_isListed[i] && canReach(*process, i)) {
            process->planner->workerReported(m_workers[i]->reportAt(m_now), m_now);
        }
    }
    if (isTimeFor(HeartbeatEvery)) {
        confirmLeadership(process);
    }
    process->planner->tick(0, m_now);
    process->planner->plan(m_now);
    storeBatch(process);
}

void FakeFleet::storeBatch(const std::shared_ptr<PlannerProcess> &process)
{
    if (process->isStoring || !hasLog(*process) || !process->planner->hasUnstoredChanges()) {
        return;
    }
    const auto batch = process->planner->takeBatch(m_now);
    if (batch.isEmpty()) {
        return;
    }
    process->isStoring = true;
    const auto fencingToken = process->planner->fencingToken();
    after(m_options.appendDelay, [this, process, batch, fencingToken, sentAt = m_now]() {
        if (fencingToken != m_writerFence) {
            process->isDead = true;
            return;
        }
        for (const auto &it : batch.records) {
            m_records[progressKey(it.job, it.part)] = it;
        }
        for (const auto &it : batch.dropped) {
            m_records.erase(it);
        }
        process->isStoring = false;
        process->receive([this, process, batch, sentAt]() {
            process->planner->confirmLeadership(sentAt, m_now);
            process->planner->batchStored(batch.number, m_now);
            checkStoredProgress(*process->planner);
        });
    });
}

FleetJobRequest FakeFleet::makeJob(const std::string &id, std::vector<StepSpec> steps) const
{
    FleetJobRequest out;
    out.id = id;
    out.queue = queue;
    out.payload = "payload";
    out.steps = std::move(steps);
    return out;
}

void FakeFleet::submit(const FleetJobRequest &request)
{
    m_requests[request.id] = request;
    if (m_planner) {
        m_planner->receive([process = m_planner, request, this]() {
            process->planner->jobAccepted(request, m_now);
        });
    }
}

void FakeFleet::cancel(const std::string &job)
{
    m_cancelled.push_back(job);
    if (m_planner) {
        m_planner->receive([process = m_planner, job, this]() {
            process->planner->jobCancelled(job, m_now);
        });
    }
}

std::optional<FleetJobState> FakeFleet::stateOf(const std::string &job) const
{
    return m_planner ? m_planner->planner->jobState(job) : std::nullopt;
}

int FakeFleet::startsOf(const std::string &task) const
{
    return static_cast<int>(std::count_if(m_starts.begin(), m_starts.end(), [&](const RunEvent &it) {
        return it.task.toString() == task;
    }));
}

std::optional<TimePoint> FakeFleet::firstStart(const std::string &task) const
{
    for (const auto &it : m_starts) {
        if (it.task.toString() == task) {
            return it.at;
        }
    }
    return std::nullopt;
}

int FakeFleet::endsOf(const std::string &task, RunEnd end) const
{
    return static_cast<int>(std::count_if(m_ends.begin(), m_ends.end(), [&](const RunEvent &it) {
        return it.task.toString() == task && it.end == end;
    }));
}

std::vector<std::string> FakeFleet::tasksAtWork() const
{
    std::vector<std::string> out;
    for (const auto &[task, runs] : m_runningNow) {
        if (!runs.empty()) {
            out.push_back(task.toString());
        }
    }
    return out;
}

int FakeFleet::startingWorker(const FleetTaskId &task) const
{
    const auto it = m_startingOn.find(task);
    return it == m_startingOn.end() ? -1 : it->second;
}

int FakeFleet::workerOf(const std::string &task) const
{
    for (auto it = m_starts.rbegin(); it != m_starts.rend(); ++it) {
        if (it->task.toString() == task) {
            return std::stoi(it->worker.substr(1));
        }
    }
    return -1;
}

} // namespace marjoramhaven::test
