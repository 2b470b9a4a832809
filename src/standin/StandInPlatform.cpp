#include "marjoramhaven/standin/StandInPlatform.h"

#include <QJsonArray>
#include <QUrlQuery>
#include <algorithm>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/platform/WorkerCodec.h"

namespace marjoramhaven {

namespace {
constexpr int StatusOk = 200;
constexpr std::size_t RecordsPerRead = 1000;
constexpr int SlowResponseDelayMs = 1000;
constexpr int ReadPollMs = 100;
constexpr std::int64_t ClockOffsetStepMs = 3'600'000;

std::int64_t nowMs()
{
    return millisOf(monotonicNow());
}

HttpResponse batchResponse(const LogBatch &batch)
{
    QJsonArray records;
    for (const auto &it : batch.records) {
        records.append(it);
    }
    return HttpResponse::json(StatusOk,
                              {{QLatin1String("oldest"), static_cast<qint64>(batch.oldest)},
                               {QLatin1String("first"), static_cast<qint64>(batch.first)},
                               {QLatin1String("next"), static_cast<qint64>(batch.next)},
                               {QLatin1String("records"), records}});
}
} // namespace

StandInPlatform::StandInPlatform(StandInFleet fleet, QObject *parent)
    : QObject(parent)
    , m_vms(std::move(fleet.entries))
{
    int n = 0;
    for (const auto &zone : fleet.zones) {
        for (int i = 0; i < fleet.workersPerZone; ++i) {
            const auto name = zone + "-w" + std::to_string(i);
            auto *worker = new StandInWorker(name, fleet.capacity, Millis(ClockOffsetStepMs * ++n), this);
            worker->model().setObserver([this, worker](const WorkerEvent &event) {
                auto adjusted = event;
                // The clocks of the workers differ; the history uses the clock of this process.
                adjusted.at = event.at - worker->clock() + nowMs();
                const std::lock_guard guard(m_historyLock);
                m_history.push_back(adjusted);
            });
            m_workers[name] = worker;
            Vm vm;
            vm.name = name;
            vm.zone = zone;
            vm.rack = zone + "-r" + std::to_string(i / fleet.workersPerRack);
            vm.capacity = fleet.capacity;
            m_vms.push_back(std::move(vm));
        }
    }
    m_timer.setInterval(ReadPollMs);
    connect(&m_timer, &QTimer::timeout, this, &StandInPlatform::answerDueReads);
    m_timer.start();
}

StandInPlatform::~StandInPlatform() = default;

int StandInPlatform::listenOn(int port)
{
    for (auto &vm : m_vms) {
        if (vm.role != VmRole::Worker) {
            continue;
        }
        const int workerPort = m_workers.at(vm.name)->listenOn(0);
        if (workerPort == 0) {
            return 0;
        }
        vm.url = "http://127.0.0.1:" + std::to_string(workerPort);
    }
    HttpLimits limits;
    limits.requestBytes = 16 << 20;
    m_server = std::make_unique<HttpServer>(
        [this](const HttpRequest &request, const HttpRespond &respond) {
            handle(request, respond);
        },
        limits);
    return m_server->listenOn(QHostAddress(QHostAddress::LocalHost), port);
}

void StandInPlatform::setLogFault(LogFault fault)
{
    m_fault = fault;
    if (fault == LogFault::Down) {
        for (auto &it : std::exchange(m_pendingReads, {})) {
            it.respond(HttpResponse::problem(503, "down", "the log is down"));
        }
    }
}

void StandInPlatform::setLeaving(const std::string &vm)
{
    for (auto &it : m_vms) {
        it.isLeaving = it.isLeaving || it.name == vm;
    }
}

void StandInPlatform::removeVm(const std::string &vm)
{
    std::erase_if(m_vms, [&](const Vm &it) {
        return it.name == vm;
    });
    if (auto *it = worker(vm)) {
        it->setSilent(true);
        it->model().reset(it->clock());
    }
}

StandInWorker *StandInPlatform::worker(const std::string &name)
{
    const auto it = m_workers.find(name);
    return it == m_workers.end() ? nullptr : it->second;
}

std::vector<std::string> StandInPlatform::workerNames() const
{
    std::vector<std::string> out;
    for (const auto &[name, worker] : m_workers) {
        out.push_back(name);
    }
    return out;
}

std::vector<WorkerEvent> StandInPlatform::history() const
{
    const std::lock_guard guard(m_historyLock);
    return m_history;
}

void StandInPlatform::sendLogResponse(const HttpRespond &respond, HttpResponse response)
{
    if (m_fault == LogFault::Slow) {
        QTimer::singleShot(SlowResponseDelayMs, this, [respond, response = std::move(response)]() {
            respond(response);
        });
        return;
    }
    respond(std::move(response));
}

void StandInPlatform::handle(const HttpRequest &request, const HttpRespond &respond)
{
    const bool isLog = request.path == "/v1/log";
    if (isLog && m_fault == LogFault::Down) {
        respond(HttpResponse::problem(503, "down", "the log is down"));
    } else if (isLog && request.method == "POST") {
        handleAppend(request, respond);
    } else if (isLog) {
        handleRead(request, respond);
    } else if (request.path == "/v1/vms") {
        handleVms(request, respond);
    } else if (request.path == "/v1/faults") {
        handleFaults(request, respond);
    } else if (request.path == "/v1/history") {
        handleHistory(respond);
    } else {
        respond(HttpResponse::problem(404, "no such resource", request.path));
    }
}

void StandInPlatform::handleAppend(const HttpRequest &request, const HttpRespond &respond)
{
    const auto body = parseJsonObject(request.body);
    if (!body) {
        respond(HttpResponse::problem(400, "not valid", "POST a JSON object"));
        return;
    }
    std::vector<QJsonObject> records;
    const auto array = body->value(QLatin1String("records")).toArray();
    for (const auto &it : array) {
        records.push_back(it.toObject());
    }
    ++m_appendCount;
    const auto first = m_log.append(records);
    answerDueReads();
    if (m_fault != LogFault::AnswersLost) {
        sendLogResponse(respond, HttpResponse::json(StatusOk, {{QLatin1String("first"), static_cast<qint64>(first)}}));
    }
}

void StandInPlatform::handleRead(const HttpRequest &request, const HttpRespond &respond)
{
    const QUrlQuery query(request.url);
    const auto from = query.queryItemValue(QLatin1String("from")).toLongLong();
    const auto wait = query.queryItemValue(QLatin1String("wait_ms")).toLongLong();
    if (from < m_log.next() || wait <= 0) {
        sendLogResponse(respond, batchResponse(m_log.read(from, RecordsPerRead)));
        return;
    }
    m_pendingReads.push_back({from, nowMs() + wait, respond});
}

void StandInPlatform::answerDueReads()
{
    for (auto it = m_pendingReads.begin(); it != m_pendingReads.end();) {
        if (it->from >= m_log.next() && nowMs() < it->until) {
            ++it;
            continue;
        }
        sendLogResponse(it->respond, batchResponse(m_log.read(it->from, RecordsPerRead)));
        it = m_pendingReads.erase(it);
    }
}

void StandInPlatform::handleVms(const HttpRequest &request, const HttpRespond &respond)
{
    const auto zone = QUrlQuery(request.url).queryItemValue(QLatin1String("zone")).toStdString();
    QJsonArray vms;
    for (const auto &it : m_vms) {
        if (zone.empty() || it.zone == zone) {
            vms.append(toJson(it));
        }
    }
    respond(HttpResponse::json(StatusOk, {{QLatin1String("vms"), vms}}));
}

void StandInPlatform::handleFaults(const HttpRequest &request, const HttpRespond &respond)
{
    const auto body = parseJsonObject(request.body);
    Findings findings;
    JsonReader reader(body.value_or(QJsonObject()), "", findings);
    const auto fault = valueOf<LogFault>(reader.text("log", nameOf(m_fault)));
    if (!fault) {
        reader.report("log", "expected none, down, slow or answers-lost");
    }
    const auto name = reader.text("worker");
    auto *target = worker(name);
    if (!name.empty() && target == nullptr) {
        reader.report("worker", "no worker of this name");
    }
    const bool silent = reader.boolean("silent", target != nullptr && target->isSilent());
    const bool failsAll = reader.boolean("fails_all", false);
    const auto loseEvery = static_cast<int>(reader.integer("lose_every_start", 0, 0, 1'000'000));
    const bool leaving = reader.boolean("leaving", false);
    const bool gone = reader.boolean("gone", false);
    const auto vm = reader.text("vm", name);
    const auto keep = reader.integer("keep_records", -1, -1, 1'000'000'000);
    reader.rejectUnknown();
    if (!findings.isEmpty()) {
        respond(HttpResponse::problem(422, "not valid", findings.toString()));
        return;
    }
    setLogFault(*fault);
    if (target != nullptr) {
        target->setSilent(silent);
        target->model().setFailsAll(failsAll);
        target->setLoseEveryNthStart(loseEvery);
    }
    if (leaving) {
        setLeaving(vm);
    }
    if (gone) {
        removeVm(vm);
    }
    if (keep >= 0) {
        m_log.truncate(static_cast<std::size_t>(keep));
    }
    respond(HttpResponse::json(StatusOk, {{QLatin1String("log"), toQt(nameOf(m_fault))}}));
}

void StandInPlatform::handleHistory(const HttpRespond &respond)
{
    QJsonArray events;
    for (const auto &it : history()) {
        events.append(QJsonObject {{QLatin1String("kind"), QLatin1String(it.kind == WorkerEvent::Kind::Started ? "started" : "ended")},
                                   {QLatin1String("at"), static_cast<qint64>(it.at)},
                                   {QLatin1String("worker"), toQt(it.worker)},
                                   {QLatin1String("attempt"), toJson(it.attempt)},
                                   {QLatin1String("reservation"), it.reservation.toJson()}});
    }
    respond(HttpResponse::json(StatusOk, {{QLatin1String("events"), events}, {QLatin1String("appends"), static_cast<qint64>(m_appendCount)}}));
}

} // namespace marjoramhaven
