#pragma once

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ClientApiServer.h"
#include "HttpStateLog.h"
#include "HttpWorkerClient.h"
#include "WireDocuments.h"
#include "WireJson.h"
#include "marjoramhaven/fleetnode/FleetNode.h"
#include "marjoramhaven/standin/FreePort.h"
#include "support/Events.h"
#include "support/WireStandIn.h"

namespace marjoramhaven::test {

inline FleetNodeSettings settingsOf(const std::string &name, WireStandIn &platform)
{
    FleetNodeSettings out;
    out.name = name;
    out.zone = "z";
    out.store = {"127.0.0.1", platform.storePort()};
    out.advisor = {"127.0.0.1", platform.advisorPort()};
    out.peers = {"127.0.0.1", freePort()};
    out.storeMaxRecordBytes = platform.store().maxRecordBytes;
    return out;
}

/// One process of the fleet scheduler, run inside the test process.
struct Node {
    FleetNodeSettings settings;
    QObject context;
    EventLog events;
    Metrics metrics;
    PooledHttpClient httpClient;
    platform::HttpStateLog log;
    platform::HttpWorkerClient workers;
    platform::HttpAdvisorClient advisor;
    FleetNode node;
    platform::ClientApiServer api;
    int port = 0;

    Node(const std::string &name, WireStandIn &platform)
        : Node(settingsOf(name, platform))
    {
    }

    explicit Node(const FleetNodeSettings &nodeSettings)
        : settings(nodeSettings)
        , events(settings.name, -1)
        , httpClient(context, 10)
        , log(httpClient, settings.store, settings.storeMaxRecordBytes)
        , workers(httpClient)
        , advisor(httpClient, settings.advisor)
        , node(settings, {log, workers, advisor, platform::decodeWorker, platform::decodeConfiguration, "config"}, events, metrics)
        , api(node)
    {
        port = freePort();
        BOOST_REQUIRE(api.listenOn("127.0.0.1", port));
        BOOST_REQUIRE(node.start());
    }
};

/// Some processes of the fleet scheduler and the platform that they use.
struct Fleet {
    WireStandIn platform;
    std::vector<std::unique_ptr<Node>> nodes;
    QObject context;
    PooledHttpClient client {context, 8};

    explicit Fleet(int count, std::int64_t maxRecordBytes = 262'144, int workers = 4)
        : platform(workers)
    {
        platform.store().maxRecordBytes = maxRecordBytes;
        platform.putConfiguration(3, "host.example", {"/q/"}, true);
        for (int i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<Node>("node-" + std::to_string(i), platform));
        }
    }

    CallResult
    call(std::size_t node, const std::string &method, const std::string &path, const std::string &body = {}, const std::string &host = "host.example")
    {
        std::optional<CallResult> out;
        OutgoingCall call;
        call.method = method;
        call.host = "127.0.0.1";
        call.port = nodes[node]->port;
        call.target = path;
        call.body = body;
        call.headers.emplace_back("Host", host);
        call.timeout = Millis(5000);
        client.call(std::move(call), [&](const CallResult &result) {
            out = result;
        });
        waitFor(
            [&]() {
                return out.has_value();
            },
            6000);
        return out.value_or(CallResult {});
    }

    bool isCompleted(std::size_t node, const std::string &job)
    {
        const auto answer = call(node, "GET", "/q/" + job);
        return answer.status == 200 && answer.body == R"({"state":"completed"})";
    }

    bool isLeading(std::size_t node)
    {
        nodes[node]->node.updateGauges();
        return nodes[node]->metrics.render().find("leading 1") != std::string::npos;
    }

    // Ends the process that leads.
    void removeLeader()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (isLeading(i)) {
                nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(i));
                return;
            }
        }
        BOOST_FAIL("no process leads");
    }

    bool areReady() const
    {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &it) {
            return it->node.isReady();
        });
    }
};

} // namespace marjoramhaven::test
