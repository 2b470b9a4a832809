#pragma once

#include <QJsonObject>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/http/HttpClient.h"

namespace marjoramhaven {

/// An answer of an entry process.
struct ApiAnswer {
    int status = 0;
    QJsonObject body;
};

/// Calls the HTTP interface of entry processes and waits for the answer. Needs a QCoreApplication.
class ApiClient
{
public:
    /// Entry processes as "host:port", tried in turn.
    explicit ApiClient(std::vector<std::string> addresses);

    /// Calls until one entry process answers. A call that may not be sent twice is tried at the first address only.
    /// Nothing, with a last reason, when none answered.
    std::optional<ApiAnswer> call(const QByteArray &method, const std::string &path, const QJsonObject &body, bool mayRepeat, Millis timeout);

private:
    HttpAnswer callOne(const std::string &address, const QByteArray &method, const std::string &path, const QByteArray &body, Millis timeout);

    std::vector<std::string> m_addresses;
    HttpClient m_http;
};

} // namespace marjoramhaven
