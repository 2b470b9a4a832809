#include "marjoramhaven/node/NodeApi.h"

#include <QJsonArray>
#include <algorithm>

#include "ApiResponses.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/MergePatch.h"

namespace marjoramhaven {

namespace {

// How long a caller waits until its record has been appended to the log and read back.
constexpr Millis RecordTimeout {5000};
constexpr std::size_t MaxListedItems = 1000;

} // namespace

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

std::optional<JobSpec> NodeApi::readSpec(const HttpRequest &request, const HttpRespond &respond)
{
    if (m_shared.refusing) {
        respond(problemResponse(503, "not-run", "", "this entry process is shutting down; use another one", Millis(1000)));
        return std::nullopt;
    }
    const auto object = parseJsonObject(request.body);
    if (!object) {
        respond(problemResponse(400, "not-run", "", lastReason()));
        return std::nullopt;
    }
    Findings findings;
    auto spec = JobSpec::fromJson(*object, findings);
    if (findings.isEmpty()) {
        spec.checkAgainst(*m_shared.replicatedState.configuration().configuration(), findings);
    }
    if (!findings.isEmpty()) {
        respond(invalidResponse(findings));
        return std::nullopt;
    }
    if (spec.zone.empty()) {
        spec.zone = m_settings.zone;
    }
    return spec;
}

void NodeApi::postRequest(const HttpRequest &request, const HttpRespond &respond)
{
    auto spec = readSpec(request, respond);
    if (!spec) {
        return;
    }
    spec->kind = JobKind::ShortRequest;
    m_dispatcher.dispatch(*spec, request.traceparent, monotonicNow(), [respond, id = spec->id, zone = spec->zone](const ShortRequestAnswer &answer) {
        if (answer.outcome == ShortRequestOutcome::NotRun || answer.outcome == ShortRequestOutcome::Unknown) {
            const auto retryAfter = answer.outcome == ShortRequestOutcome::NotRun ? std::max(answer.retryAfter, Millis(1)) : Millis(0);
            respond(problemResponse(httpStatusOf(answer.outcome), nameOf(answer.outcome).data(), id, answer.reason, retryAfter));
            return;
        }
        respond(HttpResponse::json(200,
                                   {{QLatin1String("answer"), toQt(nameOf(answer.outcome))},
                                    {QLatin1String("id"), toQt(id)},
                                    {QLatin1String("zone"), toQt(zone)},
                                    {QLatin1String("result"), toQt(answer.result)}}));
    });
}

void NodeApi::getRequest(const std::string &id, const HttpRespond &respond)
{
    const auto claim = m_shared.replicatedState.claims().claim(id);
    if (claim && claim->end) {
        respond(HttpResponse::json(200,
                                   {{QLatin1String("answer"), toQt(nameOf(claim->end->outcome))},
                                    {QLatin1String("id"), toQt(id)},
                                    {QLatin1String("result"), toQt(claim->end->result)}}));
    } else if (claim && !claim->nonce.empty()) {
        respond(problemResponse(504, "unknown", id, "an entry process has claimed the request, but its outcome is not recorded yet"));
    } else {
        respond(HttpResponse::problem(404, "not known", "no unrepeatable request with this id is recorded, as far as this process has read the log"));
    }
}

void NodeApi::postJob(const HttpRequest &request, const HttpRespond &respond)
{
    auto spec = readSpec(request, respond);
    if (!spec) {
        return;
    }
    if (spec->kind == JobKind::ShortRequest) {
        respond(problemResponse(422, "not-run", spec->id, "a submission of kind short must be sent to /v1/requests"));
        return;
    }
    const auto homeZone = spec->zone;
    if (const auto known = m_shared.replicatedState.jobs().job(spec->id)) {
        const bool same = known->fingerprint == spec->fingerprint();
        respond(same ? acceptedResponse(*known)
                     : problemResponse(409, "refused", spec->id, "the id is already in use for a different job; submit this one under a new id"));
        return;
    }
    postTo(&m_core, [this, spec = *spec, homeZone, respond]() {
        m_core.queryJob(homeZone, spec.id, spec.resources, [this, spec, homeZone, respond](const LiveJobStatus &live) {
            postTo(this, [this, spec, homeZone, respond, live]() {
                if (live.isAnswered && !live.couldFit) {
                    respond(problemResponse(422, "not-run", spec.id, "each task is larger than any worker of zone " + homeZone));
                } else {
                    acceptJob(spec, homeZone, respond);
                }
            });
        });
    });
}

void NodeApi::acceptJob(const JobSpec &spec, const std::string &homeZone, const HttpRespond &respond)
{
    postTo(&m_core, [this, spec, homeZone, respond]() {
        const bool evenIfFailing = false;
        if (!m_core.append(JobAccepted {spec, homeZone}, evenIfFailing)) {
            postTo(this, [spec, respond, reason = lastReason()]() {
                respond(problemResponse(503, "not-run", spec.id, "the job was not accepted, because it can't be recorded in the log: " + reason, Millis(2000)));
            });
            return;
        }
        const auto condition = [this, id = spec.id]() {
            return m_shared.replicatedState.jobs().contains(id);
        };
        m_core.whenApplied(condition, RecordTimeout, [this, spec, respond](bool applied) {
            postTo(this, [this, spec, respond, applied]() {
                const auto entry = m_shared.replicatedState.jobs().job(spec.id);
                if (!applied || !entry) {
                    respond(
                        problemResponse(504,
                                        "unknown",
                                        spec.id,
                                        "the log did not confirm the job within 5 s, so it may have been accepted or not; query it at /v1/jobs/" + spec.id));
                    return;
                }
                const bool same = entry->fingerprint == spec.fingerprint();
                respond(same ? acceptedResponse(*entry)
                             : problemResponse(409, "refused", spec.id, "the id is already in use for a different job; submit this one under a new id"));
            });
        });
    });
}

void NodeApi::getJob(const std::string &id, const HttpRespond &respond)
{
    const auto entry = m_shared.replicatedState.jobs().job(id);
    if (!entry) {
        respond(HttpResponse::problem(404, "no such job", "no job " + id + " is recorded, as far as this process has read the log"));
        return;
    }
    if (entry->isFinished()) {
        respond(HttpResponse::json(200, jobToJson(*entry)));
        return;
    }
    postTo(&m_core, [this, entry, respond]() {
        m_core.queryJob(entry->homeZone, entry->spec.id, entry->spec.resources, [this, entry, respond](const LiveJobStatus &live) {
            postTo(this, [entry, respond, live]() {
                auto out = jobToJson(*entry);
                if (live.isAnswered) {
                    out.insert(QLatin1String("running"), live.running);
                    out.insert(QLatin1String("could_fit"), live.couldFit);
                }
                respond(HttpResponse::json(200, out));
            });
        });
    });
}

void NodeApi::listJobs(const HttpRespond &respond)
{
    QJsonArray out;
    m_shared.replicatedState.jobs().forEach([&](const JobEntry &it) {
        if (out.size() < static_cast<qsizetype>(MaxListedItems)) {
            auto row = jobToJson(it);
            row.remove(QLatin1String("results"));
            out.append(row);
        }
    });
    respond(HttpResponse::json(200, {{QLatin1String("jobs"), out}, {QLatin1String("total"), static_cast<qint64>(m_shared.replicatedState.jobs().size())}}));
}

void NodeApi::cancelJob(const std::string &id, const HttpRespond &respond)
{
    if (!m_shared.replicatedState.jobs().contains(id)) {
        respond(HttpResponse::problem(404, "no such job", "no job " + id + " is recorded, as far as this process has read the log"));
        return;
    }
    postTo(&m_core, [this, id, respond]() {
        const bool evenIfFailing = false;
        if (!m_core.append(JobCancelled {id}, evenIfFailing)) {
            postTo(this, [id, respond, reason = lastReason()]() {
                respond(problemResponse(
                    503, "refused", id, "the job was not cancelled, because the cancellation can't be recorded in the log: " + reason, Millis(2000)));
            });
            return;
        }
        const auto condition = [this, id]() {
            return m_shared.replicatedState.jobs().isFinished(id);
        };
        m_core.whenApplied(condition, RecordTimeout, [this, id, respond](bool) {
            postTo(this, [this, id, respond]() {
                const auto entry = m_shared.replicatedState.jobs().job(id);
                respond(HttpResponse::json(entry && entry->isFinished() ? 200 : 202, entry ? jobToJson(*entry) : QJsonObject()));
            });
        });
    });
}

void NodeApi::postPatch(const HttpRequest &request, const HttpRespond &respond)
{
    constexpr std::size_t MaxIdBytes = 200;
    constexpr std::int64_t LargestVersion = 1'000'000'000;
    const auto object = parseJsonObject(request.body);
    if (!object) {
        respond(problemResponse(400, "refused", "", lastReason()));
        return;
    }
    Findings findings;
    JsonReader reader(*object, "", findings);
    ConfigurationPatch patch;
    patch.id = reader.requiredText("id", MaxIdBytes);
    patch.base = reader.integer("base", -1, 0, LargestVersion);
    patch.author = reader.text("author");
    patch.patch = reader.object("patch");
    reader.rejectUnknown();
    if (patch.base < 0 && findings.isEmpty()) {
        findings.add("/base", "is required");
    }
    if (!findings.isEmpty()) {
        respond(invalidResponse(findings));
        return;
    }
    const auto &history = m_shared.replicatedState.configuration();
    if (const auto known = history.verdict(patch.id)) {
        respond(verdictResponse(*known));
        return;
    }
    const auto current = history.current();
    PatchVerdict earlyVerdict;
    earlyVerdict.version = current.number;
    if (patch.base < current.number) {
        earlyVerdict.findings.add("/base",
                                  "the patch was written against version " + std::to_string(patch.base) + ", but version " + std::to_string(current.number)
                                      + " is in force");
    } else if (patch.base == current.number) {
        const auto next = Configuration::read(applyMergePatch(current.document, patch.patch), earlyVerdict.findings);
        if (next) {
            checkRemovedTeams(*next, earlyVerdict.findings);
        }
    }
    if (!earlyVerdict.findings.isEmpty()) {
        respond(verdictResponse(earlyVerdict));
        return;
    }
    appendPatch(patch, respond);
}

// Adds a finding for each team that has unfinished jobs and that the next configuration lacks, because accepted jobs must not lose their team. This is checked
// when the patch is submitted, since the verdict that is computed from the log considers no jobs.
void NodeApi::checkRemovedTeams(const Configuration &next, Findings &findings) const
{
    std::map<std::string, int> openJobs;
    m_shared.replicatedState.jobs().forEach([&](const JobEntry &it) {
        if (!it.isFinished() && next.team(it.spec.team) == nullptr) {
            ++openJobs[it.spec.team];
        }
    });
    for (const auto &[team, n] : openJobs) {
        findings.add("/teams/" + team, "still has " + std::to_string(n) + " open jobs; cancel them first");
    }
}

void NodeApi::appendPatch(const ConfigurationPatch &patch, const HttpRespond &respond)
{
    postTo(&m_core, [this, patch, respond]() {
        const bool evenIfFailing = false;
        if (!m_core.append(patch, evenIfFailing)) {
            postTo(this, [patch, respond, reason = lastReason()]() {
                respond(
                    problemResponse(503, "refused", patch.id, "the patch was not applied, because it can't be recorded in the log: " + reason, Millis(2000)));
            });
            return;
        }
        const auto condition = [this, id = patch.id]() {
            return m_shared.replicatedState.configuration().verdict(id).has_value();
        };
        m_core.whenApplied(condition, RecordTimeout, [this, id = patch.id, respond](bool) {
            postTo(this, [this, id, respond]() {
                const auto verdict = m_shared.replicatedState.configuration().verdict(id);
                respond(verdict ? verdictResponse(*verdict)
                                : problemResponse(
                                    504,
                                    "unknown",
                                    id,
                                    "the log did not confirm the patch within 5 s, so it may have been accepted or not; query it at /v1/config/patches/" + id));
            });
        });
    });
}

void NodeApi::getPatch(const std::string &id, const HttpRespond &respond)
{
    const auto verdict = m_shared.replicatedState.configuration().verdict(id);
    respond(verdict ? verdictResponse(*verdict)
                    : HttpResponse::problem(404, "not known", "no patch " + id + " is recorded, as far as this process has read the log"));
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
