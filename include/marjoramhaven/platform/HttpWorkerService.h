#pragma once

#include <QString>
#include <map>
#include <memory>

#include "marjoramhaven/http/HttpClient.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

/// Accesses one worker over HTTP.
class HttpWorkerService : public WorkerService
{
public:
    HttpWorkerService(HttpClient &client, QString baseUrl);

    void open(const std::string &owner, OpenDone done) override;
    void renew(const RenewRequest &request, RenewDone done) override;
    void start(const StartRequest &request, StartDone done) override;
    void close(const AttemptId &attempt, ReportDone done) override;
    void stop(std::int64_t session, const AttemptId &attempt, ReportDone done) override;

    /// Sets the time limit for start requests that are answered only when the attempt ends.
    void setAwaitEndTimeout(Millis wait) { m_awaitEndTimeout = wait; }

private:
    void post(const char *path, const QJsonObject &body, Millis timeout, const std::function<void(const std::optional<QJsonObject> &, TimePoint)> &done);

    HttpClient &m_client;
    QString m_baseUrl;
    Millis m_awaitEndTimeout {600'000};
};

/// Creates an HttpWorkerService for each worker's base URL on first use.
class HttpWorkerDirectory : public WorkerDirectory
{
public:
    explicit HttpWorkerDirectory(HttpClient &client);

    WorkerService &worker(const std::string &url) override;

private:
    HttpClient &m_client;
    std::map<std::string, std::unique_ptr<HttpWorkerService>> m_workers;
};

} // namespace marjoramhaven
