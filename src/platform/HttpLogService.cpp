#include "marjoramhaven/platform/HttpLogService.h"

#include <QJsonArray>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/platform/WorkerCodec.h"

namespace marjoramhaven {

namespace {
constexpr Millis ResponseTimeout {2000};
constexpr int StatusOk = 200;

std::optional<QJsonObject> bodyOf(const HttpResult &answer)
{
    return answer.hasResponse && answer.status == StatusOk ? parseJsonObject(answer.body) : std::nullopt;
}
} // namespace

HttpLogService::HttpLogService(HttpClient &client, QString baseUrl)
    : m_client(client)
    , m_baseUrl(std::move(baseUrl))
{
}

void HttpLogService::append(const std::vector<QJsonObject> &records, AppendDone done)
{
    QJsonArray array;
    for (const auto &it : records) {
        array.append(it);
    }
    const QJsonObject body {{QLatin1String("records"), array}};
    m_client.call("POST", m_baseUrl + QLatin1String("/v1/log"), jsonBytes(body), ResponseTimeout, [done = std::move(done)](const HttpResult &answer) {
        done(bodyOf(answer).has_value(), monotonicNow());
    });
}

void HttpLogService::read(std::int64_t from, Millis wait, ReadDone done)
{
    const QString url = m_baseUrl + QLatin1String("/v1/log?from=") + QString::number(from) + QLatin1String("&wait_ms=") + QString::number(wait.count());
    m_client.call("GET", url, {}, wait + ResponseTimeout, [done = std::move(done)](const HttpResult &answer) {
        const auto body = bodyOf(answer);
        if (!body) {
            done(std::nullopt, monotonicNow());
            return;
        }
        LogBatch batch;
        batch.oldest = body->value(QLatin1String("oldest")).toInteger();
        batch.first = body->value(QLatin1String("first")).toInteger();
        batch.next = body->value(QLatin1String("next")).toInteger();
        const auto records = body->value(QLatin1String("records")).toArray();
        for (const auto &it : records) {
            batch.records.push_back(it.toObject());
        }
        done(std::move(batch), monotonicNow());
    });
}

HttpVmList::HttpVmList(HttpClient &client, QString baseUrl)
    : m_client(client)
    , m_baseUrl(std::move(baseUrl))
{
}

void HttpVmList::list(const std::string &zone, ListDone done)
{
    m_client.call("GET", m_baseUrl + QLatin1String("/v1/vms?zone=") + toQt(zone), {}, ResponseTimeout, [done = std::move(done)](const HttpResult &answer) {
        const auto body = bodyOf(answer);
        if (!body) {
            done(std::nullopt, monotonicNow());
            return;
        }
        std::vector<Vm> vms;
        const auto array = body->value(QLatin1String("vms")).toArray();
        for (const auto &it : array) {
            vms.push_back(vmFromJson(it.toObject()));
        }
        done(std::move(vms), monotonicNow());
    });
}

} // namespace marjoramhaven
