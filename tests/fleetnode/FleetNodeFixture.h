#pragma once

#include <boost/test/unit_test.hpp>

#include <QHostAddress>
#include <QTcpSocket>

#include "MemoryLog.h"
#include "marjoramhaven/fleetnode/FleetNode.h"
#include "marjoramhaven/standin/FreePort.h"
#include "support/Events.h"

namespace marjoramhaven::test {

inline constexpr char ConfigurationKey[] = "config";
inline constexpr char UnreadableText[] = "unreadable";
inline constexpr Millis Budget {3000};

// Confirms every start at once and never ends a run.
class AcceptingWorkers : public WorkerClient
{
public:
    void start(const StartRunRequest &request, const CallLimit & /*limit*/, std::function<void(const WorkerResponse &)> done) override
    {
        started.push_back(request);
        done({WorkerCallOutcome::Done, 1000, {}});
    }
    void stop(const StopRunRequest & /*request*/, const CallLimit & /*limit*/, std::function<void(const WorkerResponse &)> done) override
    {
        done({WorkerCallOutcome::Done, 1000, {}});
    }
    void throttle(const ThrottleRunRequest & /*request*/, const CallLimit & /*limit*/, std::function<void(const WorkerResponse &)> done) override
    {
        done({WorkerCallOutcome::Done, 1000, {}});
    }
    void poll(const PollWorkerRequest &request, const CallLimit &limit, std::function<void(const PollWorkerResponse &)> done) override
    {
        polled.push_back(request);
        pollLimits.push_back(limit);
        QTimer::singleShot(static_cast<int>(request.wait.count()), &m_context, [this, done = std::move(done)]() {
            PollWorkerResponse out;
            out.outcome = WorkerCallOutcome::Done;
            out.workerClockMs = 1000;
            out.startedUnixMs = 1;
            for (const auto &it : started) {
                out.running.push_back({it.task, it.attempt, {}, 1, 0});
            }
            done(out);
        });
    }

    std::vector<StartRunRequest> started;
    std::vector<PollWorkerRequest> polled;
    std::vector<CallLimit> pollLimits;

private:
    QObject m_context;
};

class UnavailableAdvisor : public AdvisorClient
{
public:
    void ask(const std::string & /*step*/,
             const std::vector<std::string> & /*workers*/,
             Millis /*timeout*/,
             std::function<void(const AdviceResponse &)> done) override
    {
        done({});
    }
};

inline FleetConfiguration testConfiguration()
{
    FleetConfiguration out;
    out.version = 1;
    QueuePolicy queue;
    queue.name = "q";
    queue.host = "h";
    queue.prefix = "/q/";
    queue.service = "s";
    out.add(queue);
    return out;
}

inline std::optional<WorkerReport> testWorker(const std::string &id, const std::string & /*text*/)
{
    WorkerReport out;
    out.id = id;
    out.service = "s";
    out.host = "127.0.0.1";
    out.port = 1;
    out.capacity = {8000, 16000, 0};
    out.startedUnixMs = 1;
    return out;
}

struct Node {
    MemoryLog &log;
    AcceptingWorkers workers;
    UnavailableAdvisor advisor;
    EventLog events {"node", -1};
    Metrics metrics;
    FleetNodeSettings settings;
    std::unique_ptr<FleetNode> node;

    explicit Node(MemoryLog &it, int peerPort = freePort())
        : log(it)
    {
        settings.name = "node";
        settings.zone = "z";
        settings.peers = {"127.0.0.1", peerPort};
        const FleetPlatform platform {log,
                                      workers,
                                      advisor,
                                      testWorker,
                                      [](const std::string &text) {
                                          return text == UnreadableText ? std::nullopt : std::optional(testConfiguration());
                                      },
                                      ConfigurationKey};
        node = std::make_unique<FleetNode>(settings, platform, events, metrics);
        BOOST_REQUIRE(node->start());
    }

    FleetJobRequest job(const std::string &id) const
    {
        FleetJobRequest out;
        out.id = id;
        out.queue = *testConfiguration().find("h", "/q/");
        StepSpec step;
        step.taskCount = 1;
        step.needs = {1000, 100, 0};
        step.estimateMs = 1000;
        out.steps.push_back(step);
        return out;
    }

    // Must not be called from a condition of waitFor(), since the event loops can't be nested.
    QueryResult queryJob(const std::string &job)
    {
        std::optional<QueryResult> out;
        node->query(job, Budget, [&out](const QueryResult &answer) {
            out = answer;
        });
        waitFor(
            [&out]() {
                return out.has_value();
            },
            static_cast<int>(Budget.count()) + 1000);
        return out.value_or(QueryResult {});
    }
};

// Opens a link to a process, as a peer that sends nothing by itself.
inline void linkAsPeer(QTcpSocket &peer, const Node &process)
{
    peer.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(process.settings.peers.port));
    BOOST_REQUIRE(peer.waitForConnected(1000));
    peer.write(encodeFrame(HelloMessage {WireVersion, "peer", "z"}));
}

// A planner that writes heartbeats to the log but accepts no links, as behind a network partition.
struct UnreachablePlanner {
    MemoryLog &log;
    QTimer timer;
    std::int64_t claim = -1;
    std::int64_t heartbeatCount = 0;

    explicit UnreachablePlanner(MemoryLog &it)
        : log(it)
    {
        claim = log.put(StateTopic::Leadership, "planner", encodeLeadership(record()));
        QObject::connect(&timer, &QTimer::timeout, &timer, [this]() {
            log.put(StateTopic::Leadership, "planner", encodeLeadership(record()));
        });
        timer.start(200);
    }

    LeadershipRecord record()
    {
        LeadershipRecord out;
        out.node = "distant";
        out.host = "127.0.0.1";
        out.port = 1;
        out.incarnation = "distant/1";
        out.claimOffset = claim;
        out.heartbeatNumber = ++heartbeatCount;
        return out;
    }
};

inline JobRecord jobRecord(const std::string &id, FleetJobState state)
{
    JobRecord out;
    out.job = id;
    out.state = state;
    return out;
}

} // namespace marjoramhaven::test
