#include "marjoramhaven/standin/StandInWorker.h"

#include <algorithm>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/platform/WorkerCodec.h"

namespace marjoramhaven {

namespace {
constexpr std::int64_t MaxAwaitMs = 30'000;
constexpr int StatusOk = 200;
} // namespace

StandInWorker::StandInWorker(std::string name, Resources capacity, Millis clockOffset, QObject *parent)
    : QObject(parent)
    , m_model(std::move(name), capacity)
    , m_clockOffset(clockOffset)
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &StandInWorker::advance);
}

std::int64_t StandInWorker::clock() const
{
    return millisOf(monotonicNow() + m_clockOffset);
}

int StandInWorker::listenOn(int port)
{
    HttpLimits limits;
    limits.requestBytes = 4 << 20;
    m_server = std::make_unique<HttpServer>(
        [this](const HttpRequest &request, const HttpRespond &respond) {
            handle(request, respond);
        },
        limits);
    return m_server->listenOn(QHostAddress(QHostAddress::LocalHost), port);
}

void StandInWorker::setSilent(bool silent)
{
    m_silent = silent;
    if (silent) {
        m_pendingRenewals.clear();
        m_pendingStarts.clear();
    }
}

void StandInWorker::handle(const HttpRequest &request, const HttpRespond &respond)
{
    if (m_silent) {
        return;
    }
    const auto body = parseJsonObject(request.body);
    if (!body || request.method != "POST") {
        respond(HttpResponse::problem(400, "not valid", "POST a JSON object"));
        return;
    }
    const auto now = clock();
    if (request.path == "/v1/session") {
        respond(HttpResponse::json(StatusOk, toJson(m_model.open(body->value(QLatin1String("owner")).toString().toStdString(), now))));
    } else if (request.path == "/v1/renew") {
        handleRenew(*body, respond);
    } else if (request.path == "/v1/start") {
        handleStart(*body, respond);
    } else if (request.path == "/v1/close") {
        respond(HttpResponse::json(StatusOk, toJson(m_model.close(attemptIdFromJson(*body), now))));
    } else if (request.path == "/v1/stop") {
        const auto attempt = attemptIdFromJson(body->value(QLatin1String("attempt")).toObject());
        respond(HttpResponse::json(StatusOk, toJson(m_model.stop(body->value(QLatin1String("session")).toInteger(), attempt, now))));
    } else {
        respond(HttpResponse::problem(404, "no such resource", request.path));
    }
    advance();
}

void StandInWorker::handleRenew(const QJsonObject &body, const HttpRespond &respond)
{
    const auto request = renewRequestFromJson(body);
    const auto now = clock();
    if (!m_model.renew(request, now) || m_model.hasUnreportedEnds(request.session) || request.wait <= Millis(0)) {
        respond(HttpResponse::json(StatusOk, toJson(m_model.takeUnreportedEnds(request.session, now))));
        return;
    }
    m_pendingRenewals.push_back({{}, request.session, now + request.wait.count(), respond});
}

void StandInWorker::handleStart(const QJsonObject &body, const HttpRespond &respond)
{
    const auto request = startRequestFromJson(body);
    const auto now = clock();
    const auto started = m_model.start(request, now);
    if (m_loseEveryNth > 0 && ++m_startCount % m_loseEveryNth == 0) {
        return;
    }
    if (request.awaitEnd && started.report.state == AttemptState::Running) {
        m_pendingStarts.push_back({request.attempt, request.session, now + MaxAwaitMs, respond});
        return;
    }
    respond(HttpResponse::json(StatusOk, toJson(started)));
}

void StandInWorker::advance()
{
    const auto now = clock();
    m_model.advance(now);
    std::optional<std::int64_t> next = m_model.nextEnd();
    for (auto it = m_pendingStarts.begin(); it != m_pendingStarts.end();) {
        const auto report = m_model.report(it->attempt);
        if (report.state == AttemptState::Running && now < it->until) {
            ++it;
            continue;
        }
        it->respond(HttpResponse::json(StatusOk, toJson(StartResponse {report, ""})));
        it = m_pendingStarts.erase(it);
    }
    for (auto it = m_pendingRenewals.begin(); it != m_pendingRenewals.end();) {
        if (!m_model.hasUnreportedEnds(it->session) && now < it->until) {
            next = std::min(next.value_or(it->until), it->until);
            ++it;
            continue;
        }
        it->respond(HttpResponse::json(StatusOk, toJson(m_model.takeUnreportedEnds(it->session, now))));
        it = m_pendingRenewals.erase(it);
    }
    if (next) {
        m_timer.start(static_cast<int>(std::clamp<std::int64_t>(*next - now, 1, MaxAwaitMs)));
    }
}

} // namespace marjoramhaven
