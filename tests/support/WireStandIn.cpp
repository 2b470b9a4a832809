#include "WireStandIn.h"

#include <QHostAddress>
#include <QUrlQuery>
#include <QtEndian>

#include "WireJson.h"
#include "marjoramhaven/fleet/PlannerElection.h"

namespace marjoramhaven::test {

using platform::Json;

namespace {

constexpr int TickMs = 5;
constexpr Millis DefaultTaskTime {150};
constexpr int FullSpeed = 100;

HttpResponse json(int status, const Json &body)
{
    HttpResponse out;
    out.status = status;
    out.body = QByteArray::fromStdString(body.dump());
    return out;
}

std::string queryOf(const HttpRequest &request, const char *key)
{
    return QUrlQuery(request.url).queryItemValue(QLatin1String(key), QUrl::FullyDecoded).toStdString();
}

std::int64_t numberOf(const HttpRequest &request, const char *key, std::int64_t fallback)
{
    const auto text = queryOf(request, key);
    return text.empty() ? fallback : std::stoll(text);
}

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
            handleStore(request, m_plainView, std::move(respond));
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
    put("keyed.servers", report.id, entry.dump());
}

void WireStandIn::advertisePort(std::size_t worker, int port)
{
    m_advertisedPorts[worker] = port;
    writeInventoryEntry(worker);
}

void WireStandIn::restartWorker(std::size_t worker, std::optional<Millis> bornChange)
{
    const auto now = monotonicNow();
    if (bornChange) {
        m_workers[worker]->restartAs(m_workers[worker]->report().startedUnixMs + bornChange->count(), now);
    } else {
        m_workers[worker]->restart(now);
    }
    std::erase_if(m_pendingPolls, [worker](const PendingPoll &it) {
        return it.worker == worker;
    });
    writeInventoryEntry(worker);
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
    put("keyed.op", "config", Json {{"version", version}, {"routes", routes}}.dump());
}

void WireStandIn::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    m_topics[topic].records.emplace_back(key, value);
}

void WireStandIn::compact(const std::string &topic)
{
    auto &it = m_topics[topic];
    it.first = static_cast<std::int64_t>(it.records.size());
}

std::size_t WireStandIn::topicSize(const std::string &topic) const
{
    const auto it = m_topics.find(topic);
    return it == m_topics.end() ? 0 : it->second.records.size();
}

int WireStandIn::startCountOf(const std::string &task) const
{
    return static_cast<int>(std::count(m_startedTasks.begin(), m_startedTasks.end(), task));
}

int WireStandIn::addStoreView(std::map<int, int> ports)
{
    m_views.push_back(std::make_unique<PortView>(std::move(ports)));
    const auto *view = m_views.back().get();
    m_viewServers.push_back(std::make_unique<HttpServer>(
        [this, view](const HttpRequest &request, HttpRespond respond) {
            handleStore(request, *view, std::move(respond));
        },
        HttpLimits {}));
    return m_viewServers.back()->listenOn(QHostAddress::LocalHost, 0);
}

std::optional<std::string> WireStandIn::newestValue(const std::string &topic, const std::string &key) const
{
    const auto it = m_topics.find(topic);
    if (it == m_topics.end()) {
        return std::nullopt;
    }
    const auto &records = it->second.records;
    const auto found = std::find_if(records.rbegin(), records.rend(), [&key](const auto &record) {
        return record.first == key;
    });
    return found == records.rend() ? std::nullopt : found->second;
}

std::string WireStandIn::valueIn(const PortView &view, const std::string &topic, const std::string &value)
{
    const auto portIn = [&view](int port) {
        const auto it = view.find(port);
        return it == view.end() ? port : it->second;
    };
    if (topic == "keyed.servers" && !view.empty()) {
        auto entry = Json::parse(value);
        const auto address = entry["address"].get<std::string>();
        const auto colon = address.find(':') + 1;
        entry["address"] = address.substr(0, colon) + std::to_string(portIn(std::stoi(address.substr(colon))));
        return entry.dump();
    }
    auto record = topic == "keyed.leadership" && !view.empty() ? decodeLeadership(value) : std::nullopt;
    if (!record) {
        return value;
    }
    record->port = portIn(record->port);
    return encodeLeadership(*record);
}

void WireStandIn::handleStore(const HttpRequest &request, const PortView &view, HttpRespond respond)
{
    if (m_isStoreDown) {
        respond(json(503, Json::object()));
    } else if (request.path == "/v1/log-append") {
        const auto answer = append(request);
        if (!m_isLosingAppendAnswers) {
            respond(answer);
        }
        answerDueRequests();
    } else if (request.path == "/v1/log-newest") {
        respond(newest(request, view));
    } else if (request.path == "/v1/log-read") {
        const auto wait = Millis(numberOf(request, "wait-ms", 0));
        m_pendingReads.push_back({&view,
                                  queryOf(request, "topic"),
                                  numberOf(request, "from", 0),
                                  numberOf(request, "max-kb", 1024) << 10,
                                  monotonicNow() + wait,
                                  std::move(respond)});
        answerDueRequests();
    } else {
        respond(json(404, Json::object()));
    }
}

bool WireStandIn::hasTooLargeRecord(const QByteArray &records) const
{
    constexpr qsizetype LengthBytes = 4;
    qsizetype at = 0;
    while (at + LengthBytes <= records.size()) {
        const auto size = static_cast<qsizetype>(qFromBigEndian<quint32>(records.constData() + at));
        if (size > maxRecordBytes) {
            return true;
        }
        at += LengthBytes + size;
    }
    return false;
}

HttpResponse WireStandIn::append(const HttpRequest &request)
{
    if (hasTooLargeRecord(request.body)) {
        return json(400, {{"reason", "record"}});
    }
    auto &topic = m_topics[queryOf(request, "topic")];
    const auto end = static_cast<std::int64_t>(topic.records.size());
    if (numberOf(request, "at", end) != end) {
        return json(412, {{"end-offset", end}});
    }
    const auto producer = queryOf(request, "producer");
    const auto epoch = numberOf(request, "epoch", 0);
    const auto sequence = numberOf(request, "sequence", 0);
    auto known = topic.producers.find(producer);
    if (!producer.empty() && known != topic.producers.end()) {
        if (epoch < known->second.first) {
            return json(409, {{"reason", "fenced"}});
        }
        if (epoch == known->second.first && sequence == known->second.second) {
            return json(200, {{"offset", end - 1}, {"end-offset", end}});
        }
        if (epoch == known->second.first && sequence != known->second.second + 1) {
            return json(409, {{"reason", "seq"}});
        }
    }
    if (!producer.empty()) {
        topic.producers[producer] = {epoch, sequence};
    }
    const auto &body = request.body;
    qsizetype at = 0;
    while (at + 4 <= body.size()) {
        const auto size = static_cast<qsizetype>(qFromBigEndian<quint32>(body.constData() + at));
        const auto keySize = static_cast<qsizetype>(static_cast<unsigned char>(body[at + 4]));
        const auto key = body.mid(at + 5, keySize).toStdString();
        const auto value = body.mid(at + 5 + keySize, size - 1 - keySize).toStdString();
        topic.records.emplace_back(key, value.empty() ? std::nullopt : std::optional(value));
        at += 4 + size;
    }
    return json(200, {{"offset", end}, {"end-offset", topic.records.size()}});
}

HttpResponse WireStandIn::newest(const HttpRequest &request, const PortView &view) const
{
    const auto after = queryOf(request, "after");
    const auto name = queryOf(request, "topic");
    const auto topic = m_topics.find(name);
    std::map<std::string, std::pair<std::string, std::int64_t>> found;
    std::int64_t end = 0;
    if (topic != m_topics.end()) {
        for (const auto &[key, value] : topic->second.records) {
            found.erase(key);
            if (value) {
                found[key] = {*value, end};
            }
            ++end;
        }
    }
    Json items = Json::array();
    for (auto it = found.upper_bound(after); it != found.end() && items.size() < newestPageSize; ++it) {
        const auto value = QByteArray::fromStdString(valueIn(view, name, it->second.first)).toBase64().toStdString();
        items.push_back({{"key", it->first}, {"value", value}, {"offset", it->second.second}});
    }
    const bool hasMore = !items.empty() && found.upper_bound(items.back()["key"].get<std::string>()) != found.end();
    return json(200, {{"items", items}, {"has-more", hasMore}, {"end-offset", end}});
}

HttpResponse WireStandIn::readRecords(const PendingRead &reader) const
{
    HttpResponse out;
    const auto topic = m_topics.find(reader.topic);
    const auto end = topic == m_topics.end() ? 0 : static_cast<std::int64_t>(topic->second.records.size());
    const auto first = topic == m_topics.end() ? 0 : topic->second.first;
    if (reader.from < first) {
        return json(410, {{"first-offset", first}});
    }
    out.body.resize(16);
    qToBigEndian(static_cast<quint64>(end), out.body.data());
    qToBigEndian(static_cast<quint64>(first), out.body.data() + 8);
    for (auto i = reader.from; i < end && (i == reader.from || out.body.size() < reader.maxBytes); ++i) {
        const auto &[key, stored] = topic->second.records[static_cast<std::size_t>(i)];
        const auto value = stored ? std::optional(valueIn(*reader.view, reader.topic, *stored)) : std::nullopt;
        QByteArray record(4, Qt::Uninitialized);
        qToBigEndian(static_cast<quint32>(1 + key.size() + (value ? value->size() : 0)), record.data());
        record.append(static_cast<char>(key.size()));
        record.append(key.data(), static_cast<qsizetype>(key.size()));
        if (value) {
            record.append(value->data(), static_cast<qsizetype>(value->size()));
        }
        out.body.append(record);
    }
    return out;
}

void WireStandIn::answerDueRequests()
{
    const auto now = monotonicNow();
    std::vector<PendingRead> ready;
    std::erase_if(m_pendingReads, [&](PendingRead &it) {
        const bool isDue = it.until <= now || static_cast<std::int64_t>(topicSize(it.topic)) > it.from || it.from < m_topics[it.topic].first;
        if (isDue) {
            ready.push_back(it);
        }
        return isDue;
    });
    for (const auto &it : ready) {
        it.respond(m_isStoreDown ? json(503, Json::object()) : readRecords(it));
    }
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
        const bool isDue = isKeptCallDue && isKeptCallDue(it.worker, it.request);
        if (isDue) {
            due.push_back(it);
        }
        return isDue;
    });
    for (const auto &it : due) {
        ++m_lateCallCount;
        if (it.request.path == "/v1/hold") {
            m_workers[it.worker]->poll(pollOf(it.request), monotonicNow());
        } else {
            changeRun(it.worker, it.request);
        }
    }
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
