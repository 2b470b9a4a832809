#include "marjoramhaven/http/HttpClient.h"

#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include "OneShotBody.h"
#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {
// QNetworkAccessManager opens at most this many connections to one host; a further manager is created when all of them are in use.
constexpr int ConnectionsPerManager = 6;
} // namespace

HttpClient::HttpClient(QObject *parent)
    : QObject(parent)
{
}

HttpClient::PooledManager &HttpClient::managerFor(const QString &host)
{
    for (auto &it : m_managers) {
        if (it->activeCalls[host] < ConnectionsPerManager) {
            return *it;
        }
    }
    m_managers.push_back(std::make_unique<PooledManager>());
    m_managers.back()->manager = std::make_unique<QNetworkAccessManager>();
    return *m_managers.back();
}

void HttpClient::call(const QByteArray &method, const QString &url, const QByteArray &body, Millis timeout, Done done, const std::string &traceparent)
{
    if (m_isShutDown) {
        return;
    }
    const QUrl target(url);
    const QString host = target.authority();
    auto *pooled = &managerFor(host);
    ++pooled->activeCalls[host];
    ++m_inFlight;
    QNetworkRequest request(target);
    request.setTransferTimeout(static_cast<int>(timeout.count()));
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    if (!traceparent.empty()) {
        request.setRawHeader("traceparent", QByteArray::fromStdString(traceparent));
    }
    QNetworkReply *reply = nullptr;
    if (body.isEmpty()) {
        reply = pooled->manager->sendCustomRequest(request, method);
    } else {
        request.setHeader(QNetworkRequest::ContentTypeHeader, QLatin1String("application/json"));
        request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
        request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
        auto *device = new OneShotBody(body);
        reply = pooled->manager->sendCustomRequest(request, method, device);
        device->setParent(reply);
        m_bodyBytes += body.size();
    }
    connect(reply, &QNetworkReply::finished, this, [this, reply, pooled, host, done = std::move(done)]() {
        --pooled->activeCalls[host];
        finish(reply, done);
    });
}

void HttpClient::shutDown()
{
    m_isShutDown = true;
    for (auto &it : m_managers) {
        for (auto *reply : it->manager->findChildren<QNetworkReply *>()) {
            disconnect(reply, nullptr, this, nullptr);
        }
    }
    m_managers.clear();
}

void HttpClient::finish(QNetworkReply *reply, const Done &done)
{
    --m_inFlight;
    HttpResult out;
    out.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const bool isComplete = reply->error() == QNetworkReply::NoError || (out.status >= 400 && reply->error() > QNetworkReply::ProxyAuthenticationRequiredError);
    out.hasResponse = isComplete && out.status != 0;
    out.body = reply->isOpen() ? reply->readAll() : QByteArray();
    out.retryAfterSeconds = reply->rawHeader("Retry-After").toInt();
    if (!out.hasResponse) {
        out.error = reply->errorString().toStdString();
    }
    m_bodyBytes += out.body.size();
    reply->deleteLater();
    done(out);
}

} // namespace marjoramhaven
