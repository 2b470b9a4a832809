#include "marjoramhaven/platform/HttpWorkerService.h"

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/platform/WorkerCodec.h"

namespace marjoramhaven {

namespace {
constexpr Millis ResponseTimeout {1500};
constexpr int StatusOk = 200;

// Wraps a callback that takes a T into one that takes the JSON body, and decodes the body with `read`.
template<typename T>
auto decodeWith(std::function<void(std::optional<T>, TimePoint)> done, T (*read)(const QJsonObject &))
{
    return [done = std::move(done), read](const std::optional<QJsonObject> &body, TimePoint at) {
        done(body ? std::optional<T>(read(*body)) : std::nullopt, at);
    };
}
} // namespace

HttpWorkerService::HttpWorkerService(HttpClient &client, QString baseUrl)
    : m_client(client)
    , m_baseUrl(std::move(baseUrl))
{
}

void HttpWorkerService::post(const char *path,
                             const QJsonObject &body,
                             Millis timeout,
                             const std::function<void(const std::optional<QJsonObject> &, TimePoint)> &done)
{
    m_client.call("POST", m_baseUrl + QLatin1String(path), jsonBytes(body), timeout, [done](const HttpResult &answer) {
        const bool ok = answer.hasResponse && answer.status == StatusOk;
        done(ok ? parseJsonObject(answer.body) : std::nullopt, monotonicNow());
    });
}

void HttpWorkerService::open(const std::string &owner, OpenDone done)
{
    post(
        "/v1/session", {{QLatin1String("owner"), toQt(owner)}}, ResponseTimeout, decodeWith<OpenSessionResponse>(std::move(done), openSessionResponseFromJson));
}

void HttpWorkerService::renew(const RenewRequest &request, RenewDone done)
{
    post("/v1/renew", toJson(request), request.wait + ResponseTimeout, decodeWith<RenewResponse>(std::move(done), renewResponseFromJson));
}

void HttpWorkerService::start(const StartRequest &request, StartDone done)
{
    post("/v1/start",
         toJson(request),
         request.awaitEnd ? m_awaitEndTimeout : ResponseTimeout,
         decodeWith<StartResponse>(std::move(done), startResponseFromJson));
}

void HttpWorkerService::close(const AttemptId &attempt, ReportDone done)
{
    post("/v1/close", toJson(attempt), ResponseTimeout, decodeWith<AttemptReport>(std::move(done), attemptReportFromJson));
}

void HttpWorkerService::stop(std::int64_t session, const AttemptId &attempt, ReportDone done)
{
    const QJsonObject body {{QLatin1String("session"), static_cast<qint64>(session)}, {QLatin1String("attempt"), toJson(attempt)}};
    post("/v1/stop", body, ResponseTimeout, decodeWith<AttemptReport>(std::move(done), attemptReportFromJson));
}

HttpWorkerDirectory::HttpWorkerDirectory(HttpClient &client)
    : m_client(client)
{
}

WorkerService &HttpWorkerDirectory::worker(const std::string &url)
{
    auto &it = m_workers[url];
    if (!it) {
        it = std::make_unique<HttpWorkerService>(m_client, toQt(url));
    }
    return *it;
}

} // namespace marjoramhaven
