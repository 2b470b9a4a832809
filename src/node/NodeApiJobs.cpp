#include "marjoramhaven/node/NodeApi.h"

#include <QJsonArray>

#include "ApiResponses.h"
#include "NodeApiLimits.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

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

} // namespace marjoramhaven
