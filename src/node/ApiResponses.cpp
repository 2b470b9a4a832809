#include "ApiResponses.h"

#include <QJsonArray>
#include <algorithm>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {

QByteArray retryAfterHeader(Millis retryAfter)
{
    return QByteArray::number(std::max<std::int64_t>(1, (retryAfter.count() + 999) / 1000));
}

} // namespace

int httpStatusOf(ShortRequestOutcome outcome)
{
    switch (outcome) {
    case ShortRequestOutcome::Done:
    case ShortRequestOutcome::Failed:
        return 200;
    case ShortRequestOutcome::NotRun:
        return 503;
    case ShortRequestOutcome::Unknown:
        break;
    }
    return 504;
}

QJsonArray findingsToJson(const Findings &findings)
{
    QJsonArray out;
    for (const auto &it : findings.items()) {
        out.append(QJsonObject {{QLatin1String("pointer"), toQt(it.location.pointer)}, {QLatin1String("message"), toQt(it.message)}});
    }
    return out;
}

// Callers act on the "answer" member; the other members are for people and for generic problem-details clients.
HttpResponse problemResponse(int status, const char *answer, const std::string &id, const std::string &detail, Millis retryAfter)
{
    QJsonObject out {{QLatin1String("title"), QLatin1String(answer)},
                     {QLatin1String("status"), status},
                     {QLatin1String("detail"), toQt(detail)},
                     {QLatin1String("answer"), QLatin1String(answer)},
                     {QLatin1String("id"), toQt(id)}};
    auto response = HttpResponse::json(status, out);
    response.type = "application/problem+json";
    if (retryAfter > Millis(0)) {
        response.headers.emplace_back("Retry-After", retryAfterHeader(retryAfter));
    }
    return response;
}

HttpResponse invalidResponse(const Findings &findings)
{
    auto response = HttpResponse::json(422,
                                       {{QLatin1String("title"), QLatin1String("not valid")},
                                        {QLatin1String("status"), 422},
                                        {QLatin1String("detail"), toQt(findings.toString())},
                                        {QLatin1String("answer"), QLatin1String("not-run")},
                                        {QLatin1String("findings"), findingsToJson(findings)}});
    response.type = "application/problem+json";
    return response;
}

QJsonObject jobToJson(const JobEntry &entry)
{
    std::map<std::string, int> counts;
    QJsonArray results;
    for (const auto &[index, end] : entry.ended) {
        ++counts[std::string(nameOf(end.outcome))];
        results.append(
            QJsonObject {{QLatin1String("index"), index}, {QLatin1String("outcome"), toQt(nameOf(end.outcome))}, {QLatin1String("result"), toQt(end.result)}});
    }
    QJsonObject ended;
    for (const auto &[name, n] : counts) {
        ended.insert(toQt(name), n);
    }
    const char *state = entry.isFinished() ? "finished" : entry.cancelled ? "cancelling" : "accepted";
    return {{QLatin1String("id"), toQt(entry.spec.id)},
            {QLatin1String("team"), toQt(entry.spec.team)},
            {QLatin1String("kind"), toQt(nameOf(entry.spec.kind))},
            {QLatin1String("zone"), toQt(entry.homeZone)},
            {QLatin1String("state"), QLatin1String(state)},
            {QLatin1String("tasks"), entry.spec.tasks},
            {QLatin1String("ended"), ended},
            {QLatin1String("results"), results}};
}

HttpResponse acceptedResponse(const JobEntry &entry)
{
    auto response = HttpResponse::json(202,
                                       {{QLatin1String("answer"), QLatin1String("accepted")},
                                        {QLatin1String("id"), toQt(entry.spec.id)},
                                        {QLatin1String("zone"), toQt(entry.homeZone)},
                                        {QLatin1String("location"), toQt("/v1/jobs/" + entry.spec.id)},
                                        {QLatin1String("kept_by"), QLatin1String("the platform's log")}});
    response.headers.emplace_back("Location", QByteArray::fromStdString("/v1/jobs/" + entry.spec.id));
    return response;
}

HttpResponse versionResponse(const ConfigurationVersion &version)
{
    auto object = toJson(version);
    object.insert(QLatin1String("version"), static_cast<qint64>(version.number));
    return HttpResponse::json(200, object);
}

HttpResponse verdictResponse(const PatchVerdict &verdict)
{
    const bool ok = verdict.state == PatchState::Accepted;
    const int status = ok ? 200 : 409;
    return HttpResponse::json(status,
                              {{QLatin1String("answer"), toQt(nameOf(verdict.state))},
                               {QLatin1String("version"), static_cast<qint64>(verdict.version)},
                               {QLatin1String("findings"), findingsToJson(verdict.findings)}});
}

} // namespace marjoramhaven
