#pragma once

#include <QString>

#include "marjoramhaven/http/HttpClient.h"
#include "marjoramhaven/platform/LogService.h"
#include "marjoramhaven/platform/VmList.h"

namespace marjoramhaven {

/// Accesses the platform's log over HTTP.
class HttpLogService : public LogService
{
public:
    HttpLogService(HttpClient &client, QString baseUrl);

    void append(const std::vector<QJsonObject> &records, AppendDone done) override;
    void read(std::int64_t from, Millis wait, ReadDone done) override;

private:
    HttpClient &m_client;
    QString m_baseUrl;
};

/// Reads the platform's list of VMs over HTTP.
class HttpVmList : public VmList
{
public:
    HttpVmList(HttpClient &client, QString baseUrl);

    void list(const std::string &zone, ListDone done) override;

private:
    HttpClient &m_client;
    QString m_baseUrl;
};

} // namespace marjoramhaven
