#include "marjoramhaven/node/NodeApi.h"

#include <QJsonArray>

#include "ApiResponses.h"
#include "NodeApiLimits.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

NodeApi::NodeApi(const Settings &settings, NodeCore &core, NodeSharedState &shared)
    : m_settings(settings)
    , m_core(core)
    , m_shared(shared)
    , m_dispatcher(core, shared, std::hash<std::string>()(settings.name))
{
}

int NodeApi::start()
{
    m_server = std::make_unique<HttpServer>(
        [this](const HttpRequest &request, const HttpRespond &respond) {
            handle(request, respond);
        },
        HttpLimits());
    return m_server->listenOn(QHostAddress(toQt(m_settings.clientListen.host)), m_settings.clientListen.port);
}

void NodeApi::shutDown()
{
    m_dispatcher.shutDown();
    m_server.reset();
}

void NodeApi::handle(const HttpRequest &request, const HttpRespond &respond)
{
    const auto startedAt = std::chrono::steady_clock::now();
    auto span = m_shared.tracer.begin(request.method + " " + request.path, request.traceparent);
    HttpRequest traced = request;
    traced.traceparent = span.context.toHeader();
    route(traced, [this, startedAt, span, respond](HttpResponse response) {
        const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - startedAt;
        m_shared.metrics.observeMillis("http_request_ms", elapsed.count());
        m_shared.metrics.count("http_answers_total{status=\"" + std::to_string(response.status) + "\"}");
        m_shared.tracer.end(span, response.status >= 500);
        respond(std::move(response));
    });
}

void NodeApi::route(const HttpRequest &request, const HttpRespond &respond)
{
    const auto &parts = request.parts;
    if (request.path == "/healthz") {
        respond(HttpResponse::json(200, {{QLatin1String("healthy"), true}}));
    } else if (request.path == "/readyz") {
        const bool ready = !m_shared.draining;
        respond(HttpResponse::json(ready ? 200 : 503, {{QLatin1String("ready"), ready}}));
    } else if (request.path == "/metrics") {
        HttpResponse out;
        out.type = "text/plain; version=0.0.4";
        out.body = QByteArray::fromStdString(m_shared.metrics.render());
        respond(std::move(out));
    } else if (parts.size() < 2 || parts[0] != "v1") {
        respond(HttpResponse::problem(404, "no such resource", "no resource at " + request.path));
    } else if (parts[1] == "requests" && parts.size() == 2 && request.method == "POST") {
        postRequest(request, respond);
    } else if (parts[1] == "requests" && parts.size() == 3 && request.method == "GET") {
        getRequest(parts[2], respond);
    } else if (parts[1] == "jobs") {
        routeJobs(request, respond);
    } else if (parts[1] == "config") {
        routeConfig(request, respond);
    } else if (parts[1] == "status" && parts.size() == 2 && request.method == "GET") {
        getStatus(respond);
    } else if (parts[1] == "drain" && parts.size() == 2 && request.method == "POST") {
        m_shared.draining = true;
        m_log.info("draining at an operator's request; the readiness check now fails");
        respond(HttpResponse::json(200, {{QLatin1String("draining"), true}}));
    } else {
        respond(HttpResponse::problem(404, "no such resource", "no resource for " + request.method + " at " + request.path));
    }
}

void NodeApi::routeJobs(const HttpRequest &request, const HttpRespond &respond)
{
    const auto &parts = request.parts;
    if (parts.size() == 2 && request.method == "POST") {
        postJob(request, respond);
    } else if (parts.size() == 2 && request.method == "GET") {
        listJobs(respond);
    } else if (parts.size() == 3 && request.method == "GET") {
        getJob(parts[2], respond);
    } else if (parts.size() == 3 && request.method == "DELETE") {
        cancelJob(parts[2], respond);
    } else {
        respond(HttpResponse::problem(405, "not allowed", request.method + " is not supported on " + request.path));
    }
}

void NodeApi::routeConfig(const HttpRequest &request, const HttpRespond &respond)
{
    const auto &parts = request.parts;
    const auto &history = m_shared.replicatedState.configuration();
    if (parts.size() == 2 && request.method == "GET") {
        respond(versionResponse(history.current()));
    } else if (parts.size() == 3 && parts[2] == "patches" && request.method == "POST") {
        postPatch(request, respond);
    } else if (parts.size() == 4 && parts[2] == "patches" && request.method == "GET") {
        getPatch(parts[3], respond);
    } else if (parts.size() == 3 && parts[2] == "versions" && request.method == "GET") {
        QJsonArray out;
        for (const auto &it : history.since(-1, MaxListedItems)) {
            auto row = toJson(it);
            row.remove(QLatin1String("document"));
            out.append(row);
        }
        respond(HttpResponse::json(200, {{QLatin1String("versions"), out}}));
    } else if (parts.size() == 4 && parts[2] == "versions" && request.method == "GET") {
        const auto version = history.version(toQt(parts[3]).toLongLong());
        respond(version ? versionResponse(*version) : HttpResponse::problem(404, "no such version", lastReason()));
    } else {
        respond(HttpResponse::problem(405, "not allowed", request.method + " is not supported on " + request.path));
    }
}

void NodeApi::getStatus(const HttpRespond &respond)
{
    const auto status = m_shared.status();
    const auto current = m_shared.replicatedState.configuration().current();
    QJsonArray peers;
    for (const auto &it : status.peers) {
        peers.append(toQt(it));
    }
    const QJsonObject zone {{QLatin1String("workers"), status.zone.workers},
                            {QLatin1String("workers_open"), status.zone.workersWithSession},
                            {QLatin1String("tasks_running"), status.zone.running},
                            {QLatin1String("tasks_waiting"), status.zone.waiting},
                            {QLatin1String("short_active"), status.zone.activeShortRequests},
                            {QLatin1String("workers_quarantined"), static_cast<qint64>(status.zone.quarantined)},
                            {QLatin1String("recovered"), status.zone.recovered}};
    QJsonObject out {{QLatin1String("name"), toQt(m_settings.name)},
                     {QLatin1String("zone"), toQt(m_settings.zone)},
                     {QLatin1String("leader"), toQt(status.leader)},
                     {QLatin1String("epoch"), static_cast<qint64>(status.epoch)},
                     {QLatin1String("leading"), status.isLeading},
                     {QLatin1String("peers"), peers},
                     {QLatin1String("configuration"), static_cast<qint64>(current.number)},
                     {QLatin1String("configuration_hash"), QString::number(static_cast<qulonglong>(current.hash), 16)},
                     {QLatin1String("log_offset"), static_cast<qint64>(status.logOffset)},
                     {QLatin1String("log_failing"), status.logFailing},
                     {QLatin1String("jobs_known"), static_cast<qint64>(m_shared.replicatedState.jobs().size())},
                     {QLatin1String("draining"), m_shared.draining.load()}};
    if (status.isLeading) {
        out.insert(QLatin1String("zone_state"), zone);
    }
    respond(HttpResponse::json(200, out));
}

} // namespace marjoramhaven
