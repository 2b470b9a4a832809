#pragma once

#include <QObject>
#include <memory>
#include <string>

#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/node/NodeCore.h"
#include "marjoramhaven/node/ShortRequestDispatcher.h"

namespace marjoramhaven {

/// The HTTP interface of a node for callers and operators. Lives on the HTTP thread.
class NodeApi : public QObject
{
    Q_OBJECT

public:
    NodeApi(const Settings &settings, NodeCore &core, NodeSharedState &shared);

    /// Starts to listen. Returns the port, or 0 with a last reason.
    int start();
    /// Closes all connections. Must be called on the HTTP thread before the object is destroyed.
    void shutDown();
    /// Returns the number of requests that have not been answered yet.
    int inFlight() const { return m_server ? m_server->inFlight() : 0; }

private:
    void handle(const HttpRequest &request, const HttpRespond &respond);
    void route(const HttpRequest &request, const HttpRespond &respond);
    void routeJobs(const HttpRequest &request, const HttpRespond &respond);
    void routeConfig(const HttpRequest &request, const HttpRespond &respond);
    void postRequest(const HttpRequest &request, const HttpRespond &respond);
    void getRequest(const std::string &id, const HttpRespond &respond);
    void postJob(const HttpRequest &request, const HttpRespond &respond);
    void acceptJob(const JobSpec &spec, const std::string &homeZone, const HttpRespond &respond);
    void getJob(const std::string &id, const HttpRespond &respond);
    void listJobs(const HttpRespond &respond);
    void cancelJob(const std::string &id, const HttpRespond &respond);
    void postPatch(const HttpRequest &request, const HttpRespond &respond);
    void checkRemovedTeams(const Configuration &next, Findings &findings) const;
    void appendPatch(const ConfigurationPatch &patch, const HttpRespond &respond);
    void getPatch(const std::string &id, const HttpRespond &respond);
    void getStatus(const HttpRespond &respond);
    /// Reads and validates a submission. Responds with the error and returns std::nullopt when the submission is rejected.
    std::optional<JobSpec> readSpec(const HttpRequest &request, const HttpRespond &respond);

    Settings m_settings;
    NodeCore &m_core;
    NodeSharedState &m_shared;
    ShortRequestDispatcher m_dispatcher;
    std::unique_ptr<HttpServer> m_server;
    Log m_log {"api"};
};

} // namespace marjoramhaven
