#pragma once

#include <QJsonObject>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/http/HttpClient.h"

namespace marjoramhaven {

/// A response of an entry process: the HTTP status and the JSON body, which is empty when the body is not a JSON object.
struct ApiResponse {
    int status = 0;
    QJsonObject body;
};

/// Blocking client for the HTTP interface of entry processes. Needs a QCoreApplication.
class ApiClient
{
public:
    /// Takes the addresses of entry processes as "host:port"; calls try them in this order.
    explicit ApiClient(std::vector<std::string> addresses);

    /// Sends the request to one address after the other until an entry process answers. With `mayRepeat` false, sends it to the first address
    /// only. The timeout applies to each attempt. Returns std::nullopt and sets lastReason() when no entry process answered.
    std::optional<ApiResponse> call(const QByteArray &method, const std::string &path, const QJsonObject &body, bool mayRepeat, Millis timeout);

private:
    HttpResult callOne(const std::string &address, const QByteArray &method, const std::string &path, const QByteArray &body, Millis timeout);

    std::vector<std::string> m_addresses;
    HttpClient m_http;
};

} // namespace marjoramhaven
