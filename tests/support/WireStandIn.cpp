#include "WireStandIn.h"

#include <QHostAddress>

#include "StandInResponses.h"
#include "WireJson.h"

namespace marjoramhaven::test {

using platform::Json;

namespace {

constexpr int TickMs = 5;
constexpr Millis DefaultTaskTime {150};
constexpr int FullSpeed = 100;

int statusOf(WorkerCallOutcome outcome)
{
    return outcome == WorkerCallOutcome::Done ? 200 : 409;
}

std::string wireReasonOf(WorkerCallOutcome outcome)
{
    switch (outcome) {
    case WorkerCallOutcome::Fenced:
        return "fence";
    case WorkerCallOutcome::Late:
        return "late";
    default:
        return "old";
    }
}

Json routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {{"name", name},
            {"host", host},
            {"path-prefix", prefix},
            {"service", "svc"},
            {"target-completion-ms", 500},
            {"priority", 0},
            {"max-attempts", 2},
            {"slack-factor", 1.5}};
}

} // namespace

WireStandIn::WireStandIn(int workers)
    : m_store(
        [this](const HttpRequest &request, HttpRespond respond) {
            m_storeModel.handle(request, m_plainView, std::move(respond));
        },
        HttpLimits {})
    , m_advisor(
          [](const HttpRequest &request, const HttpRespond &respond) {
              const auto body = Json::parse(request.body.toStdString());
              Json rows = Json::array();
              for (const auto &it : body["workers"]) {
                  rows.push_back(Json::array({it, "ticket"}));
              }
              respond(json(200, {{"allowed", rows}}));
          },
          HttpLimits {})
{
    m_storePort = m_store.listenOn(QHostAddress::LocalHost, 0);
    m_advisorPort = m_advisor.listenOn(QHostAddress::LocalHost, 0);
    for (int i = 0; i < workers; ++i) {
        const auto number = static_cast<std::size_t>(i);
        m_workerServers.push_back(std::make_unique<HttpServer>(
            [this, number](const HttpRequest &request, HttpRespond respond) {
                handleWorker(number, request, std::move(respond));
            },
            HttpLimits {}));
        WorkerReport report;
        report.id = "i-" + std::to_string(i);
        report.service = "svc";
        report.host = "127.0.0.1";
        report.port = m_workerServers.back()->listenOn(QHostAddress::LocalHost, 0);
        report.zone = "z";
        report.capacity = {8000, 16000, 0};
        report.startedUnixMs = 1000 + i;
        m_workers.push_back(std::make_unique<FleetWorkerModel>(
            report,
            FleetWorkerTimes {},
            [this](const FleetTaskId &task) {
                TaskBehaviour out;
                out.duration = DefaultTaskTime;
                out.needs = {1000, 100, 0};
                return std::optional(taskBehaviour ? taskBehaviour(task) : out);
            },
            [this](const RunEvent &event) {
                recordRunEvent(event);
            }));
        m_workers.back()->onAcknowledgement = [this](const EndAcknowledgement &end) {
            if (onAcknowledgement) {
                onAcknowledgement(end);
            }
        };
    }
    writeInventory();
    connect(&m_ticker, &QTimer::timeout, this, [this]() {
        answerDueRequests();
    });
    m_ticker.start(TickMs);
}

WireStandIn::~WireStandIn() = default;

void WireStandIn::recordRunEvent(const RunEvent &event)
{
    if (event.kind == RunEvent::Kind::Started) {
        m_startedTasks.push_back(event.task.toString());
    }
    if (onRunEvent) {
        onRunEvent(event);
    }
}

void WireStandIn::writeInventory()
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        writeInventoryEntry(i);
    }
}

void WireStandIn::writeInventoryEntry(std::size_t worker)
{
    const auto report = m_workers[worker]->reportAt(monotonicNow());
    const auto advertisedPort = m_advertisedPorts.find(worker);
    const auto port = advertisedPort == m_advertisedPorts.end() ? report.port : advertisedPort->second;
    const Json entry {{"service", report.service},
                      {"address", report.host + ":" + std::to_string(port)},
                      {"zone", report.zone},
                      {"state", "ready"},
                      {"capacity", {{"cpu", report.capacity.cpuMilli}, {"mem-mb", report.capacity.memoryMb}, {"gpu", 0}}},
                      {"labels", Json::array({"a", "r1"})},
                      {"clock-ms", report.clockMs},
                      {"born", report.startedUnixMs}};
    m_storeModel.put("keyed.servers", report.id, entry.dump());
}

void WireStandIn::advertisePort(std::size_t worker, int port)
{
    m_advertisedPorts[worker] = port;
    writeInventoryEntry(worker);
}

void WireStandIn::crashWorker(std::size_t worker)
{
    m_stoppedWorkers.insert(worker);
    m_workers[worker]->restart(monotonicNow());
    std::erase_if(m_pendingPolls, [worker](const PendingPoll &it) {
        return it.worker == worker;
    });
}

void WireStandIn::restartWorker(std::size_t worker, std::optional<Millis> bornChange)
{
    const auto now = monotonicNow();
    m_stoppedWorkers.erase(worker);
    if (bornChange) {
        m_workers[worker]->restartAs(m_workers[worker]->report().startedUnixMs + bornChange->count(), now);
    } else {
        m_workers[worker]->restart(now);
    }
    std::erase_if(m_pendingPolls, [worker](const PendingPoll &it) {
        return it.worker == worker;
    });
    if (!m_isHoldingEntriesBack) {
        writeInventoryEntry(worker);
    }
}

void WireStandIn::putConfiguration(std::int64_t version, const std::string &host, const std::vector<std::string> &prefixes, bool needsAdvice, int furtherQueues)
{
    auto routes = Json::array();
    for (const auto &it : prefixes) {
        routes.push_back(routeOf(routes.empty() ? "r" : "r" + std::to_string(routes.size()), host, it));
    }
    if (needsAdvice) {
        routes[0]["advisor"] = {{"decision-ms", 5.0}, {"per-worker-ms", 0.1}, {"validity-ms", 2500}};
    }
    for (int i = 0; i < furtherQueues; ++i) {
        const auto name = "further-" + std::to_string(i);
        routes.push_back(routeOf(name, host, "/" + name + "/"));
    }
    m_storeModel.put("keyed.op", "config", Json {{"version", version}, {"routes", routes}}.dump());
}

int WireStandIn::startCountOf(const std::string &task) const
{
    return static_cast<int>(std::count(m_startedTasks.begin(), m_startedTasks.end(), task));
}

int WireStandIn::addStoreView(std::map<int, int> ports)
{
    m_views.push_back(std::make_unique<StoreStandIn::PortView>(std::move(ports)));
    const auto *view = m_views.back().get();
    m_viewServers.push_back(std::make_unique<HttpServer>(
        [this, view](const HttpRequest &request, HttpRespond respond) {
            m_storeModel.handle(request, *view, std::move(respond));
        },
        HttpLimits {}));
    return m_viewServers.back()->listenOn(QHostAddress::LocalHost, 0);
}

void WireStandIn::answerDueRequests()
{
    const auto now = monotonicNow();
    m_storeModel.answerDueReads(now);
    for (auto &it : m_workers) {
        it->advance(now);
    }
    carryOutKeptCalls();
    std::vector<PendingPoll> answered;
    std::erase_if(m_pendingPolls, [&](PendingPoll &it) {
        const bool isDue = it.until <= now || m_workers[it.worker]->hasEndAfter(it.request.acknowledged);
        if (isDue) {
            answered.push_back(it);
        }
        return isDue;
    });
    for (const auto &it : answered) {
        const auto answer = m_workers[it.worker]->poll(it.request, now);
        Json running = Json::array();
        for (const auto &row : answer.running) {
            running.push_back(Json::array({row.task.toString(), row.attempt, row.checkpoint, row.percent, row.usage}));
        }
        Json finished = Json::array();
        for (const auto &row : answer.ended) {
            finished.push_back(Json::array({row.number, row.task.toString(), row.attempt, nameOf(row.end), row.checkpoint}));
        }
        it.respond(json(statusOf(answer.outcome),
                        {{"clock-ms", answer.workerClockMs},
                         {"born", answer.startedUnixMs},
                         {"reason", wireReasonOf(answer.outcome)},
                         {"running", running},
                         {"finished", finished}}));
    }
}

void WireStandIn::handleWorker(std::size_t number, const HttpRequest &request, HttpRespond respond)
{
    if (m_stoppedWorkers.contains(number)) {
        return;
    }
    if (request.header("Expected-Instance").toStdString() != m_workers[number]->report().id) {
        HttpResponse out;
        out.status = 421;
        respond(out);
    } else if (isCallKept && isCallKept(number, request)) {
        m_keptCalls.push_back({number, request});
    } else if (request.path == "/v1/hold") {
        const auto poll = pollOf(request);
        const auto now = monotonicNow();
        m_workers[number]->poll(poll, now);
        m_pendingPolls.push_back({number, poll, now + poll.wait, std::move(respond)});
        answerDueRequests();
    } else if (request.path == "/v1/run-stop" && m_isRefusingStops) {
        respond(json(503, Json::object()));
    } else {
        respond(changeRun(number, request));
    }
}

PollWorkerRequest WireStandIn::pollOf(const HttpRequest &request)
{
    const auto body = Json::parse(request.body.toStdString());
    PollWorkerRequest out;
    out.fencingToken = body.value("fencing-token", std::int64_t(0));
    out.leaseUntilMs = body.value("deadline-ms", std::int64_t(0));
    out.acknowledged = body.value("ack-cursor", std::int64_t(0));
    out.wait = Millis(body.value("wait-ms", std::int64_t(0)));
    return out;
}

void WireStandIn::carryOutKeptCalls()
{
    std::vector<KeptCall> due;
    std::erase_if(m_keptCalls, [&](const KeptCall &it) {
        const bool isDue = !m_stoppedWorkers.contains(it.worker) && isKeptCallDue && isKeptCallDue(it.worker, it.request);
        if (isDue) {
            due.push_back(it);
        }
        return isDue;
    });
    m_isCarryingOutLateCall = true;
    for (const auto &it : due) {
        ++m_lateCallCount;
        if (it.request.path == "/v1/hold") {
            m_workers[it.worker]->poll(pollOf(it.request), monotonicNow());
        } else {
            changeRun(it.worker, it.request);
        }
    }
    m_isCarryingOutLateCall = false;
}

HttpResponse WireStandIn::changeRun(std::size_t number, const HttpRequest &request)
{
    const auto now = monotonicNow();
    auto &worker = *m_workers[number];
    const auto body = Json::parse(request.body.toStdString());
    const auto fencingToken = body.value("fencing-token", std::int64_t(0));
    const auto task = *FleetTaskId::parse(body.value("task", ""));
    const auto attempt = body.value("attempt", std::int64_t(0));
    WorkerResponse answer;
    if (request.path == "/v1/run-start") {
        StartRunRequest startRequest;
        startRequest.task = task;
        startRequest.attempt = attempt;
        startRequest.fencingToken = fencingToken;
        startRequest.leaseUntilMs = body.value("deadline-ms", std::int64_t(0));
        startRequest.checkpoint = body.value("checkpoint", "");
        answer = worker.start(startRequest, now);
    } else if (request.path == "/v1/pace") {
        ThrottleRunRequest throttleRequest;
        throttleRequest.task = task;
        throttleRequest.attempt = attempt;
        throttleRequest.percent = body.value("percent", FullSpeed);
        throttleRequest.fencingToken = fencingToken;
        answer = worker.throttle(throttleRequest, now);
    } else {
        answer = worker.stop({{}, task, attempt, fencingToken}, now);
    }
    return json(statusOf(answer.outcome), {{"clock-ms", answer.workerClockMs}, {"reason", wireReasonOf(answer.outcome)}});
}

} // namespace marjoramhaven::test
