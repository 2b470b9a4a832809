#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleet/FleetPlanner.h"

namespace marjoramhaven::test {

/// The longest lease of a worker, on the clock of a planner that runs faster by as much as it may.
inline constexpr Millis LongestLease {PlannerLimits {}.maxLease.count() * 100 / 98};

/// Records the planner's requests, so that a test answers them in the order that it needs.
struct RecordingTransport : public PlannerTransport {
    std::vector<StartRunRequest> starts;
    std::vector<StopRunRequest> stops;
    std::vector<ThrottleRunRequest> throttles;
    std::vector<PollWorkerRequest> polls;
    std::vector<AdviceRequest> advice;
    std::vector<std::string> fences;

    void sendStart(const StartRunRequest &request, TimePoint /*decidedAt*/, Millis /*timeout*/) override { starts.push_back(request); }
    void sendStop(const StopRunRequest &request, TimePoint /*decidedAt*/, Millis /*timeout*/) override { stops.push_back(request); }
    void sendThrottle(const ThrottleRunRequest &request, TimePoint /*decidedAt*/, Millis /*timeout*/) override { throttles.push_back(request); }
    void sendPoll(const PollWorkerRequest &request, TimePoint /*decidedAt*/, Millis /*timeout*/) override { polls.push_back(request); }
    void sendAdviceRequest(const AdviceRequest &request) override { advice.push_back(request); }
    void fencedByWorker(const std::string &worker) override { fences.push_back(worker); }
};

/// A planner whose workers "w0", "w1", ... answer only what the test says. The workers are listed and inventoried, and each has room for one task.
class PlannerScript
{
public:
    /// The planner writes its events to `eventDescriptor`, or discards them if that is negative.
    explicit PlannerScript(int workers = 2, int eventDescriptor = -1)
        : events("test", eventDescriptor)
    {
        queue.service = "svc";
        queue.maxAttempts = 3;
        confirm();
        planner.startPlanning(now);
        for (int i = 0; i < workers; ++i) {
            const auto id = "w" + std::to_string(i);
            planner.workerReported(entry(id), now);
            planner.tick(0, now);
            planner.handlePollResponse(lastPoll(id), list({}), now);
        }
    }

    /// Moves time on and sends what is due.
    void advance(Millis time)
    {
        now += time;
        confirm();
        planner.tick(0, now);
    }

    /// Confirms that the planner's process is the leader, unless the test has cut it off from the log. Each confirmation is a heartbeat in the log.
    void confirm()
    {
        if (!isCutFromLog) {
            planner.raiseFencingToken(++newestToken);
            planner.confirmLeadership(now, now);
        }
    }

    void submit(const std::string &id, std::int64_t estimateMs)
    {
        StepSpec step;
        step.taskCount = 1;
        step.needs = {500, 500, 0};
        step.estimateMs = estimateMs;
        submitStep(id, step);
    }

    void submitStep(const std::string &id, const StepSpec &step)
    {
        FleetJobRequest request;
        request.id = id;
        request.queue = queue;
        request.steps.push_back(step);
        planner.jobAccepted(request, now);
    }

    /// Places waiting tasks and sends their start requests.
    void planAndStore()
    {
        confirm();
        planner.plan(now);
        const auto batch = planner.takeBatch(now);
        planner.batchStored(batch.number, now);
    }

    WorkerReport entry(const std::string &id) const
    {
        WorkerReport out;
        out.id = id;
        out.service = "svc";
        out.host = "127.0.0.1";
        out.port = 1000 + std::stoi(id.substr(1));
        out.capacity = {1000, 1000, 0};
        out.startedUnixMs = 1;
        return out;
    }

    PollWorkerRequest lastPoll(const std::string &worker) const
    {
        const auto it = std::find_if(port.polls.rbegin(), port.polls.rend(), [&](const PollWorkerRequest &request) {
            return request.worker.id == worker;
        });
        return it == port.polls.rend() ? PollWorkerRequest {} : *it;
    }

    /// Answers the newest poll of a worker with the runs of the incarnation that started then, and sends the next poll.
    void answerPoll(const std::string &worker, std::vector<RunningRunInfo> running, std::int64_t startedUnixMs = 1)
    {
        auto answer = list(std::move(running));
        answer.startedUnixMs = startedUnixMs;
        planner.handlePollResponse(lastPoll(worker), answer, now);
        advance(Millis(25));
    }

    /// Refuses the repetitions of a start whose outcome is not known, with empty lists of its worker between them, until the planner stops it. They are left
    /// out of `port.starts`.
    void refuseRepetitionsUntilStopped(const std::string &worker, std::int64_t startedUnixMs = 1)
    {
        constexpr int MaxLists = 16;
        const auto stopCount = port.stops.size();
        const auto first = port.starts.back();
        for (int i = 0; i < MaxLists && port.stops.size() == stopCount; ++i) {
            const auto startCount = port.starts.size();
            answerPoll(worker, {}, startedUnixMs);
            if (port.starts.size() > startCount) {
                const auto again = port.starts.back();
                BOOST_TEST(again.worker.id == first.worker.id);
                BOOST_TEST(again.attempt == first.attempt);
                port.starts.pop_back();
                planner.handleStartResponse(again, {WorkerCallOutcome::Unhealthy, 0, "status 503"}, now);
            }
        }
    }

    /// The answer of a worker that has carried out a start or a stop.
    WorkerResponse done() const { return {WorkerCallOutcome::Done, millisOf(now), "done"}; }

    /// The answer of a worker that lists these runs and no ended ones.
    PollWorkerResponse list(std::vector<RunningRunInfo> running) const
    {
        PollWorkerResponse out;
        out.outcome = WorkerCallOutcome::Done;
        out.workerClockMs = millisOf(now);
        out.startedUnixMs = 1;
        out.running = std::move(running);
        return out;
    }

    /// The queue of all jobs that are submitted from now on.
    QueuePolicy queue;
    TimePoint now = atMillis(100'000);
    bool isCutFromLog = false;
    std::int64_t newestToken = 7;
    EventLog events;
    RecordingTransport port;
    FleetPlanner planner {port, events, PlannerLimits {}, newestToken, now};
};

} // namespace marjoramhaven::test
