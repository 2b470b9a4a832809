#include "marjoramhaven/cli/ApiClient.h"

#include <QEventLoop>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

ApiClient::ApiClient(std::vector<std::string> addresses)
    : m_addresses(std::move(addresses))
{
}

HttpResult ApiClient::callOne(const std::string &address, const QByteArray &method, const std::string &path, const QByteArray &body, Millis timeout)
{
    HttpResult out;
    QEventLoop loop;
    m_http.call(method, toQt("http://" + address + path), body, timeout, [&](const HttpResult &answer) {
        out = answer;
        loop.quit();
    });
    loop.exec();
    return out;
}

std::optional<ApiResponse> ApiClient::call(const QByteArray &method, const std::string &path, const QJsonObject &body, bool mayRepeat, Millis timeout)
{
    std::string reasons;
    for (const auto &address : m_addresses) {
        const auto answer = callOne(address, method, path, body.isEmpty() ? QByteArray() : jsonBytes(body), timeout);
        if (answer.hasResponse) {
            return ApiResponse {answer.status, parseJsonObject(answer.body).value_or(QJsonObject())};
        }
        reasons += (reasons.empty() ? "" : "; ") + address + ": " + answer.error;
        if (!mayRepeat) {
            break;
        }
    }
    setLastReason(reasons);
    return std::nullopt;
}

} // namespace marjoramhaven
