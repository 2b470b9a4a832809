#pragma once

#include "FleetProcesses.h"
#include "RunsAtWork.h"
#include "support/FaultProxy.h"

namespace marjoramhaven::test {

/// Two processes and some workers. Each process has links of its own to the store, to each worker and to the other process.
struct LinkedFleet {
    using Links = std::vector<std::unique_ptr<FaultProxy>>;

    Fleet fleet;
    WireStandIn &platform = fleet.platform;
    RunsAtWork runs;
    Links storeLinks;
    /// Of the other process, to this one.
    Links peerLinks;
    /// By process and worker.
    std::vector<Links> workerLinks;
    /// Number of the process that led first, and of the other one.
    std::size_t leader = 0;
    std::size_t successor = 1;

    explicit LinkedFleet(int workerCount)
        : fleet(0, 262'144, workerCount)
    {
        platform.onRunEvent = [this](const RunEvent &it) {
            runs.record(it);
        };
        std::vector<FleetNodeSettings> settings;
        for (const std::string name : {"node-0", "node-1"}) {
            settings.push_back(settingsOf(name, platform));
            peerLinks.push_back(std::make_unique<FaultProxy>(settings.back().peers.port));
        }
        for (std::size_t i = 0; i < settings.size(); ++i) {
            addLinks(i, settings);
            settings[i].store.port = storeLinks[i]->port();
            fleet.nodes.push_back(std::make_unique<Node>(settings[i]));
        }
        constexpr int ReadyWithinMs = 5000;
        BOOST_REQUIRE(waitFor(
            [this]() {
                return fleet.areReady() && fleet.isLeading(0) != fleet.isLeading(1);
            },
            ReadyWithinMs));
        leader = fleet.isLeading(0) ? 0 : 1;
        successor = 1 - leader;
    }

    /// Cuts the leader off from all but a worker. Both processes notice at once that the link between them is lost.
    void cutOffWith(std::size_t worker)
    {
        storeLinks[leader]->setCut(true);
        for (auto &it : peerLinks) {
            it->setCut(true);
            it->resetConnections();
        }
        for (std::size_t i = 0; i < platform.workerCount(); ++i) {
            workerLinks[leader][i]->setCut(i != worker);
        }
    }

    /// Cuts or restores the link of the successor to a worker.
    void setCutOff(std::size_t worker, bool isCut)
    {
        auto &link = *workerLinks[successor][worker];
        link.setCut(isCut);
        if (!isCut) {
            link.resetConnections();
        }
    }

private:
    void addLinks(std::size_t process, const std::vector<FleetNodeSettings> &settings)
    {
        std::map<int, int> ports;
        workerLinks.emplace_back();
        for (std::size_t i = 0; i < platform.workerCount(); ++i) {
            workerLinks.back().push_back(std::make_unique<FaultProxy>(platform.workerPort(i)));
            ports[platform.workerPort(i)] = workerLinks.back().back()->port();
        }
        const auto other = 1 - process;
        ports[settings[other].peers.port] = peerLinks[other]->port();
        storeLinks.push_back(std::make_unique<FaultProxy>(platform.addStoreView(ports)));
    }
};

} // namespace marjoramhaven::test
