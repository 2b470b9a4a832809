#include "FakeFleet.h"

#include <algorithm>
#include <cstdlib>

#include "FakeFleetHost.h"

namespace marjoramhaven::test {

namespace {

constexpr int WorkersPerRack = 3;
constexpr Millis TickEvery {20};
constexpr Millis ReportEvery {500};

std::string stepOf(const FleetTaskId &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

} // namespace

FakeFleet::FakeFleet(FleetSetting setting)
    : m_setting(setting)
    , m_random(setting.seed)
    , m_eventLog("test", std::getenv("FLEET_LOG") == nullptr ? -1 : 2, {1 << 20, 1 << 20})
{
    queue.name = "q";
    queue.host = "host";
    queue.prefix = "/q/";
    queue.service = "svc";
    queue.maxAttempts = 3;
    queue.slackFactor = 2;
    queue.objectiveMs = 500;
    for (int i = 0; i < setting.workers; ++i) {
        WorkerReport report;
        report.id = "w" + std::to_string(i);
        report.service = "svc";
        report.host = "127.0.0.1";
        report.port = 1000 + i;
        report.zone = "z";
        report.rack = "r" + std::to_string(i / WorkersPerRack);
        report.labels = {"a", report.rack, "only-" + report.id};
        report.capacity = setting.capacity;
        report.bornMs = 1 + i;
        m_workers.push_back(std::make_unique<FleetWorkerModel>(
            report,
            FleetWorkerTimes {},
            [this](const FleetTaskId &task) -> std::optional<TaskBehaviour> {
                const auto it = m_requests.find(task.job);
                if (it == m_requests.end()) {
                    return std::nullopt;
                }
                const auto &spec = it->second.steps[static_cast<std::size_t>(task.step)];
                TaskBehaviour out;
                out.needs = spec.needs;
                out.duration = Millis(spec.estimateMs);
                out.isLasting = spec.isLasting;
                out.checkpoints = spec.checkpoints;
                out.isFiller = spec.isFiller;
                out.gangSize = spec.isGang ? spec.taskCount : 0;
                if (behave) {
                    behave(task, out);
                }
                return out;
            },
            [this](const RunEvent &event) {
                noteRun(event);
            }));
        m_isSilent.push_back(false);
        m_isListed.push_back(true);
    }
    openPlanner();
    tick();
}

FakeFleet::~FakeFleet() = default;

void FakeFleet::after(Millis delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_order++, std::move(run)});
}

bool FakeFleet::isForgotten(const std::string &worker, TimePoint since) const
{
    const auto i = static_cast<std::size_t>(std::stoi(worker.substr(1)));
    return m_workers[i]->lapsedAt() >= since || m_workers[i]->report().bornMs > millisOf(since);
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
    auto host = std::make_shared<Host>(*this);
    ++m_fencingToken;
    m_writerFence = m_fencingToken;
    host->planner = std::make_unique<FleetPlanner>(*host, m_eventLog, PlannerLimits {}, m_fencingToken, m_now);
    m_planner = host;
    for (const auto &[id, request] : m_requests) {
        host->planner->restoreJob(request, request.acceptedUnixMs, m_now);
    }
    for (const auto &it : m_cancelled) {
        host->planner->jobCancelled(it, m_now);
    }
    for (const auto &[id, record] : m_records) {
        host->planner->restoreRecord(record, m_now);
    }
    for (int i = 0; i < m_setting.helpers; ++i) {
        host->planner->helperJoined("h" + std::to_string(i));
    }
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_isListed[i]) {
            host->planner->workerReported(m_workers[i]->reportAt(m_now), m_now);
        }
    }
    host->planner->open(m_now);
}

void FakeFleet::tick()
{
    for (auto &it : m_workers) {
        it->advance(m_now);
    }
    checkGangs();
    checkRoom();
    const auto host = m_planner;
    if (host && !host->isFrozen && !host->isDead) {
        const bool isReportTime = (m_now - TimePoint {}) % ReportEvery < TickEvery;
        for (std::size_t i = 0; isReportTime && i < m_workers.size(); ++i) {
            if (m_isListed[i] && !m_isSilent[i]) {
                host->planner->workerReported(m_workers[i]->reportAt(m_now), m_now);
            }
        }
        host->planner->tick(0, m_now);
        host->planner->plan(m_now);
        store(host);
    }
    after(TickEvery, [this]() {
        tick();
    });
}

void FakeFleet::store(const std::shared_ptr<Host> &host)
{
    if (host->isStoring || !m_isStoreUp || !host->planner->hasNews()) {
        return;
    }
    const auto batch = host->planner->takeBatch(m_now);
    if (batch.isEmpty()) {
        return;
    }
    host->isStoring = true;
    const auto fence = host->planner->fence();
    after(m_setting.storeDelay, [this, host, batch, fence]() {
        if (fence != m_writerFence) {
            host->isDead = true;
            return;
        }
        for (const auto &it : batch.records) {
            m_records[it.job] = it;
        }
        host->isStoring = false;
        host->receive([this, host, batch]() {
            host->planner->batchStored(batch.number, m_now);
        });
    });
}

void FakeFleet::checkRoom()
{
    for (const auto &it : m_workers) {
        const auto used = it->used();
        const auto &room = it->report().capacity;
        if (used.cpuMilli > room.cpuMilli || used.memoryMb > room.memoryMb || used.gpus > room.gpus) {
            m_broken.push_back("overcommitted " + it->report().id);
        }
    }
}

void FakeFleet::checkGangs()
{
    for (const auto &it : m_workers) {
        for (const auto &[task, attempt] : it->runs()) {
            const auto &spec = m_requests.at(task.job).steps[static_cast<std::size_t>(task.step)];
            int present = 0;
            for (const auto &other : m_workers) {
                present += spec.isGang ? other->gangMembers(task, attempt) : 0;
            }
            for (const auto &other : m_workers) {
                if (spec.isGang && present == spec.taskCount) {
                    other->completeGang(task, attempt);
                } else if (spec.isGang) {
                    other->breakGang(task, attempt, m_now);
                }
            }
        }
    }
}

void FakeFleet::noteRun(const RunEvent &event)
{
    const auto name = event.task.toString();
    auto &running = m_runningNow[event.task];
    const std::pair run(event.worker, event.attempt);
    if (event.kind == RunEvent::Kind::Ended) {
        running.erase(run);
        m_eventLog.write(
            "ended",
            {{"task", name}, {"attempt", event.attempt}, {"worker", event.worker}, {"end", std::string(nameOf(event.end))}, {"now", millisOf(event.at)}});
        m_ends.push_back(event);
        if (event.end == RunEnd::Done) {
            m_done.emplace(event.task, std::pair(event.worker, event.at));
        }
        // Members may wait in vain only beside faults.
        if (event.end == RunEnd::Alone && !m_isDisturbed) {
            m_broken.push_back("gang member alone: " + name);
        }
        return;
    }
    const auto &request = m_requests.at(event.task.job);
    const auto &spec = request.steps[static_cast<std::size_t>(event.task.step)];
    if (!running.empty() && !spec.allowsCopies) {
        m_broken.push_back("two runs at once of " + name);
    }
    // An end that was not told before the worker's lease lapsed, or before it started anew, does not count.
    const auto done = m_done.find(event.task);
    // A copy may start until the first end is known, which a silent worker can't tell.
    const bool mayBeCopy = done != m_done.end() && spec.allowsCopies
        && (m_isSilent[static_cast<std::size_t>(std::stoi(done->second.first.substr(1)))] || m_now - done->second.second < Millis(1000));
    if (done != m_done.end() && !mayBeCopy && !isForgotten(done->second.first, done->second.second)) {
        m_broken.push_back("started again after it was done: " + name);
    }
    for (const auto before : spec.after) {
        for (int i = 0; i < request.steps[static_cast<std::size_t>(before)].taskCount; ++i) {
            if (!m_done.contains({event.task.job, event.task.occurrence, before, i})) {
                m_broken.push_back("started before " + stepOf(event.task) + " was ready: " + name);
            }
        }
    }
    const auto failures = endsOf(name, RunEnd::Failed);
    if (!spec.isLasting && failures >= queue.maxAttempts) {
        m_broken.push_back("started after its last attempt: " + name);
    }
    m_eventLog.write("begun", {{"task", name}, {"attempt", event.attempt}, {"worker", event.worker}, {"now", millisOf(event.at)}});
    running.insert(run);
    m_begins.push_back(event);
}

FleetJobRequest FakeFleet::jobWith(const std::string &id, std::vector<StepSpec> steps) const
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
        m_planner->receive([host = m_planner, request, this]() {
            host->planner->jobAccepted(request, m_now);
        });
    }
}

void FakeFleet::cancel(const std::string &job)
{
    m_cancelled.push_back(job);
    if (m_planner) {
        m_planner->receive([host = m_planner, job, this]() {
            host->planner->jobCancelled(job, m_now);
        });
    }
}

std::optional<FleetJobState> FakeFleet::stateOf(const std::string &job) const
{
    return m_planner ? m_planner->planner->jobState(job) : std::nullopt;
}

void FakeFleet::killPlanner(Millis pause)
{
    m_isDisturbed = true;
    if (!m_planner) {
        return;
    }
    m_planner->isDead = true;
    m_planner = nullptr;
    after(pause, [this]() {
        openPlanner();
    });
}

void FakeFleet::freezePlanner(Millis pause, Millis frozenFor)
{
    m_isDisturbed = true;
    const auto old = m_planner;
    if (!old) {
        return;
    }
    old->isFrozen = true;
    after(pause, [this]() {
        openPlanner();
    });
    after(frozenFor, [this, old]() {
        old->isFrozen = false;
        auto held = std::move(old->held);
        for (auto &it : held) {
            if (!old->isDead) {
                it();
            }
        }
        if (!old->isDead) {
            old->planner->tick(0, m_now);
            old->planner->plan(m_now);
        }
        after(MaxExecutionDelay, [old]() {
            old->isDead = true;
        });
    });
}

void FakeFleet::setStoreUp(bool isUp)
{
    m_isDisturbed = true;
    m_isStoreUp = isUp;
}

void FakeFleet::setSilent(int worker, bool isSilent)
{
    m_isDisturbed = true;
    m_isSilent[static_cast<std::size_t>(worker)] = isSilent;
}

void FakeFleet::restartWorker(int worker)
{
    m_isDisturbed = true;
    m_workers[static_cast<std::size_t>(worker)]->restart(m_now);
}

void FakeFleet::drainWorker(int worker, Millis remaining)
{
    m_isDisturbed = true;
    m_workers[static_cast<std::size_t>(worker)]->setDraining(remaining);
}

void FakeFleet::unlistWorker(int worker)
{
    m_isListed[static_cast<std::size_t>(worker)] = false;
    if (m_planner) {
        m_planner->planner->workerUnlisted("w" + std::to_string(worker), m_now);
    }
}

void FakeFleet::setLateOrders(double share)
{
    m_isDisturbed = true;
    m_lateOrders = share;
}

void FakeFleet::setLostAnswers(double share)
{
    m_isDisturbed = true;
    m_lostAnswers = share;
}

int FakeFleet::beginsOf(const std::string &task) const
{
    return static_cast<int>(std::count_if(m_begins.begin(), m_begins.end(), [&](const RunEvent &it) {
        return it.task.toString() == task;
    }));
}

std::optional<TimePoint> FakeFleet::firstBegin(const std::string &task) const
{
    for (const auto &it : m_begins) {
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

int FakeFleet::planned(const FleetTaskId &task) const
{
    const auto it = m_startingOn.find(task);
    return it == m_startingOn.end() ? -1 : it->second;
}

int FakeFleet::workerOf(const std::string &task) const
{
    for (auto it = m_begins.rbegin(); it != m_begins.rend(); ++it) {
        if (it->task.toString() == task) {
            return std::stoi(it->worker.substr(1));
        }
    }
    return -1;
}

} // namespace marjoramhaven::test
