#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/cli/ApiClient.h"
#include "marjoramhaven/node/EntryNode.h"
#include "marjoramhaven/standin/FreePort.h"
#include "marjoramhaven/standin/StandInPlatform.h"

namespace marjoramhaven::test {

/// A cluster of entry nodes and a stand-in platform, all in this process and connected over loopback.
class TestCluster
{
public:
    TestCluster(const std::vector<std::string> &zones, int entriesPerZone, int workersPerZone)
    {
        StandInFleet fleet;
        fleet.zones = zones;
        fleet.workersPerZone = workersPerZone;
        for (const auto &zone : zones) {
            for (int i = 0; i < entriesPerZone; ++i) {
                Settings it;
                it.name = zone + "-e" + std::to_string(i);
                it.zone = zone;
                it.clientListen = {"127.0.0.1", freePort()};
                it.peerListen = {"127.0.0.1", freePort()};
                it.lease = Millis(1500);
                it.renewInterval = Millis(300);
                it.shutdownTimeout = Millis(5000);
                settings.push_back(it);
                Vm vm;
                vm.name = it.name;
                vm.zone = zone;
                vm.role = VmRole::Entry;
                fleet.entries.push_back(vm);
            }
        }
        platform = std::make_unique<StandInPlatform>(fleet);
        const auto url = "http://127.0.0.1:" + std::to_string(platform->listenOn(0));
        for (auto &it : settings) {
            it.platformUrl = url;
            for (const auto &other : settings) {
                if (other.name != it.name) {
                    it.peers.push_back({other.name, other.zone, other.peerListen});
                }
            }
        }
        for (std::size_t i = 0; i < settings.size(); ++i) {
            startNode(i);
        }
    }

    void startNode(std::size_t i) { nodes[i] = EntryNode::start(settings[i]); }
    void killNode(std::size_t i) { nodes.erase(i); }

    /// Runs the event loop until the condition holds. Returns false when it does not hold within the time.
    static bool waitFor(const std::function<bool()> &condition, Millis within = Millis(20'000))
    {
        QElapsedTimer timer;
        timer.start();
        while (!condition()) {
            if (timer.elapsed() > within.count()) {
                return false;
            }
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 10);
            QCoreApplication::processEvents();
        }
        return true;
    }

    /// Returns the index of the node that leads a zone and has recovered the zone's state, or -1.
    int leaderOf(const std::string &zone) const
    {
        for (const auto &[i, node] : nodes) {
            const auto status = node->shared().status();
            if (settings[i].zone == zone && status.isLeading && status.zone.recovered) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    bool waitForLeader(const std::string &zone)
    {
        return waitFor([&]() {
            return leaderOf(zone) >= 0;
        });
    }

    std::optional<ApiResponse> call(std::size_t node, const QByteArray &method, const std::string &path, const QJsonObject &body = {})
    {
        ApiClient client({settings[node].clientListen.toString()});
        return client.call(method, path, body, false, Millis(15'000));
    }

    /// Sends a configuration patch to a node, based on the version in force there.
    std::optional<ApiResponse> patch(std::size_t node, const std::string &id, const char *text)
    {
        const auto now = call(node, "GET", "/v1/config");
        const auto base = now ? now->body.value(QLatin1String("version")).toInteger() : 0;
        return call(node,
                    "POST",
                    "/v1/config/patches",
                    {{QLatin1String("id"), toQt(id)}, {QLatin1String("base"), base}, {QLatin1String("patch"), *parseJsonObject(text)}});
    }

    /// Adds a team to the configuration and waits until every node knows it.
    bool addTeam(const std::string &team)
    {
        const auto text = R"({"teams": {")" + team + R"(": {"share": 1, "cap": 1}}})";
        const auto answer = patch(nodes.begin()->first, "team-" + team, text.c_str());
        return answer && answer->status == 200 && waitFor([&]() {
                   return std::all_of(nodes.begin(), nodes.end(), [&](const auto &it) {
                       return it.second->shared().replicatedState.configuration().configuration()->team(team) != nullptr;
                   });
               });
    }

    std::vector<Settings> settings;
    std::unique_ptr<StandInPlatform> platform;
    std::map<std::size_t, std::unique_ptr<EntryNode>> nodes;
};

/// Returns the body of an urgent short request, such as a leap-second check that a station sends.
inline QJsonObject urgentShortRequest(const std::string &id, int runMs, bool repeatable = true)
{
    JobSpec spec;
    spec.id = id;
    spec.team = "signal";
    spec.urgency = "urgent";
    spec.kind = JobKind::ShortRequest;
    spec.repeatable = repeatable;
    spec.resources = Resources(500, 256, 0, 1, 1);
    spec.work = {{QLatin1String("run_ms"), runMs}, {QLatin1String("echo"), toQt("result of " + id)}};
    return spec.toJson();
}

/// Returns a string field of a response's body, or "no answer" when there was no response.
inline std::string answerField(const std::optional<ApiResponse> &answer, const char *key = "answer")
{
    return answer ? answer->body.value(QLatin1String(key)).toString().toStdString() : "no answer";
}

} // namespace marjoramhaven::test
